/**
 * Repeats writes that a full disk refuses until there is room. A refused write has stored nothing that counts: all of
 * its bytes are written again at the same position, or the temporary file is written anew. While a log is opened, a
 * refused write fails, so that the caller decides whether to wait.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { storageFailure } from './file-system'

const RETRY_INTERVAL_MS = 100

export class FullDiskRetry {
  readonly #onFull: (isFull: boolean) => void
  /** Number of writes that wait for room. */
  #waiting = 0
  #isActive = false

  constructor(onFull: (isFull: boolean) => void = () => undefined) {
    this.#onFull = onFull
  }

  /** Makes refused writes wait for room. */
  start(): void {
    this.#isActive = true
  }

  /** Runs `write` until it succeeds. Throws its error if that is not a full disk, before `start` and after `stop`. */
  async run<Value>(write: () => Promise<Value>): Promise<Value> {
    try {
      return await write()
    } catch (cause) {
      if (!this.#isActive || !isFullDisk(cause)) throw cause
    }
    this.#changeWaiting(1)
    try {
      return await this.#repeat(write)
    } finally {
      this.#changeWaiting(-1)
    }
  }

  /** Makes writes that wait for room fail. */
  stop(): void {
    this.#isActive = false
  }

  async #repeat<Value>(write: () => Promise<Value>): Promise<Value> {
    for (;;) {
      await sleep(RETRY_INTERVAL_MS)
      try {
        return await write()
      } catch (cause) {
        if (!this.#isActive || !isFullDisk(cause)) throw cause
      }
    }
  }

  #changeWaiting(difference: 1 | -1): void {
    const wasFull = this.#waiting > 0
    this.#waiting += difference
    const isFull = this.#waiting > 0
    if (isFull !== wasFull) this.#onFull(isFull)
  }
}

function isFullDisk(cause: unknown): boolean {
  return storageFailure(cause, 'syncFailed', '').code === 'diskFull'
}
