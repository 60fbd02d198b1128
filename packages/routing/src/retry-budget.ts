/** Limits retries to a share of calls, so that retries cannot amplify an overload. */

/** Decides on the retries of one service. */
export interface RetryBudget {
  /** Returns the number of retries that are allowed now. */
  available(now: number): number
  /** Records a first attempt, which earns a share of a retry. */
  credit(now: number): void
  /** Uses one retry; false if the budget is exhausted. */
  take(now: number): boolean
  /** Sets one retry aside for a call that its server may shed, until `release`; false if the budget is exhausted. */
  reserve(now: number): boolean
  release(): void
  /** Applies the limits of a document. */
  configure(limits: RetryLimits, now: number): void
}

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

/** Token bucket of this entry alone. */
export class TokenRetryBudget implements RetryBudget {
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

  available(now: number): number {
    this.#refill(now)
    return this.#tokens
  }

  credit(now: number): void {
    this.#refill(now)
    this.#add(this.#limits.share)
  }

  take(now: number): boolean {
    this.#refill(now)
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }

  reserve(now: number): boolean {
    return this.take(now)
  }

  release(): void {
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
