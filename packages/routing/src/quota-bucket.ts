/** Token bucket of an entry for its share of an organisation's quota, with the demand that it observes. */
import { MS_PER_SECOND } from './quota-limit'
import type { QuotaRequest, QuotaShare } from './quota-account'

/** Time constant of the demand estimate. */
const DEMAND_MS = 2_000
/** An organisation without a request for this time is not stated to the leader, which ends its share. */
const IDLE_MS = 30_000
/** Demand at which this many requests would have come since the last one is over, so that its share moves at once. */
const MAX_MISSED = 5
/** An entry returns rate beyond this multiple of its demand. */
const KEPT_RATE_FACTOR = 1.2

export class QuotaBucket {
  #rate = 0
  #capacity = 0
  #tokens = 0
  /** Tokens that were not used, because the bucket was full or the share ended. */
  #returned = 0
  #expiresAt = Number.NEGATIVE_INFINITY
  #refilledAt: number
  #demand = 0
  #requestedAt: number

  constructor(now: number) {
    this.#refilledAt = now
    this.#requestedAt = now
  }

  isIdle(now: number): boolean {
    return now - this.#requestedAt > IDLE_MS
  }

  hasShare(now: number): boolean {
    return this.#capacity >= 1 && now < this.#expiresAt
  }

  get tokens(): number {
    return this.#tokens
  }

  heldRate(now: number): number {
    return now < this.#expiresAt ? this.#rate : 0
  }

  /** Counts a request of a caller, and returns whether a token admits it. */
  take(now: number): boolean {
    this.#demand = this.#demandAt(now) + MS_PER_SECOND / DEMAND_MS
    this.#requestedAt = now
    return this.takeToken(now)
  }

  /** Whether a token admits a request that was counted before. */
  takeToken(now: number): boolean {
    this.#refill(now)
    if (this.#tokens < 1 || now >= this.#expiresAt) return false
    this.#tokens -= 1
    return true
  }

  /** Time in ms until the share has a token; infinite if it never has. */
  wait(now: number): number {
    const rate = this.heldRate(now)
    return rate === 0 ? Number.POSITIVE_INFINITY : (Math.max(0, 1 - this.#tokens) * MS_PER_SECOND) / rate
  }

  /** Gives up the rate that is not needed, and returns what to state to the leader. */
  state(now: number): Omit<QuotaRequest, 'waiting'> {
    this.#refill(now)
    const demandPerS = this.#demandAt(now)
    if (now >= this.#expiresAt) this.end()
    this.#rate = Math.min(this.#rate, demandPerS * KEPT_RATE_FACTOR)
    const held = { heldPerS: this.#rate, heldBurst: this.#capacity, tokens: this.#tokens }
    return { demandPerS, ...held, returned: this.#returned }
  }

  /**
   * Applies the share for a request that was sent at `sentAt`. It may contain more tokens than the bucket holds, for
   * requests that wait; `discardExcess` follows when these are served.
   */
  apply(share: QuotaShare, sentAt: number, now: number): void {
    this.#refill(now)
    if (now >= this.#expiresAt) this.end()
    this.#expiresAt = sentAt + share.validForMs
    this.#rate = share.ratePerS
    this.#capacity = share.burst
    this.#tokens += share.tokens
  }

  discardExcess(): void {
    this.#limitTokens(this.#capacity)
  }

  /** Reduces the share, because the limit became lower. */
  scale(factor: number, now: number): void {
    this.#refill(now)
    this.#rate *= factor
    this.#capacity *= factor
    this.#limitTokens(this.#capacity)
  }

  /** Gives up the share. */
  end(): void {
    this.#rate = 0
    this.#capacity = 0
    this.#limitTokens(0)
  }

  #limitTokens(most: number): void {
    this.#returned += Math.max(0, this.#tokens - most)
    this.#tokens = Math.min(this.#tokens, most)
  }

  #refill(now: number): void {
    const until = Math.min(now, this.#expiresAt)
    const elapsed = until - this.#refilledAt
    this.#refilledAt = Math.max(this.#refilledAt, now)
    if (elapsed <= 0) return
    this.#tokens += (elapsed * this.#rate) / MS_PER_SECOND
    this.#limitTokens(this.#capacity)
  }

  #demandAt(now: number): number {
    const elapsed = now - this.#requestedAt
    const decayed = this.#demand * Math.exp(-elapsed / DEMAND_MS)
    return elapsed <= 0 ? decayed : Math.min(decayed, (MAX_MISSED * MS_PER_SECOND) / elapsed)
  }
}
