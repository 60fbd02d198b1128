/**
 * One attempt of a call including its routing: queries the load of servers if the router requests it, waits until the
 * router has chosen a server, and runs an `Attempt` there. A repeatable call can have two routed attempts in progress.
 */
import type { CodeName, ServerId } from '@bilberrystall/base'
import type { Call as RouterCall, CallId } from '@bilberrystall/routing'
import { Attempt, type AttemptEnd } from './attempt'
import type { CallEnvironment } from './call-environment'
import type { ExchangeRequest } from './exchange'
import type { ResponseHead } from './head'
import { Inquiry } from './inquiry'
import type { RequestBody } from './request-body'
import type { RoutedCall } from './router-driver'

export interface TryEvents {
  /** The router chose a server. Returns false if the call must not be sent to it, for example because it has ended. */
  readonly chosen: (server: ServerId) => boolean
  /** Returns false to discard the response: the server did not run the request. */
  readonly head: (head: ResponseHead) => boolean
  readonly data: (part: Buffer, drained: () => void) => boolean
  readonly ended: (head: ResponseHead) => void
  readonly failed: (end: AttemptEnd) => void
  /** The router found no server in time. */
  readonly shed: (code: CodeName) => void
  /**
   * The connection is silent. Returns true to abandon it for a retry, which has then been charged to the retry budget.
   */
  readonly silent: () => boolean
}

export interface TryOptions {
  readonly environment: CallEnvironment
  readonly body: RequestBody
  readonly silenceMs: number
  /** The call as submitted to the router. */
  readonly routed: Omit<RouterCall, 'id'>
  readonly request: (instance: string | undefined, queueLimit: number | undefined) => Omit<ExchangeRequest, 'body'>
  readonly events: TryEvents
}

export class Try implements RoutedCall {
  readonly id: CallId
  readonly #options: TryOptions
  #inquiry: Inquiry | undefined
  #attempt: Attempt | undefined
  #isQueued = true
  #isOver = false

  constructor(options: TryOptions) {
    this.#options = options
    this.id = options.environment.driver.register(this)
  }

  /** Whether a byte of the request was written to a server. */
  get sent(): boolean {
    return this.#attempt?.sent ?? false
  }

  /** Whether the connection is known to be silent while the server works. */
  get silent(): boolean {
    return this.#attempt?.silent ?? false
  }

  start(): void {
    this.#options.environment.driver.submit({ ...this.#options.routed, id: this.id })
  }

  sweep(now: number): void {
    this.#attempt?.sweep(now)
  }

  shed(code: CodeName): void {
    if (!this.#end()) return
    this.#options.events.shed(code)
  }

  inquire(servers: readonly ServerId[]): void {
    this.#inquiry ??= new Inquiry(this.id, this.#options.environment)
    for (const server of servers) this.#inquiry.ask(server)
  }

  dispatched(server: ServerId, queueLimit: number | undefined): void {
    const { environment, body, silenceMs, routed, request, events } = this.#options
    this.#isQueued = false
    const connection = this.#inquiry?.take(server)
    this.#closeInquiry()
    if (this.#isOver || !events.chosen(server)) {
      environment.driver.cancelled(this.id)
      this.#end()
      return
    }
    // Read the instance id now: if the server leaves before the request is sent, another process may get its address.
    const instance = environment.instance(server)
    this.#attempt = new Attempt({
      call: this.id,
      server,
      repeatable: routed.repeatable,
      silenceMs,
      connection,
      environment,
      body,
      request: () => request(instance, queueLimit),
      events: {
        head: events.head,
        data: events.data,
        ended: (head) => {
          this.#end()
          events.ended(head)
        },
        failed: (end) => {
          this.#end()
          events.failed(end)
        },
        silent: events.silent,
      },
    })
    this.#attempt.start()
  }

  /** Ends the attempt without calling an event handler. */
  cancel(cause: CodeName): void {
    if (this.#isOver) return
    this.#attempt?.cancel(cause)
    if (this.#isQueued) this.#options.environment.driver.cancelled(this.id)
    this.#end()
  }

  #end(): boolean {
    if (this.#isOver) return false
    this.#isOver = true
    this.#closeInquiry()
    this.#options.environment.driver.closed(this.id)
    return true
  }

  #closeInquiry(): void {
    this.#inquiry?.close()
    this.#inquiry = undefined
  }
}
