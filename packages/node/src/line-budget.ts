/** Token bucket that bounds the log lines about frequent events. */

const MS_PER_SECOND = 1000

export interface LineBudgetOptions {
  readonly linesPerSecond: number
  readonly burst: number
  /** Monotonic milliseconds. */
  readonly now: () => number
}

export class LineBudget {
  readonly #options: LineBudgetOptions
  #tokens: number
  #refilledAt: number

  constructor(options: LineBudgetOptions) {
    this.#options = options
    this.#tokens = options.burst
    this.#refilledAt = options.now()
  }

  /** Takes the token of one line; returns false if the line has to be omitted. */
  tryTake(): boolean {
    const { linesPerSecond, burst, now } = this.#options
    const refillAt = now()
    const refilled = ((refillAt - this.#refilledAt) / MS_PER_SECOND) * linesPerSecond
    this.#tokens = Math.min(burst, this.#tokens + refilled)
    this.#refilledAt = refillAt
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
