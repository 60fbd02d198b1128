/**
 * Documents as sections of keys and values: renders documents and replaces individual sections of a document. The
 * output is deterministic, so all replicas that amend a document compute the same digest.
 */
import type { Fault } from '@bilberrystall/base'
import { parse, safe } from 'ini'
import { err, fromThrowable, ok, type Result } from 'neverthrow'
import { parseText } from './ini'

/** Libraries skip a section with this name when they read a document. */
const SKIPPED_NAME = '.__proto__'
const NAME_REASON = 'the name cannot be represented in a document'
const VALUE_REASON = 'the value cannot be represented in a document'
const SURROGATE_REASON = 'contains half of a surrogate pair, which UTF-8 cannot represent'
/** Matches halves of a pair only: with the flag `u`, a whole pair is one other character. */
const UNPAIRED_SURROGATE = /\p{Surrogate}/u

/** Keys and unparsed values of one section. */
export type Section = Readonly<Record<string, string>>

/** The section `[document]`, and the sections of services, routes and organisations by name. */
export interface Sections {
  readonly document?: Section
  readonly service?: Readonly<Record<string, Section>>
  readonly route?: Readonly<Record<string, Section>>
  readonly organisation?: Readonly<Record<string, Section>>
}

/** Names of sections to remove. */
export interface RemovedSections {
  readonly service: readonly string[]
  readonly route: readonly string[]
  readonly organisation?: readonly string[]
}

/**
 * Renders a document. Errors: every name and value that the text would not represent, because it would be read back as
 * something else.
 */
export function renderSections(sections: Sections): Result<string, readonly Fault[]> {
  const unencodable = findUnencodable(sections)
  if (unencodable.length > 0) return err(unencodable)
  const text = joinSections(sections)
  return parseText(text)
    .mapErr((fault) => [fault])
    .andThen((parsed) => {
      const faults = findUnrepresented(sections, parsed)
      return faults.length === 0 ? ok(text) : err(faults)
    })
}

/**
 * Finds the strings of a document that do not survive UTF-8, in which documents are sent to the entries. Names and
 * values are reported with section and key, anything else in the text, such as a comment, with its line.
 */
export function findUnencodableText(text: string): readonly Fault[] {
  const faults = parseText(text).match(findUnencodable, () => [])
  if (faults.length > 0) return faults
  const lines = text.split('\n').flatMap((line, index) => (UNPAIRED_SURROGATE.test(line) ? [index + 1] : []))
  return lines.map((line) => ({ section: '', key: '', reason: `line ${line} ${SURROGATE_REASON}` }))
}

/** A quoted value contains half of a pair as an escape, so that its text alone would not show it. */
function findUnencodable(sections: Sections): readonly Fault[] {
  return listSections(sections).flatMap(([name, section]) => {
    if (UNPAIRED_SURROGATE.test(name)) return [{ section: name, key: '', reason: SURROGATE_REASON }]
    const found = Object.entries(section).filter((entry) => entry.some((part) => UNPAIRED_SURROGATE.test(part)))
    return found.map(([key]) => ({ section: name, key, reason: SURROGATE_REASON }))
  })
}

function findUnrepresented(sections: Sections, parsed: object): readonly Fault[] {
  const readBack = new Map(listSections(parsed))
  const faults = listSections(sections).flatMap(([name, section]) => {
    const read = readBack.get(name)
    if (read === undefined || name.endsWith(SKIPPED_NAME)) return [{ section: name, key: '', reason: NAME_REASON }]
    const keys = Object.keys({ ...section, ...read })
    const lost = keys.filter((key) => !Object.hasOwn(section, key) || section[key] !== read[key])
    return lost.map((key) => ({ section: name, key, reason: VALUE_REASON }))
  })
  const isComplete = readBack.size === listSections(sections).length
  return faults.length > 0 || isComplete ? faults : [{ section: '', key: '', reason: NAME_REASON }]
}

function listSections({
  document,
  service = {},
  route = {},
  organisation = {},
}: Sections): readonly [name: string, section: Section][] {
  return [
    ...(document === undefined ? [] : [['document', document] as [string, Section]]),
    ...Object.entries(service).map(([name, section]): [string, Section] => [`service.${name}`, section]),
    ...Object.entries(route).map(([name, section]): [string, Section] => [`route.${name}`, section]),
    ...Object.entries(organisation).map(([name, section]): [string, Section] => [`organisation.${name}`, section]),
  ]
}

/** The `ini` library would omit sections without keys, which are meaningful here: they select all defaults. */
function joinSections(sections: Sections): string {
  return listSections(sections)
    .map(([name, section]) => renderSection(name, section))
    .join('\n')
}

function renderSection(name: string, section: Section): string {
  const lines = Object.entries(section).map(([key, value]) => `${key} = ${safe(value)}\n`)
  return `[${name}]\n${lines.join('')}`
}

/**
 * Replaces or adds the named sections of `changed` as a whole, merges its `[document]` keys and removes the sections in
 * `removed`. Texts that are no sections lead to an error, never to an exception: this runs when a committed command is
 * applied.
 */
export function amendDocument(text: string, changed: string, removed: RemovedSections): Result<string, Fault> {
  const amend = fromThrowable(
    () => {
      const sections = parse(text) as Sections
      const amended = parse(changed) as Sections
      return joinSections({
        document: { ...sections.document, ...amended.document },
        service: amendNamed(sections.service, amended.service, removed.service),
        route: amendNamed(sections.route, amended.route, removed.route),
        organisation: amendNamed(sections.organisation, amended.organisation, removed.organisation ?? []),
      })
    },
    (): Fault => ({ section: '', key: '', reason: 'the change does not consist of sections' }),
  )
  return amend()
}

function amendNamed(
  sections: Readonly<Record<string, Section>> | undefined,
  changed: Readonly<Record<string, Section>> | undefined,
  removed: readonly string[],
): Record<string, Section> {
  const removedNames = new Set(removed)
  return Object.fromEntries(Object.entries({ ...sections, ...changed }).filter(([name]) => !removedNames.has(name)))
}
