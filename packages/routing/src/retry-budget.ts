/** Token bucket that bounds retries to a share of calls, so that retries cannot multiply an overload. */

export interface RetryLimits {
  /** Retries per call, default 0.1. */
  readonly share?: number
  /** Retries per second that are always allowed, default 1. */
  readonly minimum?: number
  /** Most retries that can be saved up, default 100. */
  readonly burst?: number
}

const MS_PER_SECOND = 1000

export class RetryBudget {
  readonly #share: number
  readonly #perMs: number
  readonly #burst: number
  #tokens: number
  #filledAt: number

  constructor(limits: RetryLimits, now: number) {
    this.#share = limits.share ?? 0.1
    this.#perMs = (limits.minimum ?? 1) / MS_PER_SECOND
    this.#burst = limits.burst ?? 100
    this.#tokens = Math.min(1, this.#burst)
    this.#filledAt = now
  }

  /** Tokens available; one token allows one retry. */
  available(now: number): number {
    this.#fill(now)
    return this.#tokens
  }

  /** Credits one first attempt. */
  credit(now: number): void {
    this.#fill(now)
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share)
  }

  /** Takes one token; false when the budget is spent. */
  take(now: number): boolean {
    this.#fill(now)
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  /** Returns a token that was taken in advance and not used. */
  refund(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + 1)
  }

  #fill(now: number): void {
    const elapsed = now - this.#filledAt
    if (elapsed <= 0) return
    this.#filledAt = now
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsed * this.#perMs)
  }
}
