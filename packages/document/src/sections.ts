/**
 * Documents as sections of keys and values, for writing a document and for changing named sections of one without
 * sending the rest. The same input always gives the same text, so replicas that amend a document agree on its digest.
 */
import { parse, safe } from 'ini'

/** Keys and values of one section, as they stand in the text. */
export type Section = Readonly<Record<string, string>>

/** `[document]`, and `[service.NAME]` and `[route.NAME]` by name. */
export interface Sections {
  readonly document?: Section
  readonly service?: Readonly<Record<string, Section>>
  readonly route?: Readonly<Record<string, Section>>
}

/** Sections to leave out, by name. */
export interface RemovedSections {
  readonly service: readonly string[]
  readonly route: readonly string[]
}

/** The library leaves out sections without keys, which stand for something here: all defaults. */
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

/** Replaces or adds the sections of `changed` as a whole, then leaves out those of `removed`. */
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
  const gone = new Set(removed)
  return Object.fromEntries(Object.entries({ ...sections, ...changed }).filter(([name]) => !gone.has(name)))
}
