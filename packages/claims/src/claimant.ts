/**
 * One attempt to run the request of a key, as a pure state machine. The owner delivers the returned requests, passes
 * replies and time in, and may send the request to a server only after the decision `run`.
 */
import type { NodeId } from '@bilberrystall/base'
import { majorityOf } from './holders'
import type { AddressedRequest, Ending, HolderReply, HolderRequest, KeyUse } from './message'

/** Twice the longest path between failure domains (8 ms one way) with ample room for a busy holder. */
const DEFAULT_TIMEOUT_MS = 400
const DEFAULT_RESEND_MS = 100
const MAX_RESEND_MS = 5_000
/** Holders that stay unreachable for longer keep their grant; the key still has the other holders. */
const DEFAULT_CLOSE_MS = 60_000

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
  /** Longest time in ms for which the owner works on the request. */
  readonly runMs: number
  readonly timeoutMs?: number
  readonly resendMs?: number
  readonly closeMs?: number
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
      closeMs: DEFAULT_CLOSE_MS,
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

  /** Time in ms of the next tick that has an effect. */
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
    return this.#begin(this.#request, this.#options.timeoutMs, now)
  }

  receive(holder: NodeId, to: HolderRequest['kind'], reply: HolderReply, now: number): readonly AddressedRequest[] {
    if (to !== this.#request.kind || !this.#pending.has(holder) || reply.kind === 'unreachable') {
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
      this.#stop('closed')
      return []
    }
    if (now < this.#resendAt) {
      return []
    }
    this.#resendMs = Math.min(this.#resendMs * 2, MAX_RESEND_MS)
    this.#resendAt = now + this.#resendMs
    return this.#address()
  }

  /** The request ran, or may have run. */
  complete(ending: Ending, now: number): readonly AddressedRequest[] {
    return this.#close({ kind: 'complete', use: this.#options.use, ending }, now)
  }

  /** The request provably did not run and will not be sent any more. */
  release(now: number): readonly AddressedRequest[] {
    return this.#close({ kind: 'release', use: this.#options.use }, now)
  }

  #close(request: HolderRequest, now: number): readonly AddressedRequest[] {
    if (this.#phase !== 'running') {
      return []
    }
    this.#phase = 'closing'
    return this.#begin(request, this.#options.closeMs, now)
  }

  #begin(request: HolderRequest, limitMs: number, now: number): readonly AddressedRequest[] {
    this.#request = request
    this.#pending = new Set(this.#options.holders)
    this.#resendMs = this.#options.resendMs
    this.#resendAt = now + this.#resendMs
    this.#phaseEndsAt = now + limitMs
    return this.#address()
  }

  #address(): readonly AddressedRequest[] {
    return [...this.#pending].map((holder) => ({ holder, request: this.#request }))
  }

  #stop(phase: Phase): void {
    this.#phase = phase
    this.#resendAt = Infinity
    this.#phaseEndsAt = Infinity
  }

  #closeWhenConfirmed(): void {
    if (this.#pending.size === 0) {
      this.#stop('closed')
    }
  }

  #decide(now: number, timedOut: boolean): readonly AddressedRequest[] {
    const decision = decide([...this.#replies.values()], this.#options.holders.length, timedOut)
    if (decision === undefined) {
      return []
    }
    this.#decision = decision
    if (decision.kind === 'run') {
      this.#stop('running')
      return []
    }
    // All holders, also those that refused: a duplicate of the claim may still be on its way to any of them.
    this.#phase = 'closing'
    return this.#begin({ kind: 'release', use: this.#options.use }, this.#options.closeMs, now)
  }
}

/** A recorded end outweighs any number of grants; otherwise a majority decides as soon as it is certain. */
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
  const missing = timedOut ? 0 : holders - replies.length
  return granted + missing >= majority ? undefined : refusal(replies)
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
  const occupied = replies.filter((reply) => reply.kind === 'held' || reply.kind === 'abandoned')
  if (occupied.some((reply) => !reply.sameRequest)) {
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
