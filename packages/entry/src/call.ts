/**
 * One call from its accepted head to its result: gathers the body, claims the key, waits for a server, runs exchanges
 * and retries, and passes the response on. The result is told to the caller once, and truthfully: after any attempt
 * whose end is unknown no later failure can turn the call into one that did not run.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { failure, resultCode, type CodeName, type ServerId } from '@bilberrystall/base'
import type { Document, Route } from '@bilberrystall/document'
import type { CallId } from '@bilberrystall/routing'
import { Attempt, type AttemptEnd } from './attempt'
import type { CallEnvironment } from './call-environment'
import { Inquiry } from './inquiry'
import { KeyedCall } from './keyed-call'
import { CONTEXT_HEADER, QUEUE_LIMIT_HEADER, requestFields, type Head, type ResponseHead } from './head'
import type { CallContext } from './context'
import { Reply } from './reply'
import { RequestBody } from './request-body'
import type { RoutedCall } from './router-driver'

/** Statuses by which a server may say that it did not run the request, and the caller would take it so. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Time after which a refused call may find a free server: the length of a usual call. */
const RETURN_AFTER_MS = 100

export interface CallOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Whether no request of the caller waits behind this one on its connection. */
  readonly isLast: () => boolean
  readonly head: Head
  readonly document: Document
  readonly route: Route
  /** Context of this call, with its own step added. */
  readonly context: CallContext
}

export class Call implements RoutedCall {
  readonly id: CallId
  /** Monotonic ms. */
  readonly acceptedAt: number
  readonly #options: CallOptions
  readonly #environment: CallEnvironment
  readonly #body: RequestBody
  readonly #reply: Reply
  readonly #keyed: KeyedCall
  readonly #tried: ServerId[] = []
  #inquiry: Inquiry | undefined
  /** Monotonic ms. */
  readonly #deadline: number
  readonly #timer: NodeJS.Timeout
  #attemptsLeft: number
  #attempt: Attempt | undefined
  #queued = false
  #done = false
  /** Code of the first attempt whose end is unknown. */
  #unknown: CodeName | undefined

  constructor(options: CallOptions, environment: CallEnvironment) {
    this.#options = options
    this.#environment = environment
    this.id = environment.driver.register(this)
    this.acceptedAt = environment.clock.monotonic()
    const { request, response, head, route, context } = options
    const { limits, clock } = environment
    const remaining = context.deadline - clock.unix()
    this.#deadline = this.acceptedAt + remaining
    this.#attemptsLeft = Math.max(1, context.attempts)
    this.#body = new RequestBody({
      request,
      length: head.bodyLength,
      maxBytes: route.maxBodyBytes,
      gatherBytes: limits.gatherBytes,
      now: clock.monotonic,
    })
    this.#reply = new Reply(response, () => (environment.draining() && options.isLast()) || !this.#body.received)
    this.#keyed = new KeyedCall({ head, route, document: options.document, environment })
    this.#timer = setTimeout(
      () => {
        this.#expire()
      },
      Math.max(0, remaining),
    )
    response.once('close', () => {
      this.#callerGone()
      environment.driver.closed(this.id)
      environment.closed()
    })
  }

  begin(): void {
    this.#body.gather((gathered) => {
      if (this.#done) return
      if (gathered.kind === 'failed') this.#fail(gathered.code)
      else this.#claim()
    })
  }

  /** Called at short intervals: finds stalled request bodies and silent connections. */
  sweep(now: number): void {
    if (this.#done) return
    const { limits } = this.#environment
    const stalled = this.#body.waitingSince !== undefined && now - this.#body.waitingSince > limits.bodyStallMs
    if (stalled) {
      this.#fail(this.#attempt?.sent === true ? 'bodyCutShort' : 'bodyIncomplete')
      return
    }
    this.#attempt?.sweep(now)
  }

  #claim(): void {
    this.#keyed.claim(this.#body, this.#remaining(), {
      run: () => {
        if (this.#done) this.#keyed.settle('not-run')
        else this.#submit()
      },
      refused: (code, fields, members) => {
        this.#fail(code, fields, members)
      },
      replay: (ending) => {
        if (this.#done) return
        this.#finish('complete')
        this.#reply.kept(ending.status, ending.contentType, ending.body ?? new Uint8Array())
      },
    })
  }

  #submit(): void {
    const { route, context } = this.#options
    this.#queued = true
    this.#environment.driver.submit({
      id: this.id,
      service: route.service,
      urgency: context.urgency,
      deadline: this.#deadline,
      ...(route.targetMs === undefined ? {} : { target: route.targetMs }),
      repeatable: route.repeatable,
      // Only a call that can be sent again may be offered to a full server for refusal.
      resendable: this.#body.whole !== undefined && this.#attemptsLeft > 1,
      tried: [...this.#tried],
    })
  }

  /** The router gave the call up. */
  shed(code: CodeName): void {
    this.#queued = false
    this.#endInquiry()
    this.#fail(code)
  }

  /** The router asks servers before it chooses one. */
  inquire(servers: readonly ServerId[]): void {
    this.#inquiry ??= new Inquiry(this.id, this.#environment)
    for (const server of servers) this.#inquiry.ask(server)
  }

  /** The router chose a server. */
  dispatched(server: ServerId, queueLimit: number | undefined): void {
    const { route, head, request } = this.#options
    this.#queued = false
    const connection = this.#inquiry?.take(server)
    this.#endInquiry()
    if (this.#done) {
      this.#environment.driver.cancelled(this.id)
      return
    }
    // Named now: when the server leaves before the request is sent, another process may get its address.
    const instance = this.#environment.instance(server)
    this.#attemptsLeft -= 1
    this.#tried.push(server)
    const silenceMs = Math.min(this.#environment.limits.silenceMs, this.#remaining() / 4)
    this.#attempt = new Attempt({
      call: this.id,
      server,
      repeatable: route.repeatable,
      silenceMs,
      connection,
      environment: this.#environment,
      body: this.#body,
      request: () => ({
        method: head.method,
        target: head.target,
        fields: requestFields(request, this.#addedFields(instance, queueLimit), this.#environment.dialect),
        attempt: head.attempt,
      }),
      events: {
        head: (responseHead) => this.#onHead(responseHead),
        data: (part, drained) => {
          this.#keyed.observe(part)
          return this.#reply.data(part, drained)
        },
        ended: (responseHead) => {
          this.#complete(responseHead)
        },
        failed: (end) => {
          this.#onFailure(end)
        },
        silent: () => this.#canSwitch(),
      },
    })
    this.#attempt.start()
  }

  #addedFields(instance: string | undefined, queueLimit: number | undefined): string[] {
    const { context } = this.#options
    const { dialect, codec } = this.#environment
    const fields = [dialect.deadlineHeader, String(Math.max(1, Math.floor(this.#remaining())))]
    if (dialect.carriesContext) {
      fields.push(CONTEXT_HEADER, codec.sign({ ...context, attempts: this.#attemptsLeft }))
      if (queueLimit !== undefined) fields.push(QUEUE_LIMIT_HEADER, String(queueLimit))
    }
    if (dialect.instanceHeader !== undefined) fields.push(dialect.instanceHeader, instance ?? '')
    const { bodyLength } = this.#options.head
    // The library states the length of a gathered body itself.
    if (this.#body.whole === undefined && bodyLength !== undefined) fields.push('content-length', String(bodyLength))
    return fields
  }

  /** Returns whether the response is passed on; otherwise it is discarded and the attempt ends as shed. */
  #onHead(head: ResponseHead): boolean {
    if (head.notRun && PROMISES_NOT_RUN.has(head.status)) return false
    this.#keyed.responded(head)
    this.#reply.head(head)
    return true
  }

  #complete(head: ResponseHead): void {
    this.#finish('complete')
    this.#keyed.settle(head.notRun ? 'not-run' : 'complete')
    this.#reply.end()
  }

  #onFailure(end: AttemptEnd): void {
    this.#attempt = undefined
    const { code } = end
    if (this.#done) return
    const outcome = resultCode(code).outcome
    if (outcome === 'unknown') this.#unknown ??= code
    const repeatable = outcome === 'not-run' || this.#options.route.repeatable
    if (end.retry && !this.#reply.begun && repeatable && (end.allowed || this.#mayRetry())) {
      this.#reply.reset()
      this.#submit()
      return
    }
    this.#fail(code)
  }

  /** A repeatable call on a silent connection moves to another server while it still can. */
  #canSwitch(): boolean {
    return this.#options.route.repeatable && !this.#reply.begun && this.#mayRetry()
  }

  #mayRetry(): boolean {
    if (this.#attemptsLeft <= 0 || this.#body.whole === undefined || this.#remaining() <= 0) return false
    return this.#environment.driver.mayRetry(this.#options.route.service)
  }

  #expire(): void {
    if (this.#done) return
    const attempt = this.#attempt
    const silent = attempt?.silent === true
    this.#fail(attempt?.sent === true ? (silent ? 'connectionSilent' : 'deadlineUnknown') : 'deadlineNotRun')
  }

  #callerGone(): void {
    if (this.#done) return
    this.#fail('callerCancelled')
  }

  /** Ends the call with a failure; a response that has begun is aborted, which the caller sees as cut short. */
  #fail(cause: CodeName, fields?: Readonly<Record<string, string>>, members?: object): void {
    if (this.#done) return
    if (this.#attempt?.sent === true)
      this.#unknown ??= resultCode(cause).outcome === 'unknown' ? cause : 'connectionLost'
    this.#attempt?.cancel(cause)
    this.#attempt = undefined
    if (this.#queued) this.#environment.driver.cancelled(this.id)
    const code = this.#truthful(cause)
    this.#finish(code)
    this.#keyed.settle(this.#unknown === undefined ? 'not-run' : 'unknown')
    if (code === 'callerCancelled' || this.#reply.begun) this.#reply.abort()
    else this.#reply.problem(failure(code), { ...this.#retryAfter(code), ...fields }, members)
  }

  #truthful(cause: CodeName): CodeName {
    const claimsNotRun = resultCode(cause).outcome === 'not-run'
    return claimsNotRun && this.#unknown !== undefined ? this.#unknown : cause
  }

  #endInquiry(): void {
    this.#inquiry?.close()
    this.#inquiry = undefined
  }

  #finish(result: CodeName | 'complete'): void {
    this.#endInquiry()
    this.#done = true
    clearTimeout(this.#timer)
    this.#environment.ended(this, result)
  }

  #remaining(): number {
    return this.#deadline - this.#environment.clock.monotonic()
  }

  #retryAfter(code: CodeName): Readonly<Record<string, string>> {
    const isRefused = resultCode(code).status === 503 || code === 'keyInProgress'
    return isRefused ? { 'retry-after': this.#environment.dialect.retryAfter(RETURN_AFTER_MS) } : {}
  }
}
