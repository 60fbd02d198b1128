/**
 * Time for which the connections to servers may keep one turn of the event loop busy with the bytes that they received.
 * What exceeds it waits for later turns, so that no server delays the calls to others or the checks of this node.
 */

const TURN_TIME_MS = 10
/** Time after which the end of the turn is watched. It is above the time that usual responses take in one turn. */
const WATCHED_TIME_MS = 1

export class ReadBudget {
  readonly #now: () => number
  readonly #waiting: (() => void)[] = []
  #spentMs = 0
  #isWatched = false

  constructor(now: () => number = () => performance.now()) {
    this.#now = now
  }

  get isSpent(): boolean {
    return this.#spentMs >= TURN_TIME_MS
  }

  /** Returns the time at which work begins that `end` adds to the time of the turn. */
  begin(): number {
    return this.#now()
  }

  end(begunAt: number): void {
    this.#spentMs += this.#now() - begunAt
    if (this.#spentMs > WATCHED_TIME_MS) this.#watch()
  }

  /** Calls `resume` in the first later turn that has time left, in the order of the calls. */
  wait(resume: () => void): void {
    this.#waiting.push(resume)
    this.#watch()
  }

  #watch(): void {
    if (this.#isWatched) return
    this.#isWatched = true
    setImmediate(() => {
      this.#isWatched = false
      this.#spentMs = 0
      this.#resume()
    })
  }

  #resume(): void {
    const resumed = this.#waiting.splice(0)
    while (!this.isSpent) {
      const resume = resumed.shift()
      if (resume === undefined) break
      resume()
    }
    this.#waiting.unshift(...resumed)
    if (this.#waiting.length > 0) this.#watch()
  }
}
