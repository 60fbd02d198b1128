/**
 * Transcripts of commands for golden files. Times, ports, ids, digests and folders are replaced by placeholders that
 * are numbered in order of appearance, so that equal values stay recognisable and every run gives the same text.
 */
interface ValuePattern {
  readonly name: string
  readonly pattern: RegExp
}

const VALUE_PATTERNS: readonly ValuePattern[] = [
  { name: 'time', pattern: /\b\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z/g },
  { name: 'uuid', pattern: /\b[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}\b/g },
  { name: 'digest', pattern: /\b[0-9a-f]{64}\b/g },
  { name: 'digest', pattern: /\b[0-9a-f]{12}\b/g },
  { name: 'epoch', pattern: /\b1[6-9]\d{11}\b/g },
  { name: 'change', pattern: /(?<="change":")[^"]+/g },
  { name: 'duration', pattern: /(?<="(?:commitMs|deliveryMs|ms)":)\d+|\b\d+-\d+(?= (?:settled|pending)\b)/g },
  { name: 'port', pattern: /(?<=\b127\.0\.0\.1:)\d+\b/g },
]

export interface NormaliseOptions {
  /** Texts to replace, such as paths of temporary folders, with their replacements. */
  readonly replace?: Readonly<Record<string, string>>
}

export function normalise(text: string, options: NormaliseOptions = {}): string {
  let result = text
  for (const [value, name] of Object.entries(options.replace ?? {})) result = result.replaceAll(value, name)
  for (const valuePattern of VALUE_PATTERNS) result = replaceMatches(result, valuePattern)
  return result
}

const UNNUMBERED: ReadonlySet<string> = new Set(['time', 'epoch', 'duration'])

/** All times share one placeholder, because they differ on every line without meaning; other values are numbered. */
function replaceMatches(text: string, valuePattern: ValuePattern): string {
  const placeholders = new Map<string, string>()
  return text.replace(valuePattern.pattern, (value) => {
    if (UNNUMBERED.has(valuePattern.name)) return `<${valuePattern.name}>`
    const placeholder = placeholders.get(value) ?? `<${valuePattern.name}-${placeholders.size + 1}>`
    placeholders.set(value, placeholder)
    return placeholder
  })
}

/** Records commands with their output and exit status as an operator sees them. */
export class Transcript {
  readonly #parts: string[] = []

  addCommand(
    args: readonly string[],
    result: { readonly status: unknown; readonly stdout: string; readonly stderr: string },
  ): void {
    const output = [result.stdout, result.stderr].map((stream) => stream.trimEnd()).filter((stream) => stream !== '')
    const status = result.status === 0 ? [] : [`exit status ${String(result.status)}`]
    this.#parts.push([`$ bilberrystall ${args.join(' ')}`, ...output, ...status].join('\n'))
  }

  toText(options: NormaliseOptions = {}): string {
    return normalise(`${this.#parts.join('\n\n')}\n`, options)
  }
}
