/**
 * One attempt of a call including its routing: queries the load of servers if the router requests it, waits until the
 * router has chosen a server, and runs an `Attempt` there. A repeatable call can have several routed attempts in progress.
 */
import type { CodeName, ServerId } from '@bilberrystall/base'
import type { Call as RouterCall, CallId, Shed } from '@bilberrystall/routing'
import { Attempt, type AttemptFailure } from './attempt'
import type { CallAttempt } from './call-attempt'
import type { CallDependencies } from './call-dependencies'
import type { ExchangeRequest } from './exchange'
import type { ResponseHead } from './head'
import { LoadQuery } from './load-query'
import type { RequestBody } from './request-body'
import type { RoutedCall } from './router-driver'

export interface RoutedAttemptEvents {
  /** The router chose a server. Returns false if the call must not be sent to it, for example because it has ended. */
  readonly serverChosen: (server: ServerId) => boolean
  /** Whether the call may still be sent after it waited for a connection. */
  readonly mayStillSend: () => boolean
  /** Returns false to discard the response: the server did not run the request. */
  readonly head: (head: ResponseHead) => boolean
  readonly data: (part: Buffer, drained: () => void) => boolean
  readonly mayEndWithConnection: () => boolean
  readonly ended: (head: ResponseHead) => void
  readonly failed: (failure: AttemptFailure) => void
  /** The router found no server in time. */
  readonly shed: (refusal: Shed) => void
  /** The connection has made no progress for some time. */
  readonly silent: () => void
  /** The request got no response for so long that its server may have discarded it. */
  readonly unanswered: () => void
}

export interface RoutedAttemptOptions {
  readonly dependencies: CallDependencies
  readonly body: RequestBody
  readonly silenceMs: number
  /** The call as submitted to the router. */
  readonly routerCall: Omit<RouterCall, 'id'>
  readonly request: (instance: string | undefined, queueLimit: number | undefined) => Omit<ExchangeRequest, 'body'>
  /** Id that the caller gave to the attempt, if any. */
  readonly attemptId: string | undefined
  readonly events: RoutedAttemptEvents
}

export class RoutedAttempt implements RoutedCall, CallAttempt {
  readonly id: CallId
  readonly #options: RoutedAttemptOptions
  #loadQuery: LoadQuery | undefined
  #attempt: Attempt | undefined
  #isQueued = true
  #isEnded = false

  constructor(options: RoutedAttemptOptions) {
    this.#options = options
    this.id = options.dependencies.driver.register(this)
  }

  /** Whether a byte of the request was written to a server. */
  get sent(): boolean {
    return this.#attempt?.sent ?? false
  }

  /** Whether the connection is known to be silent while the server works. */
  get silent(): boolean {
    return this.#attempt?.silent ?? false
  }

  get unanswered(): boolean {
    return this.#attempt?.unanswered ?? false
  }

  start(): void {
    this.#options.dependencies.driver.submit({ ...this.#options.routerCall, id: this.id })
  }

  sweep(now: number): void {
    this.#attempt?.sweep(now)
  }

  shed(refusal: Shed): void {
    if (!this.#end()) return
    this.#options.events.shed(refusal)
  }

  queryLoad(servers: readonly ServerId[]): void {
    this.#loadQuery ??= new LoadQuery(this.id, this.#options.dependencies)
    for (const server of servers) this.#loadQuery.query(server)
  }

  dispatched(server: ServerId, queueLimit: number | undefined): void {
    const { dependencies, body, silenceMs, routerCall, request, attemptId, events } = this.#options
    this.#isQueued = false
    const connection = this.#loadQuery?.take(server)
    this.#closeLoadQuery()
    if (this.#isEnded || !events.serverChosen(server)) {
      dependencies.driver.cancelled(this.id)
      this.#end()
      return
    }
    // Read the instance id now: if the server leaves before the request is sent, another process may get its address.
    const instance = dependencies.instance(server)
    this.#attempt = new Attempt({
      call: this.id,
      server,
      repeatable: routerCall.repeatable,
      silenceMs,
      unansweredMs: dependencies.driver.unansweredAfterMs(routerCall, server, silenceMs),
      connection,
      dependencies,
      body,
      request: () => request(instance, queueLimit),
      attemptId,
      events: {
        mayStillSend: events.mayStillSend,
        head: events.head,
        data: events.data,
        mayEndWithConnection: events.mayEndWithConnection,
        ended: (head) => {
          this.#end()
          events.ended(head)
        },
        failed: (attemptFailure) => {
          this.#end()
          events.failed(attemptFailure)
        },
        silent: events.silent,
        unanswered: events.unanswered,
      },
    })
    this.#attempt.start()
  }

  /** Ends the attempt without calling an event handler. */
  cancel(cause: CodeName): void {
    if (this.#isEnded) return
    this.#attempt?.cancel(cause)
    if (this.#isQueued) this.#options.dependencies.driver.cancelled(this.id)
    this.#end()
  }

  #end(): boolean {
    if (this.#isEnded) return false
    this.#isEnded = true
    this.#closeLoadQuery()
    this.#options.dependencies.driver.unregister(this.id)
    return true
  }

  #closeLoadQuery(): void {
    this.#loadQuery?.close()
    this.#loadQuery = undefined
  }
}
