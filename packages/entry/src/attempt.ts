/**
 * One attempt of a call at one server: acquires a connection, runs the exchange and reports its outcome to the router.
 */
import type { CodeName, Failure, ServerId } from '@bilberrystall/base'
import type { CallId, ExchangeOutcome } from '@bilberrystall/routing'
import type { Result } from 'neverthrow'
import type { CallDependencies } from './call-dependencies'
import type { Connection } from './connection'
import { Exchange, type ExchangeRequest } from './exchange'
import { isUnnamedRefusal, MISDIRECTED, type ResponseHead } from './head'
import type { AcquireCallback, ConnectionPool } from './connection-pool'
import type { RequestBody } from './request-body'

export interface AttemptFailure {
  readonly code: CodeName
  readonly server: ServerId
  /** Whether this failure permits another attempt. */
  readonly canRetry: boolean
}

export interface AttemptEvents {
  /** Whether the call may still be sent after it waited for a connection. */
  readonly mayStillSend: () => boolean
  /** Returns false to discard the response: the server did not run the request. */
  readonly head: (head: ResponseHead) => boolean
  readonly data: (part: Buffer, drained: () => void) => boolean
  /** Returns false if a response that ended with its connection, and may be cut off, has to count as truncated. */
  readonly mayEndWithConnection: () => boolean
  readonly ended: (head: ResponseHead) => void
  readonly failed: (failure: AttemptFailure) => void
  /** The connection has made no progress for some time. The attempt continues, since its server may still respond. */
  readonly silent: () => void
  /** The request got no response for so long that its server may have discarded it. The attempt continues. */
  readonly unanswered: () => void
}

export interface AttemptOptions {
  readonly call: CallId
  readonly server: ServerId
  readonly repeatable: boolean
  readonly silenceMs: number
  /** Time in ms after which the request counts as unanswered. It is reported again at doubling intervals. */
  readonly unansweredMs: number
  /** Connection on which the server has just answered a load query; undefined takes one from the pool. */
  readonly connection: Connection | undefined
  readonly dependencies: CallDependencies
  readonly body: RequestBody
  readonly request: () => Omit<ExchangeRequest, 'body'>
  /** Id that the caller gave to the attempt, if any. */
  readonly attemptId: string | undefined
  readonly events: AttemptEvents
}

export class Attempt {
  readonly #options: AttemptOptions
  readonly #pool: ConnectionPool | undefined
  /** Time in ms at which the request was sent: the time to connect is not part of the server's latency. */
  #sentAt: number
  #exchange: Exchange | undefined
  #finished = false
  #suspected = false
  #unansweredMs: number
  #respondedAt: number | undefined
  #discardResponse = false

  constructor(options: AttemptOptions) {
    this.#options = options
    this.#unansweredMs = options.unansweredMs
    this.#pool = options.dependencies.pool(options.server)
    this.#sentAt = options.dependencies.clock.monotonic()
  }

  /** Whether a byte of the request was written. */
  get sent(): boolean {
    return this.#exchange?.sent ?? false
  }

  /** Whether the connection is known to be silent while the server works. */
  get silent(): boolean {
    return this.#exchange?.connection.retired === true
  }

  get unanswered(): boolean {
    return this.#unansweredMs > this.#options.unansweredMs && this.#exchange?.head === undefined
  }

  start(): void {
    if (this.#pool === undefined) {
      this.#onConnectFailed()
      return
    }
    const { connection, repeatable, attemptId: attempt } = this.#options
    if (connection?.canCarry(attempt) === true) {
      this.#send(connection)
      return
    }
    if (connection !== undefined) this.#pool.release(connection)
    this.#pool.acquire({ recentOnly: !repeatable, attempt }, this.#onAcquired)
  }

  /** Ends the attempt without calling an event handler. */
  cancel(cause: CodeName): void {
    this.#pool?.cancelAcquire(this.#onAcquired)
    this.#exchange?.cancel()
    if (this.#finished) return
    const timedOut = cause === 'deadlineUnknown'
    if (timedOut) this.#finish('timeout')
    else if (cause === 'callerCancelled' || !this.sent) this.#cancelInRouter()
    else this.#finish('unattributed')
  }

  sweep(now: number): void {
    const exchange = this.#exchange
    const { body, silenceMs } = this.#options
    if (exchange === undefined || this.#finished || exchange.paused) return
    if (body.waitingSince !== undefined) return
    const progressAt = Math.max(exchange.progressAt, body.acceptedAt)
    if (exchange.head === undefined && now - progressAt > this.#unansweredMs) {
      this.#unansweredMs *= 2
      this.#options.events.unanswered()
    }
    if (this.#suspected || now - progressAt <= silenceMs) return
    this.#suspected = true
    void this.#testConnection(progressAt)
  }

  async #testConnection(silentSince: number): Promise<void> {
    const connected = await this.#pool?.suspect(silentSince)
    const progressed = this.#exchange !== undefined && this.#exchange.progressAt > silentSince
    if (progressed) this.#suspected = false
    if (this.#finished || progressed) return
    this.#options.dependencies.reachability.failed(this.#options.server)
    if (connected !== true) this.#finish('lost')
    this.#options.events.silent()
  }

  readonly #onAcquired: AcquireCallback = (result: Result<Connection, Failure>) => {
    if (this.#finished) {
      if (result.isOk()) this.#pool?.release(result.value)
      return
    }
    if (result.isErr()) this.#onConnectFailed()
    else if (this.#maySend()) this.#send(result.value)
    else this.#onLeftMeanwhile(result.value)
  }

  #maySend(): boolean {
    const { dependencies, server, events } = this.#options
    return dependencies.driver.accepts(server) && events.mayStillSend()
  }

  /** While the call waited for a connection, the server left or asked for a pause, or the key was refused. */
  #onLeftMeanwhile(connection: Connection): void {
    this.#pool?.release(connection)
    this.#finish('unattributed')
    this.#fail('connectFailed')
  }

  #onConnectFailed(): void {
    this.#options.dependencies.reachability.failed(this.#options.server)
    this.#finish('connect-failed')
    this.#fail('connectFailed')
  }

  #send(connection: Connection): void {
    const { dependencies, body, request, call, events } = this.#options
    const exchange = new Exchange(
      connection,
      {
        head: (head) => {
          this.#respondedAt = dependencies.clock.monotonic()
          this.#pool?.onProgress(connection)
          dependencies.reachability.responded(connection.openedAt)
          dependencies.driver.responded(this.#options.server, head)
          this.#discardResponse = !events.head(head)
        },
        data: (part) =>
          this.#discardResponse ||
          events.data(part, () => {
            exchange.resume()
          }),
        ended: () => {
          this.#onExchangeEnded(exchange)
        },
        failed: (sent) => {
          this.#onExchangeFailed(sent)
        },
      },
      dependencies.clock.monotonic,
      dependencies.dialect,
    )
    this.#exchange = exchange
    connection.carry(this.#options.attemptId)
    this.#sentAt = dependencies.clock.monotonic()
    dependencies.driver.started(call)
    const { buffered } = body
    exchange.start({ ...request(), body: buffered ?? body.stream() })
  }

  #onExchangeEnded(exchange: Exchange): void {
    const { head, connection } = exchange
    if (head === undefined) return
    if (!head.delimited && !this.#discardResponse && !this.#options.events.mayEndWithConnection()) {
      connection.destroy()
      this.#onExchangeFailed(true)
      return
    }
    if (this.#options.body.received && !isUnnamedRefusal(head)) this.#pool?.release(connection)
    else connection.destroy()
    if (this.#discardResponse) {
      this.#onNotRun(head)
      return
    }
    this.#finish(head.status >= 500 ? 'error' : 'ok', head)
    this.#options.events.ended(head)
  }

  /** Handles a response with which the server reports that it did not run the request. */
  #onNotRun(head: ResponseHead | undefined): void {
    const { dependencies, server } = this.#options
    if (head?.status === MISDIRECTED) {
      this.#finish('unattributed')
      dependencies.onMisdirected(server)
    } else {
      this.#finish('shed', head)
    }
    this.#fail('serverShed')
  }

  #onExchangeFailed(sent: boolean): void {
    const { body } = this.#options
    const head = this.#exchange?.head
    if (body.failureCode !== undefined) {
      this.#finish('unattributed')
      this.#fail(body.failureCode, { canRetry: false })
    } else if (this.#discardResponse) {
      this.#onNotRun(head)
    } else if (!sent) {
      // The server may have just closed an idle connection, which says nothing about its health.
      this.#finish('unattributed')
      this.#fail('connectFailed')
    } else {
      if (head === undefined) this.#options.dependencies.reachability.failed(this.#options.server)
      this.#finish('lost')
      this.#fail(head === undefined ? 'connectionLost' : 'responseTruncated')
    }
  }

  #fail(code: CodeName, { canRetry = true } = {}): void {
    const { events, server } = this.#options
    events.failed({ code, server, canRetry })
  }

  #finish(outcome: ExchangeOutcome, head?: ResponseHead): void {
    if (this.#finished) return
    this.#finished = true
    const { dependencies, call } = this.#options
    const endedAt = this.#respondedAt ?? dependencies.clock.monotonic()
    dependencies.driver.finished(call, outcome, endedAt - this.#sentAt, head?.load)
  }

  #cancelInRouter(): void {
    this.#finished = true
    this.#options.dependencies.driver.cancelled(this.#options.call)
  }
}
