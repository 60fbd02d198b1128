/** Token bucket that limits retries to a share of calls, so that retries cannot amplify an overload. */

export interface RetryLimits {
  /** Retries per call, default 0.1. */
  readonly share?: number
  /** Retries per second that are always allowed, default 1. */
  readonly minimum?: number
  /** Capacity of the bucket in retries, default 100. */
  readonly burst?: number
}

const MS_PER_SECOND = 1000
const DEFAULT_LIMITS: Required<RetryLimits> = { share: 0.1, minimum: 1, burst: 100 }

export class RetryBudget {
  #limits: Required<RetryLimits>
  #tokens: number
  #refilledAt: number

  constructor(limits: RetryLimits, now: number) {
    this.#limits = { ...DEFAULT_LIMITS, ...limits }
    this.#tokens = Math.min(1, this.#limits.burst)
    this.#refilledAt = now
  }

  /** Replaces the limits. Tokens are kept, as far as the new capacity allows, so that a change allows no retry by itself. */
  configure(limits: RetryLimits, now: number): void {
    this.#refill(now)
    this.#limits = { ...DEFAULT_LIMITS, ...limits }
    this.#add(0)
  }

  /** Returns the available tokens; one token allows one retry. */
  available(now: number): number {
    this.#refill(now)
    return this.#tokens
  }

  /** Adds the share of a retry that one first attempt earns. */
  credit(now: number): void {
    this.#refill(now)
    this.#add(this.#limits.share)
  }

  /** Takes one token; false if the budget is exhausted. */
  take(now: number): boolean {
    this.#refill(now)
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /** Puts back a token that was reserved and not used. */
  refund(): void {
    this.#add(1)
  }

  #refill(now: number): void {
    const elapsed = now - this.#refilledAt
    if (elapsed <= 0) return
    this.#refilledAt = now
    this.#add((elapsed * this.#limits.minimum) / MS_PER_SECOND)
  }

  #add(tokens: number): void {
    this.#tokens = Math.min(this.#limits.burst, this.#tokens + tokens)
  }
}
