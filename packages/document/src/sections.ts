/**
 * Documents as sections of keys and values: renders documents and replaces individual sections of a document. The
 * output is deterministic, so all replicas that amend a document compute the same digest.
 */
import { parse, safe } from 'ini'

/** Keys and unparsed values of one section. */
export type Section = Readonly<Record<string, string>>

/** The section `[document]`, and the sections `[service.NAME]` and `[route.NAME]` by name. */
export interface Sections {
  readonly document?: Section
  readonly service?: Readonly<Record<string, Section>>
  readonly route?: Readonly<Record<string, Section>>
}

/** Names of sections to remove. */
export interface RemovedSections {
  readonly service: readonly string[]
  readonly route: readonly string[]
}

/**
 * Renders a document. The `ini` library would omit sections without keys, which are meaningful here: they select all
 * defaults.
 */
export function renderSections({ document, service = {}, route = {} }: Sections): string {
  const parts = [
    ...(document === undefined ? [] : [renderSection('document', document)]),
    ...Object.entries(service).map(([name, section]) => renderSection(`service.${name}`, section)),
    ...Object.entries(route).map(([name, section]) => renderSection(`route.${name}`, section)),
  ]
  return parts.join('\n')
}

function renderSection(name: string, section: Section): string {
  const lines = Object.entries(section).map(([key, value]) => `${key} = ${safe(value)}\n`)
  return `[${name}]\n${lines.join('')}`
}

/**
 * Replaces or adds the named sections of `changed` as a whole, merges its `[document]` keys and removes the sections in
 * `removed`.
 */
export function amendDocument(text: string, changed: string, removed: RemovedSections): string {
  const sections = parse(text) as Sections
  const amended = parse(changed) as Sections
  return renderSections({
    document: { ...sections.document, ...amended.document },
    service: amendNamed(sections.service, amended.service, removed.service),
    route: amendNamed(sections.route, amended.route, removed.route),
  })
}

function amendNamed(
  sections: Readonly<Record<string, Section>> | undefined,
  changed: Readonly<Record<string, Section>> | undefined,
  removed: readonly string[],
): Record<string, Section> {
  const removedNames = new Set(removed)
  return Object.fromEntries(Object.entries({ ...sections, ...changed }).filter(([name]) => !removedNames.has(name)))
}
