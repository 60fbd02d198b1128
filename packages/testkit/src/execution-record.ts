/**
 * Counts the executions of a fake server per idempotency key and per request id. Tests compare what callers observed
 * with these counts.
 */
export interface ExecutionRecordSnapshot {
  readonly executions: number
  readonly completed: number
  readonly cancelled: number
  readonly shed: number
  readonly byKey: Readonly<Record<string, number>>
  readonly byRequest: Readonly<Record<string, number>>
  /** Unix time in ms at which the last request arrived, 0 before the first one. */
  readonly lastArrival: number
  readonly inflight: number
  readonly connections: number
}

export class ExecutionRecord {
  readonly #byKey = new Map<string, number>()
  readonly #byRequest = new Map<string, number>()
  executions = 0
  completed = 0
  cancelled = 0
  shed = 0
  lastArrival = 0

  addExecution(request: string | undefined, key: string | undefined): void {
    this.executions += 1
    if (request !== undefined) increment(this.#byRequest, request)
    if (key !== undefined) increment(this.#byKey, key)
  }

  snapshot(inflight: number, connections: number): ExecutionRecordSnapshot {
    const { executions, completed, cancelled, shed, lastArrival } = this
    const byKey = Object.fromEntries(this.#byKey)
    const byRequest = Object.fromEntries(this.#byRequest)
    return { executions, completed, cancelled, shed, lastArrival, byKey, byRequest, inflight, connections }
  }
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}
