/**
 * State machine of one attempt to run the request of an idempotency key. It performs no I/O: its owner delivers the
 * returned requests to the holders, passes replies and the time in, and may send the request to a server only after the
 * decision `run`.
 */
import type { NodeId } from '@bilberrystall/base'
import { majorityOf } from './holders'
import type { AddressedRequest, Ending, HolderReply, HolderRequest, KeyUse } from './message'

/** Far above the longest round trip between failure domains (8 ms one way), so that a busy holder can still reply. */
const DEFAULT_TIMEOUT_MS = 400
const DEFAULT_RESEND_MS = 100
const MAX_RESEND_MS = 5_000
/** A holder that stays unreachable for longer keeps its grant; the other holders of the key are enough. */
const DEFAULT_CLOSE_TIMEOUT_MS = 60_000

export type Decision =
  | { readonly kind: 'run' }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'replay'; readonly ending: Extract<Ending, { kind: 'response' }> }
  | { readonly kind: 'already-run'; readonly status: number }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'table-full' }
  | { readonly kind: 'unavailable' }

export interface ClaimantOptions {
  readonly use: KeyUse
  readonly holders: readonly NodeId[]
  /** Longest time in ms for which the owner may work on the request. */
  readonly runMs: number
  readonly timeoutMs?: number
  readonly resendMs?: number
  readonly closeTimeoutMs?: number
}

type Phase = 'idle' | 'claiming' | 'running' | 'closing' | 'closed'

export class Claimant {
  readonly #options: Required<ClaimantOptions>
  readonly #replies = new Map<NodeId, HolderReply>()
  #phase: Phase = 'idle'
  #decision: Decision | undefined
  /** The request that every holder must confirm in the phases `claiming` and `closing`. */
  #request: HolderRequest
  #pending = new Set<NodeId>()
  #resendAt = Infinity
  #resendMs: number
  #phaseEndsAt = Infinity

  constructor(options: ClaimantOptions) {
    this.#options = {
      timeoutMs: DEFAULT_TIMEOUT_MS,
      resendMs: DEFAULT_RESEND_MS,
      closeTimeoutMs: DEFAULT_CLOSE_TIMEOUT_MS,
      ...options,
    }
    this.#request = { kind: 'claim', use: options.use, runMs: options.runMs }
    this.#resendMs = this.#options.resendMs
  }

  get decision(): Decision | undefined {
    return this.#decision
  }

  get closed(): boolean {
    return this.#phase === 'closed'
  }

  /** Time in ms at which `tick` must be called next. */
  get wakeAt(): number {
    return Math.min(this.#resendAt, this.#phaseEndsAt)
  }

  start(now: number): readonly AddressedRequest[] {
    if (this.#phase !== 'idle') {
      return []
    }
    if (this.#options.holders.length === 0) {
      this.#decision = { kind: 'unavailable' }
      this.#phase = 'closed'
      return []
    }
    this.#phase = 'claiming'
    return this.#sendToAll(this.#request, this.#options.timeoutMs, now)
  }

  receive(
    holder: NodeId,
    repliesTo: HolderRequest['kind'],
    reply: HolderReply,
    now: number,
  ): readonly AddressedRequest[] {
    if (repliesTo !== this.#request.kind || !this.#pending.has(holder) || reply.kind === 'unreachable') {
      return []
    }
    if (this.#phase === 'claiming') {
      this.#pending.delete(holder)
      this.#replies.set(holder, reply)
      return this.#decide(now, false)
    }
    if (this.#phase === 'closing' && (reply.kind === 'recorded' || reply.kind === 'expired')) {
      this.#pending.delete(holder)
      this.#closeWhenConfirmed()
    }
    return []
  }

  tick(now: number): readonly AddressedRequest[] {
    if (now >= this.#phaseEndsAt) {
      if (this.#phase === 'claiming') {
        return this.#decide(now, true)
      }
      this.#endPhase('closed')
      return []
    }
    if (now < this.#resendAt) {
      return []
    }
    this.#resendMs = Math.min(this.#resendMs * 2, MAX_RESEND_MS)
    this.#resendAt = now + this.#resendMs
    return this.#requestsToPending()
  }

  /** Called when the request ran or may have run. */
  complete(ending: Ending, now: number): readonly AddressedRequest[] {
    return this.#close({ kind: 'complete', use: this.#options.use, ending }, now)
  }

  /** Called when the request certainly did not run and will not be sent any more. */
  release(now: number): readonly AddressedRequest[] {
    return this.#close({ kind: 'release', use: this.#options.use }, now)
  }

  #close(request: HolderRequest, now: number): readonly AddressedRequest[] {
    if (this.#phase !== 'running') {
      return []
    }
    this.#phase = 'closing'
    return this.#sendToAll(request, this.#options.closeTimeoutMs, now)
  }

  #sendToAll(request: HolderRequest, timeoutMs: number, now: number): readonly AddressedRequest[] {
    this.#request = request
    this.#pending = new Set(this.#options.holders)
    this.#resendMs = this.#options.resendMs
    this.#resendAt = now + this.#resendMs
    this.#phaseEndsAt = now + timeoutMs
    return this.#requestsToPending()
  }

  #requestsToPending(): readonly AddressedRequest[] {
    return [...this.#pending].map((holder) => ({ holder, request: this.#request }))
  }

  #endPhase(phase: Phase): void {
    this.#phase = phase
    this.#resendAt = Infinity
    this.#phaseEndsAt = Infinity
  }

  #closeWhenConfirmed(): void {
    if (this.#pending.size === 0) {
      this.#endPhase('closed')
    }
  }

  #decide(now: number, timedOut: boolean): readonly AddressedRequest[] {
    const decision = decide([...this.#replies.values()], this.#options.holders.length, timedOut)
    if (decision === undefined) {
      return []
    }
    this.#decision = decision
    if (decision.kind === 'run') {
      this.#endPhase('running')
      return []
    }
    // Sent to all holders, including those that refused, because a duplicate of the claim may still reach any of them.
    this.#phase = 'closing'
    return this.#sendToAll({ kind: 'release', use: this.#options.use }, this.#options.closeTimeoutMs, now)
  }
}

/** Decides by a recorded ending regardless of grants, otherwise as soon as a majority is certain or impossible. */
function decide(replies: readonly HolderReply[], holders: number, timedOut: boolean): Decision | undefined {
  const ended = replies.find((reply) => reply.kind === 'ended')
  if (ended !== undefined) {
    return decisionOfEnding(ended)
  }
  const majority = majorityOf(holders)
  const granted = replies.filter((reply) => reply.kind === 'granted').length
  if (granted >= majority) {
    return { kind: 'run' }
  }
  const outstanding = timedOut ? 0 : holders - replies.length
  return granted + outstanding >= majority ? undefined : refusal(replies)
}

function decisionOfEnding(reply: Extract<HolderReply, { kind: 'ended' }>): Decision {
  const { ending } = reply
  if (!reply.sameRequest) {
    return { kind: 'mismatch' }
  }
  if (ending.kind === 'unknown') {
    return { kind: 'unknown' }
  }
  return ending.body === undefined ? { kind: 'already-run', status: ending.status } : { kind: 'replay', ending }
}

function refusal(replies: readonly HolderReply[]): Decision {
  const conflicting = replies.filter((reply) => reply.kind === 'held' || reply.kind === 'abandoned')
  if (conflicting.some((reply) => !reply.sameRequest)) {
    return { kind: 'mismatch' }
  }
  const kinds = new Set(replies.map((reply) => reply.kind))
  if (kinds.has('held')) {
    return { kind: 'in-progress' }
  }
  if (kinds.has('abandoned')) {
    return { kind: 'unknown' }
  }
  if (kinds.has('expired')) {
    return { kind: 'expired' }
  }
  return { kind: kinds.has('full') ? 'table-full' : 'unavailable' }
}
