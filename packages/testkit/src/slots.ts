/** Slots with one FIFO queue, as every server of the workloads has them. */
export class Slots {
  readonly #count: number
  readonly #waiting: (() => void)[] = []
  #running = 0

  constructor(count: number) {
    this.#count = count
  }

  get running(): number {
    return this.#running
  }

  get queued(): number {
    return this.#waiting.length
  }

  /** Whether one more call would make the queue longer than `limit`. */
  exceeds(limit: number): boolean {
    return this.#running >= this.#count && this.#waiting.length >= limit
  }

  /** Resolves with true when a slot is taken and with false when the signal ends the wait. */
  take(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false)
    if (this.#running < this.#count) {
      this.#running += 1
      return Promise.resolve(true)
    }
    return new Promise((resolve) => {
      const start = (): void => {
        signal.removeEventListener('abort', leave)
        this.#running += 1
        resolve(true)
      }
      const leave = (): void => {
        this.#waiting.splice(this.#waiting.indexOf(start), 1)
        resolve(false)
      }
      this.#waiting.push(start)
      signal.addEventListener('abort', leave, { once: true })
    })
  }

  release(): void {
    this.#running -= 1
    this.#waiting.shift()?.()
  }
}
