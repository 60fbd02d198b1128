/**
 * One attempt of a call at one server: acquires a connection, runs the exchange and reports its outcome to the router.
 */
import type { CodeName, Failure, ServerId } from '@bilberrystall/base'
import type { CallId, ExchangeOutcome } from '@bilberrystall/routing'
import type { Result } from 'neverthrow'
import type { CallEnvironment } from './call-environment'
import type { Connection } from './connection'
import { Exchange, type ExchangeRequest } from './exchange'
import type { ResponseHead } from './head'
import type { Acquired, ServerPool } from './pool'
import type { RequestBody } from './request-body'

/** 421 Misdirected Request: another process than the one named in the request received it. */
const MISDIRECTED = 421

export interface AttemptEnd {
  readonly code: CodeName
  /** Whether this failure permits another attempt. */
  readonly retry: boolean
  /** Whether the retry has already been charged to the retry budget. */
  readonly allowed: boolean
}

export interface AttemptEvents {
  /** Returns false to discard the response: the server did not run the request. */
  readonly head: (head: ResponseHead) => boolean
  readonly data: (part: Buffer, drained: () => void) => boolean
  readonly ended: (head: ResponseHead) => void
  readonly failed: (end: AttemptEnd) => void
  /**
   * The connection is silent. Returns true to abandon it for a retry, which has then been charged to the retry budget.
   */
  readonly silent: () => boolean
}

export interface AttemptOptions {
  readonly call: CallId
  readonly server: ServerId
  readonly repeatable: boolean
  readonly silenceMs: number
  /** Connection on which the server has just answered a load query; undefined takes one from the pool. */
  readonly connection: Connection | undefined
  readonly environment: CallEnvironment
  readonly body: RequestBody
  readonly request: () => Omit<ExchangeRequest, 'body'>
  readonly events: AttemptEvents
}

export class Attempt {
  readonly #options: AttemptOptions
  readonly #pool: ServerPool | undefined
  /** Time in ms at which the request was sent: the time to connect is not part of the server's latency. */
  #sentAt: number
  #exchange: Exchange | undefined
  #finished = false
  #suspected = false
  #respondedAt: number | undefined
  #discard = false

  constructor(options: AttemptOptions) {
    this.#options = options
    this.#pool = options.environment.pool(options.server)
    this.#sentAt = options.environment.clock.monotonic()
  }

  /** Whether a byte of the request was written. */
  get sent(): boolean {
    return this.#exchange?.sent ?? false
  }

  /** Whether the connection is known to be silent while the server works. */
  get silent(): boolean {
    return this.#exchange?.connection.retired === true
  }

  start(): void {
    if (this.#pool === undefined) {
      this.#connectFailed()
      return
    }
    const { connection, repeatable } = this.#options
    if (connection === undefined) this.#pool.acquire(!repeatable, this.#acquired)
    else this.#send(connection)
  }

  /** Ends the attempt without calling an event handler. */
  cancel(cause: CodeName): void {
    if (this.#finished) return
    this.#pool?.forget(this.#acquired)
    this.#exchange?.cancel()
    const timedOut = cause === 'deadlineUnknown'
    if (timedOut) this.#finish('timeout')
    else if (cause === 'callerCancelled' || !this.sent) this.#withdraw()
    else this.#finish('unattributed')
  }

  sweep(now: number): void {
    const exchange = this.#exchange
    const { body, silenceMs } = this.#options
    if (exchange === undefined || this.#finished || this.#suspected || exchange.paused) return
    if (body.waitingSince !== undefined) return
    const progressAt = Math.max(exchange.progressAt, body.takenAt)
    if (now - progressAt <= silenceMs) return
    this.#suspected = true
    void this.#suspect(progressAt)
  }

  async #suspect(silentSince: number): Promise<void> {
    const opens = await this.#pool?.suspect(silentSince)
    const moved = this.#exchange !== undefined && this.#exchange.progressAt > silentSince
    if (moved) this.#suspected = false
    if (this.#finished || moved || !this.#options.events.silent()) return
    const outcome = this.silent ? 'unattributed' : 'timeout'
    this.#exchange?.cancel()
    this.#finish(opens === true ? outcome : 'lost')
    this.#options.events.failed({ code: 'connectionSilent', retry: true, allowed: true })
  }

  readonly #acquired: Acquired = (result: Result<Connection, Failure>) => {
    if (this.#finished) {
      if (result.isOk()) this.#pool?.release(result.value)
      return
    }
    if (result.isErr()) this.#connectFailed()
    else this.#send(result.value)
  }

  #connectFailed(): void {
    this.#finish('connect-failed')
    this.#options.events.failed({ code: 'connectFailed', retry: true, allowed: false })
  }

  #send(connection: Connection): void {
    const { environment, body, request, call, events } = this.#options
    const exchange = new Exchange(
      connection,
      {
        head: (head) => {
          this.#respondedAt = environment.clock.monotonic()
          this.#pool?.progressed(connection)
          this.#discard = !events.head(head)
        },
        data: (part) =>
          this.#discard ||
          events.data(part, () => {
            exchange.resume()
          }),
        ended: () => {
          this.#ended(exchange)
        },
        failed: (sent) => {
          this.#broken(sent)
        },
      },
      environment.clock.monotonic,
      environment.dialect,
    )
    this.#exchange = exchange
    this.#sentAt = environment.clock.monotonic()
    environment.driver.started(call)
    const { whole } = body
    exchange.start({ ...request(), body: whole ?? body.stream() })
  }

  #ended(exchange: Exchange): void {
    const { head, connection } = exchange
    if (head === undefined) return
    if (this.#options.body.received) this.#pool?.release(connection)
    else connection.destroy()
    if (this.#discard) {
      this.#discarded(head)
      return
    }
    this.#finish(head.status >= 500 ? 'error' : 'ok', head)
    this.#options.events.ended(head)
  }

  /** Handles a response with which the server reports that it did not run the request. */
  #discarded(head: ResponseHead | undefined): void {
    const { environment, server, events } = this.#options
    if (head?.status === MISDIRECTED) {
      this.#finish('unattributed')
      environment.misdirected(server)
    } else {
      this.#finish('shed', head)
    }
    events.failed({ code: 'serverShed', retry: true, allowed: false })
  }

  #broken(sent: boolean): void {
    const { body, events } = this.#options
    const head = this.#exchange?.head
    if (body.fault !== undefined) {
      this.#finish('unattributed')
      events.failed({ code: body.fault, retry: false, allowed: false })
    } else if (this.#discard) {
      this.#discarded(head)
    } else if (!sent) {
      // The server may have just closed an idle connection, which says nothing about its health.
      this.#finish('unattributed')
      events.failed({ code: 'connectFailed', retry: true, allowed: false })
    } else {
      this.#finish('lost')
      events.failed({
        code: head === undefined ? 'connectionLost' : 'responseTruncated',
        retry: true,
        allowed: false,
      })
    }
  }

  #finish(outcome: ExchangeOutcome, head?: ResponseHead): void {
    if (this.#finished) return
    this.#finished = true
    const { environment, call } = this.#options
    const end = this.#respondedAt ?? environment.clock.monotonic()
    environment.driver.finished(call, outcome, end - this.#sentAt, head?.load)
  }

  #withdraw(): void {
    this.#finished = true
    this.#options.environment.driver.cancelled(this.#options.call)
  }
}
