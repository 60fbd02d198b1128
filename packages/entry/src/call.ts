/**
 * One call from its accepted request head to its result: buffers the body, claims the idempotency key, waits for a
 * server, runs attempts and retries, and forwards the response. The result is reported to the caller once. After an
 * attempt with an unknown outcome, a later failure never reports the call as not run.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { failure, resultCode, type CodeName, type ServerId } from '@bilberrystall/base'
import type { Document, Route } from '@bilberrystall/document'
import type { AttemptEnd } from './attempt'
import type { CallEnvironment } from './call-environment'
import { KeyedCall } from './keyed-call'
import { CONTEXT_HEADER, QUEUE_LIMIT_HEADER, requestFields, type Head, type ResponseHead } from './head'
import type { CallContext } from './context'
import { Reply } from './reply'
import { RequestBody } from './request-body'
import { Try } from './try'

/** Statuses with which a server may report that it did not run the request; callers read them the same way. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Default `retry-after`: a server is likely to be free after the duration of a typical call. */
const USUAL_RETURN_MS = 100
/** `retry-after` of refusals that last longer: until servers have announced themselves or a new one has started. */
const RETURN_AFTER_MS: Partial<Record<CodeName, number>> = { noServer: 500, connectFailed: 300 }

/** Fraction of the target latency after which a hedged attempt starts. */
const HEDGE_SHARE = 0.5

export interface CallOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Returns whether no pipelined request of the caller follows on the connection. */
  readonly isLast: () => boolean
  readonly head: Head
  readonly document: Document
  readonly route: Route
  /** Context of this call, including its own hop. */
  readonly context: CallContext
}

/** Data of an ended call for the log. */
export interface EndedCall {
  readonly route: string
  readonly service: string
  /** Attempt id sent by the caller. */
  readonly attempt: string | undefined
  /** Servers to which the call was sent, in order. */
  readonly servers: readonly ServerId[]
}

export class Call {
  /** Monotonic ms. */
  readonly acceptedAt: number
  readonly #options: CallOptions
  readonly #environment: CallEnvironment
  readonly #body: RequestBody
  readonly #reply: Reply
  readonly #keyed: KeyedCall
  readonly #tried: ServerId[] = []
  /** Monotonic ms. */
  readonly #deadline: number
  readonly #timer: NodeJS.Timeout
  #attemptsLeft: number
  /** Attempts in progress; a second one only for a repeatable call. */
  readonly #tries = new Set<Try>()
  #hedgeTimer: NodeJS.Timeout | undefined
  #done = false
  /** Result code of the first attempt with an unknown outcome. */
  #unknown: CodeName | undefined

  constructor(options: CallOptions, environment: CallEnvironment) {
    this.#options = options
    this.#environment = environment
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
      environment.closed(this)
    })
  }

  describe(): EndedCall {
    const { route, head } = this.#options
    return { route: route.name, service: route.service, attempt: head.attempt, servers: this.#tried }
  }

  begin(): void {
    this.#body.gather((gathered) => {
      if (this.#done) return
      if (gathered.kind === 'failed') this.#fail(gathered.code)
      else this.#claim()
    })
  }

  /** Checks for a stalled request body and silent connections. Called every `sweepIntervalMs`. */
  sweep(now: number): void {
    if (this.#done) return
    const { limits } = this.#environment
    const stalled = this.#body.waitingSince !== undefined && now - this.#body.waitingSince > limits.bodyStallMs
    if (stalled) {
      this.#fail(this.#sent ? 'bodyCutShort' : 'bodyIncomplete')
      return
    }
    for (const current of this.#tries) current.sweep(now)
  }

  get #sent(): boolean {
    return [...this.#tries].some(({ sent }) => sent)
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

  /** Submits an attempt to the router. A hedged attempt accepts only a server that is free immediately. */
  #submit(isHedge = false): void {
    const { route, context, head, request } = this.#options
    const current: Try = new Try({
      environment: this.#environment,
      body: this.#body,
      silenceMs: Math.min(this.#environment.limits.silenceMs, this.#remaining() / 4),
      routed: {
        service: route.service,
        urgency: context.urgency,
        deadline: this.#deadline,
        ...(route.targetMs === undefined ? {} : { target: route.targetMs }),
        repeatable: route.repeatable,
        // Only a call that can be sent again may go to a full server, which may refuse it.
        resendable: this.#body.whole !== undefined && this.#attemptsLeft > 1,
        onlyIfFree: isHedge,
        tried: [...this.#tried],
      },
      request: (instance, queueLimit) => ({
        method: head.method,
        target: head.target,
        fields: requestFields(request, this.#addedFields(instance, queueLimit), this.#environment.dialect),
        attempt: head.attempt,
      }),
      events: {
        chosen: (server) => this.#chosen(server, isHedge),
        head: (responseHead) => this.#onHead(responseHead, current),
        data: (part, drained) => {
          this.#keyed.observe(part)
          return this.#reply.data(part, drained)
        },
        ended: (responseHead) => {
          this.#complete(responseHead)
        },
        failed: (end) => {
          this.#tries.delete(current)
          this.#onFailure(end)
        },
        shed: (code) => {
          this.#tries.delete(current)
          // The other attempt is still in progress.
          if (this.#tries.size === 0) this.#fail(code)
        },
        silent: () => this.#canSwitch(current),
      },
    })
    this.#tries.add(current)
    current.start()
  }

  #chosen(server: ServerId, isHedge: boolean): boolean {
    if (this.#done) return false
    if (isHedge && !this.#mayRetry()) return false
    this.#attemptsLeft -= 1
    this.#tried.push(server)
    if (!isHedge) this.#armHedge()
    return true
  }

  /**
   * Starts a hedged attempt for a repeatable call after half of its target latency, because the server has become slow.
   * The first attempt continues, since its server may still respond first.
   */
  #armHedge(): void {
    const { route } = this.#options
    clearTimeout(this.#hedgeTimer)
    if (!this.#environment.asksServers || !route.repeatable || route.targetMs === undefined) return
    this.#hedgeTimer = setTimeout(() => {
      const canHelp = this.#tries.size === 1 && !this.#reply.begun && this.#reply.isEmpty
      if (!this.#done && canHelp && this.#attemptsLeft > 0 && this.#body.whole !== undefined) this.#submit(true)
    }, route.targetMs * HEDGE_SHARE)
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
    // undici sets content-length itself for a buffered body.
    if (this.#body.whole === undefined && bodyLength !== undefined) fields.push('content-length', String(bodyLength))
    return fields
  }

  /** Returns whether the response is forwarded; otherwise it is discarded and the attempt ends as shed. */
  #onHead(head: ResponseHead, from: Try): boolean {
    if (head.notRun && PROMISES_NOT_RUN.has(head.status)) return false
    for (const other of this.#tries) if (other !== from) this.#cancel(other, 'callerCancelled')
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
    const { code } = end
    if (this.#done) return
    const outcome = resultCode(code).outcome
    if (outcome === 'unknown') this.#unknown ??= code
    const repeatable = outcome === 'not-run' || this.#options.route.repeatable
    // The other attempt is still in progress.
    if (this.#tries.size > 0) return
    if (end.retry && !this.#reply.begun && repeatable && (end.allowed || this.#mayRetry())) {
      this.#reply.reset()
      this.#submit()
      return
    }
    this.#fail(code)
  }

  /**
   * Returns whether a repeatable call abandons a silent connection for another server. When hedged attempts are
   * possible, only a connection that is known to be silent is abandoned.
   */
  #canSwitch(current: Try): boolean {
    const isSure = !this.#environment.asksServers || current.silent
    return isSure && this.#options.route.repeatable && !this.#reply.begun && this.#mayRetry()
  }

  #mayRetry(): boolean {
    if (this.#attemptsLeft <= 0 || this.#body.whole === undefined || this.#remaining() <= 0) return false
    return this.#environment.driver.mayRetry(this.#options.route.service)
  }

  #expire(): void {
    if (this.#done) return
    const silent = [...this.#tries].some((current) => current.silent)
    this.#fail(this.#sent ? (silent ? 'connectionSilent' : 'deadlineUnknown') : 'deadlineNotRun')
  }

  #callerGone(): void {
    if (this.#done) return
    this.#fail('callerCancelled')
  }

  /** Ends the call with a failure. A response that has started is aborted, so the caller sees it as truncated. */
  #fail(cause: CodeName, fields?: Readonly<Record<string, string>>, members?: object): void {
    if (this.#done) return
    if (this.#sent) this.#unknown ??= resultCode(cause).outcome === 'unknown' ? cause : 'connectionLost'
    for (const current of this.#tries) this.#cancel(current, cause)
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

  #cancel(current: Try, cause: CodeName): void {
    this.#tries.delete(current)
    current.cancel(cause)
  }

  #finish(result: CodeName | 'complete'): void {
    this.#done = true
    clearTimeout(this.#timer)
    clearTimeout(this.#hedgeTimer)
    this.#environment.ended(this, result)
  }

  #remaining(): number {
    return this.#deadline - this.#environment.clock.monotonic()
  }

  #retryAfter(code: CodeName): Readonly<Record<string, string>> {
    const isRefused = resultCode(code).status === 503 || code === 'keyInProgress'
    return isRefused
      ? { 'retry-after': this.#environment.dialect.retryAfter(RETURN_AFTER_MS[code] ?? USUAL_RETURN_MS) }
      : {}
  }
}
