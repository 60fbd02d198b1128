/**
 * Counts the executions of a fake server per idempotency key and per request id, and keeps what it responded to each
 * request id. Tests compare what callers observed with this record.
 */
export interface ExecutionRecordSnapshot {
  readonly executions: number
  readonly completed: number
  readonly cancelled: number
  readonly shed: number
  readonly byKey: Readonly<Record<string, number>>
  readonly byRequest: Readonly<Record<string, number>>
  readonly responses: Readonly<Record<string, readonly ServerResponseRecord[]>>
  /** Ids of the requests whose connection carried extra bytes before or within their response. */
  readonly besideExtraBytes: readonly string[]
  /** Ids of the requests to which a response was broken off behind a part of its body. */
  readonly brokenOff: readonly string[]
  /** Number of extra copies of responses that were begun. */
  readonly extraCopies: number
  /** Unix time in ms at which the last request arrived, 0 before the first one. */
  readonly lastArrival: number
  readonly inflight: number
  readonly connections: number
}

/** Response that a server began to send. */
export interface ServerResponseRecord {
  readonly status: number
  readonly ran: boolean
  /** SHA-256 of the whole body. */
  readonly bodyDigest: string
}

export class ExecutionRecord {
  readonly #byKey = new Map<string, number>()
  readonly #byRequest = new Map<string, number>()
  readonly #responses = new Map<string, ServerResponseRecord[]>()
  readonly #besideExtraBytes = new Set<string>()
  readonly #brokenOff = new Set<string>()
  executions = 0
  completed = 0
  cancelled = 0
  shed = 0
  extraCopies = 0
  lastArrival = 0

  addExecution(request: string | undefined, key: string | undefined): void {
    this.executions += 1
    if (request !== undefined) increment(this.#byRequest, request)
    if (key !== undefined) increment(this.#byKey, key)
  }

  addResponse(request: string | undefined, response: ServerResponseRecord): void {
    if (request === undefined) return
    const responses = this.#responses.get(request)
    if (responses === undefined) this.#responses.set(request, [response])
    else responses.push(response)
  }

  addBesideExtraBytes(request: string): void {
    this.#besideExtraBytes.add(request)
  }

  addBrokenOff(request: string): void {
    this.#brokenOff.add(request)
  }

  snapshot(inflight: number, connections: number): ExecutionRecordSnapshot {
    const { executions, completed, cancelled, shed, extraCopies, lastArrival } = this
    const byKey = Object.fromEntries(this.#byKey)
    const byRequest = Object.fromEntries(this.#byRequest)
    const responses = Object.fromEntries(this.#responses)
    const besideExtraBytes = [...this.#besideExtraBytes]
    const brokenOff = [...this.#brokenOff]
    const counts = { executions, completed, cancelled, shed, extraCopies, lastArrival, inflight, connections }
    return { ...counts, byKey, byRequest, responses, besideExtraBytes, brokenOff }
  }
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}
