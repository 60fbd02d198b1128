/**
 * Callers of a soak run that keep their connections until an entry ends them, as callers with connection pools do. Some
 * send several requests before the first response, so their connections are never idle.
 */
import { PipeliningCaller, type Exchange, type PipelinedRequest } from '../pipelining-caller'
import { APPOINTMENT_HOST } from '../workloads'

const PIPELINING_CALLERS = 4
const DEPTH = 4
const SINGLE_CALLERS = 4
const PAUSE_MS = 25
/** Longest service time in ms that a request asks for; the others are spread below it. */
const MAX_SERVICE_MS = 60
/** Deadlines of the routes of the workloads. */
const READ_DEADLINE_MS = 10_000
const WRITE_DEADLINE_MS = 4000

export interface EntryAddress {
  readonly name: string
  readonly address: string
}

export class KeptConnections {
  readonly #entries: readonly EntryAddress[]
  readonly #callers: readonly PipeliningCaller[]
  readonly #stutter: boolean
  #connections = 0
  #requests = 0

  /**
   * `stutter`: whether callers that send one request at a time also ask for bodies that end with their connection, and
   * send more requests that may run at most once.
   */
  constructor(entries: readonly EntryAddress[], stutter: boolean) {
    this.#entries = entries
    this.#stutter = stutter
    const entry = (): string => this.#nextEntry()
    const pipelining = { depth: DEPTH, entry, request: () => this.#nextRequest(false), pauseMs: PAUSE_MS }
    const single = { depth: 1, entry, request: () => this.#nextRequest(true), pauseMs: PAUSE_MS }
    this.#callers = [
      ...Array.from({ length: PIPELINING_CALLERS }, () => new PipeliningCaller(pipelining)),
      ...Array.from({ length: SINGLE_CALLERS }, () => new PipeliningCaller(single)),
    ]
  }

  /**
   * Stops sending, waits for responses for `limitMs` at most, and returns all exchanges with the names of the entries and
   * times in ms after `startedAt`.
   */
  async stop(limitMs: number, startedAt: number): Promise<readonly Exchange[]> {
    await Promise.all(this.#callers.map((caller) => caller.stop(limitMs)))
    return this.#callers
      .flatMap(({ exchanges }) => exchanges)
      .map((exchange) => ({
        ...exchange,
        entry: this.#entries.find(({ address }) => address === exchange.entry)?.name ?? exchange.entry,
        sentAt: exchange.sentAt - startedAt,
        endedAt: exchange.endedAt - startedAt,
      }))
  }

  /** Entries in turn, also those that refuse connections: callers do not know which ones are stopped. */
  #nextEntry(): string {
    this.#connections += 1
    return this.#entries[this.#connections % this.#entries.length]?.address ?? ''
  }

  #nextRequest(mayWrite: boolean): PipelinedRequest {
    this.#requests += 1
    const chunked = this.#requests % 2 === 0 ? '&chunked' : ''
    const unframed = this.#stutter && mayWrite && this.#requests % 5 === 0 ? '&unframed' : ''
    const query = `?number=${this.#requests}&ms=${1 + ((this.#requests * 7) % MAX_SERVICE_MS)}${chunked}${unframed}`
    const isWrite = mayWrite && this.#requests % (this.#stutter ? 2 : 4) === 0
    return isWrite
      ? {
          method: 'POST',
          host: APPOINTMENT_HOST,
          path: `/notes${query}`,
          body: 'a note',
          deadlineMs: WRITE_DEADLINE_MS,
        }
      : { method: 'GET', host: APPOINTMENT_HOST, path: `/slots${query}`, deadlineMs: READ_DEADLINE_MS }
  }
}
