/** What nodes tell each other about requests and the ends of servers. Times are Unix milliseconds. */
import type { Branded, RequestId, ServerId } from '@bilberrystall/base'

/** Identifies one start of a server process. */
export type ProcessId = Branded<string, 'ProcessId'>

export function processId(server: ServerId, start: number): ProcessId {
  return `${server}@${start}` as ProcessId
}

/** A server process ended while it ran a request. Other requests that ran there at the time are reported as well. */
export interface CrashReport {
  readonly request: RequestId
  readonly process: ProcessId
  readonly at: number
}

/** A server completed the request, or an operator released it: earlier reports about it no longer count. */
export interface Clearance {
  readonly request: RequestId
  readonly at: number
}
