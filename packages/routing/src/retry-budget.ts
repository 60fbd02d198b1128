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

export class RetryBudget {
  readonly #share: number
  readonly #perMs: number
  readonly #burst: number
  #tokens: number
  #refilledAt: number

  constructor(limits: RetryLimits, now: number) {
    this.#share = limits.share ?? 0.1
    this.#perMs = (limits.minimum ?? 1) / MS_PER_SECOND
    this.#burst = limits.burst ?? 100
    this.#tokens = Math.min(1, this.#burst)
    this.#refilledAt = now
  }

  /** Returns the available tokens; one token allows one retry. */
  available(now: number): number {
    this.#refill(now)
    return this.#tokens
  }

  /** Adds the share of a retry that one first attempt earns. */
  credit(now: number): void {
    this.#refill(now)
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share)
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
    this.#tokens = Math.min(this.#burst, this.#tokens + 1)
  }

  #refill(now: number): void {
    const elapsed = now - this.#refilledAt
    if (elapsed <= 0) return
    this.#refilledAt = now
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsed * this.#perMs)
  }
}
