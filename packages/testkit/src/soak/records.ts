/** Execution records of all servers of a soak run, joined by request id. */
import type { FakeServerProcess } from '../cluster'
import type { ServerResponseRecord } from '../execution-record'
import type { ServerRecords } from './answers'

export interface SoakRecords extends ServerRecords {
  readonly besideExtraBytes: ReadonlySet<string>
  readonly brokenOff: ReadonlySet<string>
  readonly extraCopies: number
}

export async function readRecords(servers: readonly FakeServerProcess[]): Promise<SoakRecords> {
  const executions = new Map<string, number>()
  const responses = new Map<string, readonly ServerResponseRecord[]>()
  const besideExtraBytes = new Set<string>()
  const brokenOff = new Set<string>()
  let extraCopies = 0
  for (const server of servers) {
    const record = await server.record()
    for (const [id, count] of Object.entries(record.byRequest)) executions.set(id, (executions.get(id) ?? 0) + count)
    for (const [id, sent] of Object.entries(record.responses))
      responses.set(id, [...(responses.get(id) ?? []), ...sent])
    for (const id of record.besideExtraBytes) besideExtraBytes.add(id)
    for (const id of record.brokenOff) brokenOff.add(id)
    extraCopies += record.extraCopies
  }
  return { executions, responses, besideExtraBytes, brokenOff, extraCopies }
}
