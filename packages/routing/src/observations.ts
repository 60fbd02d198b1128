/** What an entry has seen of the servers itself, for its peers. */
import type { Observation } from './call'
import type { ServerRecord } from './server-record'

export function observationsOf(records: Iterable<ServerRecord>, now: number): readonly Observation[] {
  const seen: Observation[] = []
  for (const record of records) {
    const isEjected = record.health.kind === 'ejected'
    if (record.lastLoad === undefined && !isEjected) continue
    const age = Math.max(0, now - record.lastLoadAt)
    const base = { server: record.server.id, age: isEjected ? 0 : age, ejected: isEjected }
    seen.push(record.lastLoad === undefined || isEjected ? base : { ...base, load: record.lastLoad })
  }
  return seen
}
