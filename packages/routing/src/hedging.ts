/**
 * Decides if and when a hedged attempt of a call starts: a second attempt at another server, while the first one is
 * still in progress. The operator limits hedged attempts to a share of the calls of a service. The delay follows the
 * latency of the service, and grows as the limit is used up, so that what is left goes to the slowest calls. Without a
 * limit, a hedged attempt starts after half of the target latency. `docs/design/hedged-requests.md` gives the
 * alternatives. All times are monotonic ms.
 */
import type { ServiceName } from '@bilberrystall/base'
import { CountWindow, LatencyWindow } from './sliding-window'

/** Delay without a limit, or while few latencies are known, as a fraction of the target latency. */
const FIXED_DELAY_SHARE = 0.5
/** Shortest delay as a fraction of the target latency: an earlier response hardly gains value. */
const MIN_DELAY_SHARE = 0.1
/** Latencies of the last 10 s below which a percentile says too little. */
const MIN_LATENCIES = 20
/** Range of the percentile that is the delay while nothing of the limit is used. */
const MIN_QUANTILE = 0.9
const MAX_QUANTILE = 0.99
const MEDIAN = 0.5
const TAIL_QUANTILE = 0.95
/** A timer that fires late costs a hedged attempt up to this fraction of the time that was left for it. */
const LATE_SHARE = 0.25
/** A call that may not be hedged yet is considered again after this fraction of its age. */
const RECHECK_SHARE = 0.25
const MIN_RECHECK_MS = 5
/** Time after a refused call for which the service counts as refusing calls. */
const REFUSAL_MS = 1000
/**
 * Length of a slice. Calls are counted over at most 10 s and hedged attempts over at least 10 s, so that the limit holds
 * for the last 10 s at every start of a hedged attempt.
 */
const SLICE_MS = 100
const CALL_SLICES = 100
const HEDGE_SLICES = CALL_SLICES + 1
/** Keeps the rounding of a share such as 0.07 from costing one attempt. */
const ROUNDING = 1e-9

/**
 * Why a call did not get a hedged attempt that was due.
 *
 * - `limit`: the operator's limit was used up.
 * - `retry-budget`: the retry budget was used up.
 * - `no-free-server`: no server with a free slot was found.
 * - `service-refuses`: the service refused calls.
 * - `too-late`: the attempt could not have ended before the target latency.
 * - `not-resendable`: no attempt was left, the body was not buffered, or the request is withheld from servers.
 */
export type HedgeDenial =
  'limit' | 'retry-budget' | 'no-free-server' | 'service-refuses' | 'too-late' | 'not-resendable'

export type HedgeDecision =
  | { readonly kind: 'hedge' }
  /** Decide again at this time. */
  | { readonly kind: 'wait'; readonly until: number }
  | { readonly kind: 'denied'; readonly reason: HedgeDenial }
  /** Calls of this kind are never hedged. */
  | { readonly kind: 'never' }

/** A call with one attempt in progress. */
export interface HedgeCandidate {
  readonly acceptedAt: number
  /** Time at which a server was chosen for the attempt in progress. */
  readonly sentAt: number
  /** Target time in ms from acceptance to response. */
  readonly target: number | undefined
  readonly deadline: number
}

export type HedgeResult = 'won' | 'lost'

export interface HedgeTotals {
  readonly results: Record<HedgeResult, number>
  readonly denials: Record<HedgeDenial, number>
}

/** Hedging of one service at one entry. */
export class ServiceHedging {
  /** Largest share of calls that may get a hedged attempt; undefined without a limit. */
  limit: number | undefined
  readonly totals: HedgeTotals = {
    results: { won: 0, lost: 0 },
    denials: {
      limit: 0,
      'retry-budget': 0,
      'no-free-server': 0,
      'service-refuses': 0,
      'too-late': 0,
      'not-resendable': 0,
    },
  }
  readonly #latencies = new LatencyWindow()
  readonly #calls = new CountWindow({ sliceMs: SLICE_MS, slices: CALL_SLICES })
  readonly #hedges = new CountWindow({ sliceMs: SLICE_MS, slices: HEDGE_SLICES })
  #refusedAt = Number.NEGATIVE_INFINITY

  constructor(limit: number | undefined) {
    this.limit = limit
  }

  /** A call was sent to its first server. */
  callSent(now: number): void {
    this.#calls.add(now)
  }

  /** The first attempt of a call got its response after `latencyMs`. Hedged attempts go to free servers only and do not count. */
  responded(latencyMs: number, now: number): void {
    this.#latencies.add(latencyMs, now)
  }

  /**
   * The first attempt of a call was cancelled after `ageMs` because the hedged one won. It counts only if it was already
   * among the slowest: without it the percentile would fall with each hedged attempt that wins, and a shorter age says
   * nothing.
   */
  abandoned(ageMs: number, now: number): void {
    const slow = this.#latencies.quantile(this.#quantile(0), now)
    if (slow !== undefined && ageMs >= slow) this.#latencies.add(ageMs, now)
  }

  /** A call of the service was refused. */
  refused(now: number): void {
    this.#refusedAt = now
  }

  /** Returns the 95th percentile of the latency in ms; undefined while few latencies are known. */
  tailLatency(now: number): number | undefined {
    return this.#latencies.count(now) < MIN_LATENCIES ? undefined : this.#latencies.quantile(TAIL_QUANTILE, now)
  }

  decide(candidate: HedgeCandidate, now: number): HedgeDecision {
    const { target, sentAt } = candidate
    if (this.limit === undefined) {
      return target === undefined ? { kind: 'never' } : startAt(sentAt + target * FIXED_DELAY_SHARE, now)
    }
    if (this.limit === 0) return { kind: 'never' }
    const used = this.#usedShare(now)
    const delay = this.#delay(candidate, Math.min(1, used), now)
    if (delay === undefined) return { kind: 'never' }
    const end = endOf(candidate)
    const latestAt = this.#latestStart(candidate, end, now)
    const dueAt = Math.min(sentAt + delay, latestAt)
    if (now < dueAt) return { kind: 'wait', until: dueAt }
    if (now > latestAt + (end - latestAt) * LATE_SHARE) return { kind: 'denied', reason: 'too-late' }
    const obstacle = this.#obstacle(used, now)
    if (obstacle === undefined) return { kind: 'hedge' }
    const next = now + Math.max(MIN_RECHECK_MS, (now - sentAt) * RECHECK_SHARE)
    return next > latestAt ? { kind: 'denied', reason: obstacle } : { kind: 'wait', until: next }
  }

  /** Returns why a hedged attempt may not be sent now. Ask again right before it is sent: others may have been sent. */
  obstacle(now: number): HedgeDenial | undefined {
    return this.limit === undefined ? undefined : this.#obstacle(this.#usedShare(now), now)
  }

  /** A hedged attempt is sent. */
  hedgeSent(now: number): void {
    this.#hedges.add(now)
  }

  /** Hedged attempts of the last 10 s in percent of the calls. */
  extraWorkPercent(now: number): number {
    const calls = this.#calls.count(now)
    return calls === 0 ? 0 : (100 * this.#hedges.count(now)) / calls
  }

  #obstacle(used: number, now: number): HedgeDenial | undefined {
    if (now - this.#refusedAt < REFUSAL_MS) return 'service-refuses'
    return used >= 1 ? 'limit' : undefined
  }

  /** Share of the hedged attempts allowed in the last 10 s that were started; at least 1 if no further one is allowed. */
  #usedShare(now: number): number {
    const allowed = Math.floor((this.limit ?? 0) * this.#calls.count(now) + ROUNDING)
    return allowed === 0 ? 1 : this.#hedges.count(now) / allowed
  }

  /** A limit of 1% of the calls is best spent on the slowest 1%, and what is left of it on the slowest of these. */
  #quantile(used: number): number {
    const unused = Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, 1 - (this.limit ?? 0)))
    return 1 - (1 - unused) * (1 - used)
  }

  #delay({ target }: HedgeCandidate, used: number, now: number): number | undefined {
    if (this.#latencies.count(now) < MIN_LATENCIES) {
      return target === undefined ? undefined : target * FIXED_DELAY_SHARE
    }
    const slow = this.#latencies.quantile(this.#quantile(used), now) ?? 0
    return Math.max(slow, (target ?? 0) * MIN_DELAY_SHARE)
  }

  /** Time until which half of the hedged attempts would end before `end`. */
  #latestStart({ acceptedAt }: HedgeCandidate, end: number, now: number): number {
    const known = this.#latencies.count(now) < MIN_LATENCIES ? undefined : this.#latencies.quantile(MEDIAN, now)
    return end - (known ?? (end - acceptedAt) * FIXED_DELAY_SHARE)
  }
}

/** Time at which the target, or without a target the deadline, is reached. */
function endOf({ acceptedAt, target, deadline }: HedgeCandidate): number {
  return target === undefined ? deadline : Math.min(deadline, acceptedAt + target)
}

function startAt(dueAt: number, now: number): HedgeDecision {
  return now >= dueAt ? { kind: 'hedge' } : { kind: 'wait', until: dueAt }
}

/** Hedging of all services at one entry. */
export class HedgingPolicies {
  readonly #services = new Map<ServiceName, ServiceHedging>()
  readonly #defaultLimit: number | undefined

  constructor({ defaultLimit }: { readonly defaultLimit?: number | undefined } = {}) {
    this.#defaultLimit = defaultLimit
  }

  /** Applies the limit of the document to a service; undefined applies the default. */
  configure(service: ServiceName, limit: number | undefined): void {
    this.of(service).limit = limit ?? this.#defaultLimit
  }

  of(service: ServiceName): ServiceHedging {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const hedging = new ServiceHedging(this.#defaultLimit)
    this.#services.set(service, hedging)
    return hedging
  }

  entries(): Iterable<[ServiceName, ServiceHedging]> {
    return this.#services.entries()
  }
}
