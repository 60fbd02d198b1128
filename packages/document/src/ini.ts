/**
 * Parses INI text and validates it against a zod schema. All faults are reported, each with section, key and reason.
 * Duplicate sections or keys and unrecognized lines are faults too, because the `ini` parser would drop them silently.
 */
import { formatFault, type Fault } from '@bilberrystall/base'
import { parse } from 'ini'
import { err, fromThrowable, ok, type Result } from 'neverthrow'
import type { z } from 'zod'

export function parseIni<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.output<Schema>, readonly Fault[]> {
  const lineFaults = findLineFaults(text)
  const values = parseText(text)
  if (values.isErr()) return err([...lineFaults, values.error])
  const parsed = schema.safeParse(values.value)
  if (parsed.success && lineFaults.length === 0) return ok(parsed.data)
  const issues = parsed.success ? [] : parsed.error.issues.flatMap(faultsFromIssue)
  return err([...lineFaults, ...issues])
}

/** Parses INI text to text values. The library throws on some texts, for example on a section named like a key. */
export const parseText = fromThrowable(
  (text: string) => stringifyValues(parse(text)) as object,
  (): Fault => ({ section: '', key: '', reason: 'the text cannot be parsed' }),
)

export function formatFaults(faults: readonly Fault[]): string {
  return faults.map(formatFault).join('\n')
}

function findLineFaults(text: string): Fault[] {
  const faults: Fault[] = []
  const seen = new Set<string>()
  let section = ''
  for (const [index, raw] of text.split(/\r?\n/).entries()) {
    const line = raw.trim()
    if (line === '' || line.startsWith(';') || line.startsWith('#')) continue
    const header = /^\[([^\]]*)\]$/.exec(line)
    const key = header === null ? (line.split('=', 1)[0] ?? '').trim() : ''
    if (header !== null) section = header[1] ?? ''
    if (header === null && !line.includes('=')) {
      faults.push({ section, key: '', reason: `line ${index + 1} is neither a section nor a key with a value` })
      continue
    }
    const location = `${section}\n${key}`
    if (seen.has(location)) faults.push({ section, key, reason: `appears twice (line ${index + 1})` })
    seen.add(location)
  }
  return faults
}

/** The `ini` parser converts `true`, `false` and `null`; the schemas expect the original text. */
function stringifyValues(value: unknown): unknown {
  if (value === null || typeof value === 'boolean' || typeof value === 'number') return String(value)
  if (Array.isArray(value)) return value.map(stringifyValues)
  if (typeof value !== 'object') return value
  return Object.fromEntries(Object.entries(value).map(([key, inner]) => [key, stringifyValues(inner)]))
}

function faultsFromIssue(issue: z.core.$ZodIssue): Fault[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => faultAt([...path, key], 'is not known'))
  }
  const missing = issue.code === 'invalid_type' && issue.input === undefined && issue.message.includes('undefined')
  return [faultAt(path, missing ? 'is required' : issue.message)]
}

/** Converts a zod path: `section, key`, or `kind, name, key` for sections such as `[service.booking]`. */
function faultAt(path: readonly string[], reason: string): Fault {
  if (path.length <= 1) return { section: path[0] ?? '', key: '', reason }
  return { section: path.slice(0, -1).join('.'), key: path.at(-1) ?? '', reason }
}
