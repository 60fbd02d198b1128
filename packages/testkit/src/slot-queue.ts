/** Fixed number of execution slots with one FIFO queue, like the servers of the workloads. */
export class SlotQueue {
  readonly #slotCount: number
  readonly #queue: (() => void)[] = []
  #running = 0

  constructor(count: number) {
    this.#slotCount = count
  }

  get running(): number {
    return this.#running
  }

  get queued(): number {
    return this.#queue.length
  }

  /** Whether another call would have to wait in a queue that already holds at least `limit` calls. */
  exceedsQueueLimit(limit: number): boolean {
    return this.#running >= this.#slotCount && this.#queue.length >= limit
  }

  /** Resolves with true once a slot is acquired, or with false if the signal aborts the wait. */
  acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false)
    if (this.#running < this.#slotCount) {
      this.#running += 1
      return Promise.resolve(true)
    }
    return new Promise((resolve) => {
      const onSlotFree = (): void => {
        signal.removeEventListener('abort', onAbort)
        this.#running += 1
        resolve(true)
      }
      const onAbort = (): void => {
        this.#queue.splice(this.#queue.indexOf(onSlotFree), 1)
        resolve(false)
      }
      this.#queue.push(onSlotFree)
      signal.addEventListener('abort', onAbort, { once: true })
    })
  }

  release(): void {
    this.#running -= 1
    this.#queue.shift()?.()
  }
}
