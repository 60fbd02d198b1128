/**
 * Shares of one organisation's quota, as the control leader allocates them. A share is a rate, and the capacity of the
 * bucket in which an entry collects tokens. The leader also hands out tokens at once, from a pool that gains what no
 * share uses. This serves entries with few requests, at which a rate alone would refuse the second of two close ones.
 *
 * In every window, all shares that an entry may still use allow at most the requests of `sharedRequests`.
 */
import type { NodeId } from '@bilberrystall/base'
import {
  MS_PER_SECOND,
  RESPONSE_LIMIT_MS,
  SHARE_VALIDITY_MS,
  sharedRequests,
  sharedTolerance,
  type QuotaBounds,
  type QuotaLimit,
} from './quota-limit'
import { QuotaHistory } from './quota-history'

/** Demand per second below which an entry gets nothing. */
const MIN_DEMAND = 1e-6
/** Demand per second from which an entry gets a rate; below it gets tokens only. */
const MIN_RATED_DEMAND = 1
/**
 * The same near the limit, where a bucket is small: a rate of few requests per second is partly lost while it is full, and
 * the requests that wait at other entries find no tokens.
 */
const MIN_RATED_DEMAND_NEAR_LIMIT = 4
/** Fraction of the limit above which an organisation's demand is near it. */
const NEAR_LIMIT = 0.8
/** Fraction of its demand that an entry gets as rate. Tokens that come while the bucket is full are lost to others. */
const RATED_FRACTION = 0.8
/** Fraction of the capacity for buckets that is divided; the rest is for entries that ask next. */
const DIVIDED_FRACTION = 0.9
/** Standard deviations of the requests in a second that a bucket covers. */
const COVERED_DEVIATIONS = 2
const COVERED_SECONDS = 0.5
/** Below this demand per second, which is left 5 s after a single request, entries give way to busier ones. */
const WHOLE_TOKEN_DEMAND = 0.05
/** Buckets leave the tokens for this time of demand, and one more, to requests that wait at any entry. */
const HEADROOM_S = 1
/** Added to the validity of a share, which the entry counts from the sending of its request. */
const GRANTED_MS = SHARE_VALIDITY_MS + 100

/** What an entry states when it asks. */
export interface QuotaRequest {
  readonly demandPerS: number
  /** Rate that the entry keeps until the response; it has given up the rest. */
  readonly heldPerS: number
  /** Capacity of its bucket until the response. */
  readonly heldBurst: number
  /** Tokens in its bucket. */
  readonly tokens: number
  /** Requests that wait for the response. */
  readonly waiting: number
  /** Tokens that its bucket got and did not use, since the entry stated the organisation first. */
  readonly returned: number
}

export interface QuotaShare {
  readonly ratePerS: number
  readonly burst: number
  /** Added to the bucket at once. */
  readonly tokens: number
  readonly validForMs: number
}

interface Share {
  readonly rate: number
  /** Capacity of the bucket. */
  readonly burst: number
  /** Most tokens that the entry may have at any time: without a rate, those that it was handed. */
  readonly lying: number
  readonly expiresAt: number
}

const NO_SHARE: Share = { rate: 0, burst: 0, lying: 0, expiresAt: Number.NEGATIVE_INFINITY }

interface Allocation {
  readonly rate: number
  readonly burst: number
  readonly tokens: number
  /** Tokens that the entry should have; buckets of others are reduced for them. */
  readonly planned: number
}

interface Holder {
  readonly planned: number
  readonly demand: number
  readonly returned: number
  /** Tokens beyond the capacity of the bucket, which requests that wait use when the response arrives. */
  readonly served: number
  readonly servedUntil: number
  /** Share that the entry held when it asked; in use until the response reaches it. */
  readonly kept: Share
  readonly granted: Share
}

interface Totals {
  readonly rate: number
  readonly lying: number
  /** Tokens that the entries should have. */
  readonly planned: number
  readonly demand: number
  readonly wanted: number
}

export interface QuotaAccountOptions {
  readonly limit: QuotaLimit
  readonly bounds: QuotaBounds
  /** Time from which shares may grow; until then entries keep what they hold. */
  readonly growsFrom: number
  readonly now: number
}

export class QuotaAccount {
  readonly #bounds: QuotaBounds
  readonly #growsFrom: number
  readonly #history: QuotaHistory
  readonly #holders = new Map<NodeId, Holder>()
  #limit: QuotaLimit
  #pool: number
  #advancedAt: number

  constructor({ limit, bounds, growsFrom, now }: QuotaAccountOptions) {
    this.#limit = limit
    this.#bounds = bounds
    this.#growsFrom = growsFrom
    this.#history = new QuotaHistory(bounds.windowMs, now)
    this.#pool = Math.max(1, limit.burst) + sharedTolerance(limit, bounds)
    this.#advancedAt = now
  }

  /** A lower limit ends no share at once; entries reduce theirs when they use the document. */
  setLimit(limit: QuotaLimit): void {
    this.#limit = limit
  }

  /** Rate of all shares that entries may use. */
  allocatedRate(now: number): number {
    return this.#totals(now, undefined).rate
  }

  /** The entry has given up its share. */
  release(entry: NodeId, now: number): void {
    if (!this.#holders.has(entry)) return
    this.#advance(now)
    this.#holders.delete(entry)
  }

  request(entry: NodeId, request: QuotaRequest, now: number): QuotaShare {
    this.#advance(now)
    const known = this.#holders.get(entry)
    const kept = now < this.#growsFrom ? claimed(request, now) : atMost(request, known, now)
    const others = this.#totals(now, entry)
    const returned = clamp(request.returned - (known?.returned ?? request.returned))
    this.#pool += returned
    this.#history.record({ issued: -returned, lying: others.lying + kept.lying, rate: others.rate + kept.rate })
    const allocation =
      now < this.#growsFrom ? { ...kept, tokens: 0, planned: kept.lying } : this.#allocate(request, kept, others)
    const lying = lyingTokens(allocation, request)
    const granted = { ...allocation, lying, expiresAt: now + GRANTED_MS }
    const served = clamp(request.tokens + granted.tokens - Math.max(kept.lying, lying))
    const { demandPerS: demand, returned: returnedBefore } = request
    const { planned } = allocation
    const holder = {
      demand,
      planned,
      returned: returnedBefore,
      served,
      servedUntil: now + RESPONSE_LIMIT_MS,
      kept,
      granted,
    }
    this.#holders.set(entry, holder)
    this.#pool -= granted.tokens
    this.#history.record({
      issued: granted.tokens,
      lying: others.lying + lyingAt(holder, now),
      rate: others.rate + Math.max(kept.rate, granted.rate),
    })
    const { rate: ratePerS, burst, tokens } = granted
    return { ratePerS, burst, tokens, validForMs: SHARE_VALIDITY_MS }
  }

  #allocate(request: QuotaRequest, kept: Share, others: Totals): Allocation {
    const { rate: limit } = this.#limit
    const { demandPerS, waiting } = request
    if (demandPerS < MIN_DEMAND) return { rate: 0, burst: 0, tokens: 0, planned: 0 }
    const allowed = sharedRequests(this.#limit, this.#bounds)
    const windowS = this.#bounds.windowMs / MS_PER_SECOND
    const totalRate = others.rate + kept.rate
    // What may be handed out in the windows that began before, and in the one that begins now.
    let left = allowed - Math.max(this.#history.most(totalRate), others.lying + kept.lying + totalRate * windowS)
    left -= this.#unstated(allowed)

    const served = Math.floor(clamp(Math.min(waiting, left, this.#pool)))
    left -= served
    const demand = others.demand + demandPerS
    const leastRated = demand > NEAR_LIMIT * limit ? MIN_RATED_DEMAND_NEAR_LIMIT : MIN_RATED_DEMAND
    const wantedRate =
      demandPerS < leastRated ? 0 : Math.min(RATED_FRACTION * demandPerS, (limit * demandPerS) / demand)
    const rate = clamp(Math.min(wantedRate, limit - others.rate, kept.rate + clamp(left) / windowS))
    left -= clamp(rate - kept.rate) * windowS

    // Buckets that are full must leave room for the requests of a window, whose number varies.
    const capacity = allowed - limit * windowS - Math.sqrt(limit * windowS)
    const burst = this.#bucketSize(demandPerS, others, capacity)
    left -= 1 + HEADROOM_S * Math.min(demand, limit)
    const fillable = Math.min(left, capacity - others.lying - kept.lying)
    // A rate fills the bucket later.
    const possible =
      rate > 0 ? Math.min(burst, kept.lying + Math.max(clamp(fillable), Math.min(1, clamp(left)))) : burst
    const fill = Math.min(left, capacity - others.lying - request.tokens, this.#pool - served - this.#poolBase / 2)
    const room = clamp(Math.min(possible - request.tokens, fill))
    const tokens = request.tokens + room < 1 ? 0 : room
    return { rate, burst: possible, tokens: served + tokens, planned: rate > 0 ? burst : request.tokens + tokens }
  }

  /**
   * Requests in the windows that end from now on which entries may have run with shares of an earlier leader that they
   * did not state here, because they are cut off. The last of these shares expires a window before the end of this time.
   */
  #unstated(allowed: number): number {
    const leftMs = this.#growsFrom + SHARE_VALIDITY_MS - this.#advancedAt
    if (leftMs <= 0) return 0
    const { rate } = this.#limit
    const perWindow = (rate * this.#bounds.windowMs) / MS_PER_SECOND
    return clamp(allowed - perWindow - Math.sqrt(perWindow)) + (rate * leftMs) / MS_PER_SECOND
  }

  #bucketSize(demandPerS: number, others: Totals, capacity: number): number {
    const wanted = wantedBucket(demandPerS)
    const share = (capacity * DIVIDED_FRACTION * wanted) / (others.wanted + wanted)
    const proportion = (this.#limit.burst * demandPerS) / Math.max(1, others.demand + demandPerS)
    const size = Math.min(Math.max(wanted, proportion), share)
    // Less than one token admits nothing, so that only as many entries have a bucket as the capacity allows.
    return size >= 1 ? size : others.planned + 1 > capacity ? 0 : 1
  }

  get #poolBase(): number {
    return Math.max(1, this.#limit.burst, this.#limit.rate)
  }

  #advance(now: number): void {
    if (now <= this.#advancedAt) return
    const { rate, lying } = this.#totals(this.#advancedAt, undefined)
    this.#history.advance(now, rate, lying)
    const spare = sharedRequests(this.#limit, this.#bounds) - (this.#limit.rate * this.#bounds.windowMs) / MS_PER_SECOND
    const most = this.#poolBase + spare
    const tolerated = (sharedTolerance(this.#limit, this.#bounds) * MS_PER_SECOND) / this.#bounds.windowMs
    const gain = (Math.max(0, this.#limit.rate + tolerated - rate) * (now - this.#advancedAt)) / MS_PER_SECOND
    this.#pool = Math.min(most, this.#pool + gain)
    this.#advancedAt = now
    for (const [entry, { kept, granted }] of this.#holders) {
      if (kept.expiresAt <= now && granted.expiresAt <= now) this.#holders.delete(entry)
    }
  }

  /** Sums over the entries except `asking`, with the greatest share that each may use. */
  #totals(now: number, asking: NodeId | undefined): Totals {
    const totals = { rate: 0, lying: 0, planned: 0, demand: 0, wanted: 0 }
    for (const [entry, holder] of this.#holders) {
      if (entry === asking) continue
      totals.rate += greatestShare(holder, now).rate
      totals.lying += lyingAt(holder, now)
      totals.planned += now < holder.granted.expiresAt ? holder.planned : 0
      totals.demand += holder.demand
      totals.wanted += wantedBucket(holder.demand)
    }
    return totals
  }
}

function wantedBucket(demandPerS: number): number {
  return (
    Math.min(1, demandPerS / WHOLE_TOKEN_DEMAND) +
    COVERED_SECONDS * demandPerS +
    COVERED_DEVIATIONS * Math.sqrt(demandPerS)
  )
}

function greatestShare({ kept, granted }: Holder, now: number): Share {
  if (kept.expiresAt <= now) return granted.expiresAt <= now ? NO_SHARE : granted
  if (granted.expiresAt <= now) return kept
  return {
    rate: Math.max(kept.rate, granted.rate),
    burst: Math.max(kept.burst, granted.burst),
    lying: Math.max(kept.lying, granted.lying),
    expiresAt: Math.max(kept.expiresAt, granted.expiresAt),
  }
}

function claimed(request: QuotaRequest, now: number): Share {
  const { heldPerS: rate, heldBurst: burst, tokens } = request
  return { rate, burst, lying: lyingTokens({ rate, burst, tokens: 0 }, { tokens }), expiresAt: now + GRANTED_MS }
}

/** What the entry states that it holds, at most what it was granted. */
function atMost(request: QuotaRequest, holder: Holder | undefined, now: number): Share {
  if (holder === undefined) return NO_SHARE
  const known = greatestShare(holder, now)
  const stated = claimed(request, now)
  return {
    rate: Math.min(known.rate, stated.rate),
    burst: Math.min(known.burst, stated.burst),
    lying: Math.min(known.lying, stated.lying),
    expiresAt: known.expiresAt,
  }
}

function lyingAt(holder: Holder, now: number): number {
  return greatestShare(holder, now).lying + (now < holder.servedUntil ? holder.served : 0)
}

function lyingTokens(
  { rate, burst, tokens }: Omit<Allocation, 'planned'>,
  request: Pick<QuotaRequest, 'tokens'>,
): number {
  return rate > 0 ? burst : Math.min(burst, request.tokens + tokens)
}

function clamp(value: number): number {
  return Math.max(0, value)
}
