/** Matches the head of a request against the document in force and derives the context of the call. */
import { failure, type Failure, type RandomSource } from '@bilberrystall/base'
import { matchRoute, type Document, type Organisation, type Route } from '@bilberrystall/document'
import type { PendingQuota } from '@bilberrystall/routing'
import { err, ok, type Result } from 'neverthrow'
import type { CallAdmission } from './call-admission'
import type { CallPriorities, Precedence } from './call-priorities'
import { appendHop, type CallContext, type ContextCodec } from './context'
import type { RequestHead } from './head'
import type { KeyCheck } from './key-check'
import type { Clock } from './limits'
import { decodeRelayRequest } from './relay-protocol'
import { TrafficSplitter } from './traffic-splitter'

/** Subtracted from the timeout that a caller sends, to leave time for the response to reach it. */
const RESPONSE_ALLOWANCE_MS = 20

export interface CallPreparationOptions {
  readonly document: () => Document | undefined
  /** Number of the document in force, which grows with each change. */
  readonly revision: () => number
  readonly codec: ContextCodec
  readonly clock: Clock
  readonly random: RandomSource
  readonly keys: KeyCheck
  readonly priorities: CallPriorities
  readonly admission: Pick<CallAdmission, 'takeQuota'>
}

interface MatchedCall {
  readonly document: Document
  readonly route: Route
  /** Organisation of the caller; undefined if it has not identified itself. */
  readonly organisation: Organisation | undefined
}

export interface PreparedCall extends MatchedCall {
  readonly head: RequestHead
  readonly context: CallContext
  readonly precedence: Precedence
  /** Decision on the quota that the call waits for; undefined if it is admitted. */
  readonly quota?: PendingQuota | undefined
}

export class CallPreparation {
  readonly #options: CallPreparationOptions
  readonly #trafficSplitter: TrafficSplitter

  constructor(options: CallPreparationOptions) {
    this.#options = options
    this.#trafficSplitter = new TrafficSplitter(options.random)
  }

  configure(document: Document): void {
    this.#trafficSplitter.configure(document)
  }

  /** Prepares a call of a caller. */
  prepare(head: RequestHead): Result<PreparedCall, Failure> {
    return this.#match(head).andThen((matched) =>
      this.#createContext(head, matched)
        .andThen((placed) => this.#admit(matched.organisation).map((quota) => ({ ...placed, quota })))
        .map((placed) => ({ head, ...matched, ...placed })),
    )
  }

  /** Prepares a call that another entry passed on. */
  prepareRelayed(head: RequestHead): Result<PreparedCall, Failure> {
    const { codec, clock, revision } = this.#options
    const now = clock.unix()
    return decodeRelayRequest(head.relay, codec, now).andThen(({ context, leftMs, minRevision }) => {
      if (revision() < minRevision) return err(failure('notReady', `revision ${minRevision} is not in force here`))
      return this.#match(head).map((matched) => {
        const deadline = now + Math.min(matched.route.deadlineMs, leftMs - RESPONSE_ALLOWANCE_MS)
        const attempts = Math.min(matched.route.attempts, Math.max(1, context.attempts))
        const precedence = this.#options.priorities.placeRelayed(matched)
        return { head, ...matched, context: { ...context, attempts, deadline }, precedence }
      })
    })
  }

  /** A call that another entry passed on was counted there. */
  #admit(organisation: Organisation | undefined): Result<PendingQuota | undefined, Failure> {
    if (organisation === undefined) return ok(undefined)
    const { admission, priorities } = this.#options
    const decision = admission.takeQuota(organisation.name)
    switch (decision.kind) {
      case 'admitted':
        priorities.admitted(organisation.name)
        return ok(undefined)
      case 'pending':
        return ok(decision)
      case 'refused':
        return err({ ...failure('quotaExceeded'), retryAfterMs: decision.retryAfterMs })
    }
  }

  #match(head: RequestHead): Result<MatchedCall, Failure> {
    const document = this.#options.document()
    if (document === undefined) return err(failure('notReady'))
    const match = matchRoute(document, head.host, head.method, head.path)
    if (match.kind === 'none') return err(failure('noRoute'))
    if (match.kind === 'method-not-allowed') return err(failure('methodNotAllowed'))
    if (head.bytes > document.callerLimits.headBytes) return err(failure('headTooLarge'))
    const { keys } = this.#options
    return keys.identify(head.authorization, match.route, document).map((organisation) => ({
      document,
      organisation,
      route: this.#trafficSplitter.selectService(match.route),
    }))
  }

  #createContext(
    head: RequestHead,
    { route, organisation }: MatchedCall,
  ): Result<Pick<PreparedCall, 'context' | 'precedence'>, Failure> {
    const { codec, clock, priorities } = this.#options
    const now = clock.unix()
    const parent = head.context === undefined ? undefined : codec.verify(head.context, now)
    const callerTimeoutMs = head.callerTimeoutMs === undefined ? Infinity : head.callerTimeoutMs - RESPONSE_ALLOWANCE_MS
    const deadline = Math.min(now + route.deadlineMs, now + callerTimeoutMs, parent?.deadline ?? Infinity)
    if (deadline <= now) return err(failure('deadlineNotRun'))
    const hop = { service: route.service, method: head.method, path: head.path }
    const { isDeferrable, precedence } = priorities.place({ route, organisation }, parent?.urgency === 'deferrable')
    const attempts = Math.min(route.attempts, Math.max(1, parent?.attempts ?? Infinity))
    const urgency = isDeferrable ? 'deferrable' : 'urgent'
    return appendHop(parent?.hops ?? [], hop).map((hops) => ({
      context: { deadline, attempts, urgency, hops },
      precedence,
    }))
  }
}
