/** What entries tell each other of servers: loads that they have seen, and servers that they have ejected. */
import type { Observation } from './call'
import type { ServerRecord } from './server-record'

/** Adds information from a peer or an announcement. */
export function addObservation(record: ServerRecord, { load, ejected, age }: Observation, now: number): void {
  if (load !== undefined) record.addRemoteReport(load, now - age)
  if (ejected === true) record.suspectedByPeerAt = now - age
}

/** Returns the observations of this entry itself, for its peers. */
export function ownObservations(records: Iterable<ServerRecord>, now: number): readonly Observation[] {
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
