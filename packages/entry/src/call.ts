/**
 * One call from its accepted request head to its result: buffers the body, claims the idempotency key, waits for a
 * server, runs attempts and retries, and forwards the response. The result is reported to the caller once. After an
 * attempt with an unknown outcome, a later failure never reports the call as not run.
 */
import { failure, resultCode, type CodeName, type NodeId, type RequestId, type ServerId } from '@bilberrystall/base'
import type { RequestStanding } from '@bilberrystall/quarantine'
import type { AttemptFailure } from './attempt'
import { AttemptBudget, type RepeatKind } from './attempt-budget'
import { AttemptOutcomes } from './attempt-outcomes'
import { AttemptSet } from './attempt-set'
import type { CallAttempt } from './call-attempt'
import type { CallDependencies } from './call-dependencies'
import { IdempotencyHandler } from './idempotency-handler'
import { requestForEntry, requestForServer, type RequestSource } from './call-request'
import { isRefusal, type ResponseHead } from './head'
import { describeCall, type CallOptions, type EndedCall } from './call-options'
import { CallHedging } from './call-hedging'
import { CallerResponse } from './caller-response'
import { RelayAttempt, type RelayFailure } from './relay-attempt'
import type { RelayPeer } from './relay-peers'
import type { Shed } from '@bilberrystall/routing'
import { saysNothingOfServers } from './relay-protocol'
import { relayResponseFields } from './relay-response'
import { RequestBody } from './request-body'
import { identifyRequest } from './request-identity'
import { ResponseSelection } from './response-selection'
import { failureFields } from './retry-after'
import { RoutedAttempt } from './routed-attempt'
import { routerCallOf, type AttemptKind } from './router-call'

const SERVER_ERROR = 500
/** Entries that a call is passed on to, one after the other, before it fails. */
const MAX_RELAY_PEERS = 3

export class Call {
  /** Monotonic ms. */
  readonly acceptedAt: number
  readonly #options: CallOptions
  readonly #dependencies: CallDependencies
  readonly #body: RequestBody
  readonly #callerResponse: CallerResponse
  readonly #responses: ResponseSelection
  readonly #idempotency: IdempotencyHandler
  readonly #hedging: CallHedging
  readonly #triedServers: ServerId[] = []
  /** Monotonic ms. */
  readonly #deadline: number
  readonly #timer: NodeJS.Timeout
  readonly #budget: AttemptBudget
  readonly #attempts = new AttemptSet()
  readonly #triedPeers: NodeId[] = []
  readonly #outcomes = new AttemptOutcomes()
  #done = false
  #identity: RequestId | undefined

  constructor(options: CallOptions, dependencies: CallDependencies) {
    this.#options = options
    this.#dependencies = dependencies
    this.acceptedAt = dependencies.clock.monotonic()
    const { request, response, head, route, context } = options
    const { limits, clock } = dependencies
    const remaining = context.deadline - clock.unix()
    this.#deadline = this.acceptedAt + remaining
    this.#body = new RequestBody({
      request,
      length: head.bodyLength,
      maxBytes: route.maxBodyBytes,
      bufferBytes: limits.bufferBytes,
      now: clock.monotonic,
    })
    this.#budget = new AttemptBudget({
      attempts: Math.max(1, context.attempts),
      body: this.#body,
      route,
      dependencies,
      remaining: () => this.#remaining(),
    })
    this.#callerResponse = new CallerResponse({
      response,
      connection: options.connection,
      isBodyReceived: () => this.#body.received,
      ...(options.isRelayed ? { added: (result) => relayResponseFields(result, head, dependencies) } : {}),
    })
    this.#idempotency = new IdempotencyHandler({ head, route, document: options.document, dependencies })
    this.#responses = new ResponseSelection({
      caller: this.#callerResponse,
      method: head.method,
      record: (responseHead) => this.#idempotency.record(responseHead),
      committed: (attempt) => {
        this.#cancelOthers(attempt)
      },
    })
    this.#hedging = new CallHedging({
      dependencies,
      route,
      acceptedAt: this.acceptedAt,
      deadline: this.#deadline,
      canHelp: () => !this.#done && this.#attempts.size === 1 && this.#responses.isUntouched,
      canSend: () => this.#budget.canSend && this.#standing.kind === 'clear',
      start: () => {
        this.#submitToRouter('hedged')
      },
    })
    this.#timer = setTimeout(
      () => {
        this.#onDeadline()
      },
      Math.max(0, remaining),
    )
    options.connection.awaitUntil(this.#deadline)
    options.connection.onClosed(response, () => {
      this.#fail('callerCancelled')
      dependencies.onClosed(this)
    })
  }

  describe(): EndedCall {
    const { acceptedAt } = this
    return describeCall(this.#options, this.#dependencies, {
      acceptedAt,
      request: this.#requestId,
      servers: this.#triedServers,
    })
  }

  get #requestId(): RequestId {
    const { head, request } = this.#options
    this.#identity ??= identifyRequest(head, request.headers.authorization, this.#body.identity)
    return this.#identity
  }

  start(): void {
    this.#body.buffer((bufferResult) => {
      if (this.#done) return
      if (bufferResult.kind === 'failed') this.#fail(bufferResult.code)
      else if (!this.#failIfQuarantined()) this.#claimKey()
    })
  }

  /** Ends a call that was not started. */
  refuse(code: CodeName, fields: Record<string, string>): void {
    this.#fail(code, fields)
  }

  /** Checks for a stalled request body and silent connections. Called every `sweepIntervalMs`. */
  sweep(now: number): void {
    if (this.#done) return
    const { limits } = this.#dependencies
    const stalled = this.#body.waitingSince !== undefined && now - this.#body.waitingSince > limits.bodyStallMs
    if (stalled) {
      this.#fail(this.#attempts.isSent ? 'bodyCutShort' : 'bodyIncomplete')
      return
    }
    this.#attempts.sweep(now)
  }

  /** This entry ends: the call fails, as unknown if a server may have run it. */
  onEntryEnd(): void {
    this.#fail('entryLeaving')
  }

  /**
   * This entry has lost its way to the servers. A call that no server has got is passed on to another entry; a repeatable
   * one that was sent is passed on as well, and its attempt continues in case the response still arrives.
   */
  onCutOff(): void {
    if (this.#done || !this.#responses.isUntouched) return
    const attempts = this.#attempts.all
    const isRelayed = attempts.some((attempt) => attempt instanceof RelayAttempt)
    if (attempts.length === 0 || isRelayed || !this.#mayRelay()) return
    const unsent = attempts.filter((attempt) => !attempt.sent)
    const mayRepeat = this.#options.route.repeatable && this.#standing.kind === 'clear'
    if (unsent.length < attempts.length && !(mayRepeat && this.#budget.mayRetry('relay'))) return
    for (const attempt of unsent) this.#cancel(attempt, 'callerCancelled')
    this.#submit()
  }

  #claimKey(): void {
    if (this.#options.isRelayed) {
      this.#submit()
      return
    }
    this.#idempotency.claim(this.#body, this.#remaining(), {
      run: () => {
        if (this.#done) this.#idempotency.settle('not-run')
        else this.#submit()
      },
      refused: (code, fields, members) => {
        this.#fail(code, fields, members)
      },
      replay: (ending) => {
        if (this.#done) return
        this.#finish('complete')
        this.#callerResponse.replay(ending.status, ending.contentType, ending.body ?? new Uint8Array())
      },
    })
  }

  /** Whether the call can be passed on to another entry, because this one reaches no server. */
  #mayRelay(): boolean {
    const { reachability, relayPeers } = this.#dependencies
    if (this.#mayHaveRun && this.#budget.left === 0) return false
    if (this.#options.isRelayed || !reachability.isCutOff || this.#triedPeers.length >= MAX_RELAY_PEERS) return false
    return this.#body.canSend && relayPeers.choose(this.#triedPeers) !== undefined
  }

  #submit(): void {
    const { relayPeers } = this.#dependencies
    const peer = this.#mayRelay() ? relayPeers.choose(this.#triedPeers) : undefined
    if (peer === undefined) this.#submitToRouter()
    else this.#relay(peer)
  }

  get #mayHaveRun(): boolean {
    return this.#attempts.isSent || !this.#outcomes.isNotRun
  }

  #relay(peer: RelayPeer): void {
    const { relayPeers } = this.#dependencies
    this.#triedPeers.push(peer.node)
    const attempts = this.#budget.grant(this.#mayHaveRun)
    const attempt: RelayAttempt = new RelayAttempt({
      peer,
      peers: relayPeers,
      repeatable: this.#options.route.repeatable,
      dependencies: this.#dependencies,
      body: this.#body,
      request: () => requestForEntry(this.#requestSource, { attempts, remainingMs: this.#remaining() }),
      events: {
        ...this.#responseEvents(() => attempt),
        failed: (relayFailure) => {
          this.#remove(attempt)
          this.#onRelayFailure(relayFailure, attempts)
        },
      },
    })
    this.#attempts.add(attempt)
    this.#dependencies.onRelayed()
    attempt.start()
  }

  /** Handles a response in the same way whether it comes from a server or from another entry. */
  #responseEvents(attempt: () => CallAttempt) {
    return {
      head: (responseHead: ResponseHead) => this.#onHead(responseHead, attempt()),
      data: (part: Buffer, drained: () => void) => this.#responses.data(attempt(), part, drained),
      // Such a response may be cut off, because a server that crashes closes its connections as well, so it is not stored.
      mayEndWithConnection: () => !this.#idempotency.hasClaim && this.#callerResponse.canEndWithConnection,
      ended: (responseHead: ResponseHead) => {
        this.#onComplete(responseHead, attempt())
      },
    }
  }

  get #requestSource(): RequestSource {
    return { call: this.#options, body: this.#body, dependencies: this.#dependencies }
  }

  #onRelayFailure({ code, retryAfter }: RelayFailure, attempts: number): void {
    if (this.#done) return
    const isUnknown = resultCode(code).outcome === 'unknown'
    if (!isUnknown) this.#budget.giveBack(attempts)
    this.#outcomes.record(code)
    if (this.#attempts.size > 0) return
    const mayRepeat = isUnknown
      ? this.#options.route.repeatable && this.#budget.mayRetry('relay')
      : saysNothingOfServers(code)
    if (mayRepeat && !this.#callerResponse.hasStarted && this.#mayRelay()) {
      this.#submit()
      return
    }
    this.#fail(code, retryAfter === undefined ? {} : { 'retry-after': retryAfter })
  }

  /** Submits an attempt to the router. An extra attempt runs beside the first one and never ends the call. */
  #submitToRouter(kind: AttemptKind = 'regular'): void {
    const attempt: RoutedAttempt = new RoutedAttempt({
      dependencies: this.#dependencies,
      body: this.#body,
      silenceMs: Math.min(this.#dependencies.limits.silenceMs, this.#remaining() / 4),
      routerCall: routerCallOf({
        call: this.#options,
        kind,
        deadline: this.#deadline,
        // Only a call that can be sent again may go to a full server, which may refuse it.
        resendable: this.#body.buffered !== undefined && this.#budget.left > 1,
        queriesLoad: this.#dependencies.queriesLoad,
        triedServers: this.#triedServers,
      }),
      request: (instance, queueLimit) => {
        const state = { attemptsLeft: this.#budget.left, remainingMs: this.#remaining(), instance, queueLimit }
        return requestForServer(this.#requestSource, state)
      },
      attemptId: this.#options.head.attemptId,
      events: {
        serverChosen: (server) => {
          const mayBeSent = () => this.#onServerChosen(server, kind)
          const isSent = this.#hedging.send({ attempt, server, kind }, mayBeSent)
          if (!isSent) this.#onNotSent(attempt)
          return isSent
        },
        mayStillSend: () => this.#dependencies.keys.refusal(this.#options) === undefined,
        ...this.#responseEvents(() => attempt),
        failed: (attemptFailure) => {
          this.#remove(attempt)
          this.#onFailure(attemptFailure)
        },
        shed: (refusal) => {
          this.#attempts.delete(attempt)
          this.#onShed(refusal, kind)
        },
        silent: () => {
          // When hedged attempts are possible, only a connection that is known to be silent gets a second attempt.
          if (!this.#dependencies.queriesLoad || attempt.silent) this.#repeat('silent')
        },
        unanswered: () => {
          this.#repeat('unanswered')
        },
      },
    })
    this.#attempts.add(attempt)
    attempt.start()
  }

  #onShed({ code, retryAfterMs: waitMs }: Shed, kind: AttemptKind): void {
    this.#hedging.onShed(kind)
    // The other attempt is still in progress.
    if (this.#attempts.size > 0) return
    const { dialect } = this.#dependencies
    if (this.#mayRelay()) this.#submit()
    else this.#fail(code, waitMs === undefined ? {} : { 'retry-after': dialect.retryAfter(waitMs) })
  }

  /** Without another attempt in progress, nothing can provide the response any more. */
  #onNotSent(attempt: CallAttempt): void {
    this.#attempts.delete(attempt)
    if (this.#attempts.size === 0) this.#fail(this.#outcomes.last ?? 'overloaded')
  }

  #onServerChosen(server: ServerId, kind: AttemptKind): boolean {
    if (this.#done || this.#failIfKeyRefused()) return false
    const mayAdd = (extra: RepeatKind) => this.#standing.kind === 'clear' && this.#budget.mayRetry(extra)
    if (kind === 'regular' ? this.#failIfQuarantined() : !mayAdd(kind)) return false
    this.#budget.take()
    this.#triedServers.push(server)
    return true
  }

  /** Returns whether the response is forwarded; otherwise it is discarded and the attempt ends as shed. */
  #onHead(head: ResponseHead, winner: CallAttempt): boolean {
    if (isRefusal(head)) return false
    this.#hedging.onHead(winner)
    this.#cancelOthers(winner)
    this.#responses.open(winner, head)
    return true
  }

  #cancelOthers(winner: CallAttempt): void {
    for (const other of this.#attempts.others(winner)) this.#cancel(other, this.#hedging.onOvertaken(other))
  }

  #onComplete(head: ResponseHead, winner: CallAttempt): void {
    const response = this.#responses.whole(winner)
    if (response === undefined) {
      this.#fail('responseTruncated')
      return
    }
    this.#cancelOthers(winner)
    const { gate } = this.#dependencies
    if (gate.isActive() && !head.notRun && head.status < SERVER_ERROR) gate.completed(this.#requestId)
    this.#finish('complete')
    if (head.notRun) this.#idempotency.settle('not-run')
    else this.#idempotency.complete(response.recording)
    response.complete()
  }

  #onFailure(attemptFailure: AttemptFailure): void {
    const { code } = attemptFailure
    if (this.#done) return
    if (code === 'connectionLost' || code === 'responseTruncated') {
      const { attemptId: attempt } = this.#options.head
      this.#dependencies.onLost({ request: this.#requestId, attempt, server: attemptFailure.server })
    }
    const outcome = resultCode(code).outcome
    this.#outcomes.record(code)
    // A request that other servers did not survive may be the cause of this loss as well.
    const mayRepeat = this.#options.route.repeatable && this.#standing.kind === 'clear'
    const repeatable = outcome === 'not-run' || mayRepeat
    // The other attempt is still in progress.
    if (this.#attempts.size > 0) return
    if (outcome === 'not-run' && this.#failIfKeyRefused()) return
    const canRetry = attemptFailure.canRetry && !this.#callerResponse.hasStarted
    // Nothing has run, so passing the call on is no retry.
    const isPassedOn = canRetry && outcome === 'not-run' && this.#mayRelay()
    const mayReconnect = () => code === 'connectFailed' && this.#budget.mayReconnect()
    if (isPassedOn || (canRetry && repeatable && (mayReconnect() || this.#budget.mayRetry('retry')))) this.#submit()
    else this.#fail(code)
  }

  /**
   * Starts a further attempt for a repeatable call whose connection makes no progress, or none of whose requests was
   * answered for long. Those in progress continue: if a server is only slow, its response is still delivered.
   */
  #repeat(kind: AttemptKind): void {
    if (this.#done || this.#callerResponse.hasStarted) return
    if (this.#attempts.size > 1 && !this.#attempts.areUnanswered) return
    if (this.#budget.canSend && this.#options.route.repeatable) this.#submitToRouter(kind)
  }

  #onDeadline(): void {
    if (!this.#done) this.#fail(this.#attempts.deadlineCode)
  }

  /** Ends the call with a failure. A response that has started is aborted, so the caller sees it as truncated. */
  #fail(cause: CodeName, fields?: Readonly<Record<string, string>>, members?: object): void {
    if (this.#done) return
    if (this.#attempts.isSent) this.#outcomes.recordInProgress(cause)
    for (const attempt of this.#attempts.all) this.#cancel(attempt, cause)
    const code = this.#outcomes.reportedCode(cause)
    this.#finish(code)
    this.#idempotency.settle(this.#outcomes.isNotRun ? 'not-run' : 'unknown')
    const { dialect } = this.#dependencies
    if (code === 'callerCancelled' || this.#callerResponse.hasStarted) this.#callerResponse.abort()
    else this.#callerResponse.problem(failure(code), { ...failureFields(code, dialect), ...fields }, members)
  }

  get #standing(): RequestStanding {
    const { gate } = this.#dependencies
    return gate.isActive() ? gate.standing(this.#requestId) : { kind: 'clear' }
  }

  /** An attempt in progress was sent while the key held, and is left to end. */
  #failIfKeyRefused(): boolean {
    const code = this.#dependencies.keys.refusal(this.#options)
    if (code !== undefined && this.#attempts.size <= 1) this.#fail(code)
    return code !== undefined
  }

  #failIfQuarantined(): boolean {
    const standing = this.#standing
    if (standing.kind !== 'quarantined') return false
    const { dialect, clock } = this.#dependencies
    const retryAfter = dialect.retryAfter(Math.max(0, standing.until - clock.unix()))
    this.#fail('requestQuarantined', { 'retry-after': retryAfter })
    return true
  }

  #cancel(attempt: CallAttempt, cause: CodeName): void {
    this.#remove(attempt)
    attempt.cancel(cause)
  }

  #remove(attempt: CallAttempt): void {
    this.#attempts.delete(attempt)
    this.#responses.discard(attempt)
  }

  #finish(result: CodeName | 'complete'): void {
    this.#done = true
    clearTimeout(this.#timer)
    this.#hedging.end()
    this.#dependencies.onEnded(this, result, this.#options)
  }

  #remaining(): number {
    return this.#deadline - this.#dependencies.clock.monotonic()
  }
}
