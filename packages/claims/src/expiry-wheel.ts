/** Keys in buckets of one second by expiry, so that expiring costs nothing per key that stays. */
import type { IdempotencyKey } from '@bilberrystall/base'

const BUCKET_MS = 1_000

export class ExpiryWheel {
  readonly #buckets = new Map<number, IdempotencyKey[]>()
  /** First bucket that was not yet emptied. */
  #next: number

  constructor(now: number) {
    this.#next = Math.floor(now / BUCKET_MS)
  }

  add(key: IdempotencyKey, expiresAt: number): void {
    // Rounding up keeps a key at most one second longer and never forgets it early.
    const bucket = Math.max(this.#next, Math.ceil(expiresAt / BUCKET_MS))
    const keys = this.#buckets.get(bucket)
    if (keys === undefined) {
      this.#buckets.set(bucket, [key])
    } else {
      keys.push(key)
    }
  }

  /** Removes and returns the keys whose bucket has passed. */
  due(now: number): readonly IdempotencyKey[] {
    const end = Math.floor(now / BUCKET_MS)
    if (end < this.#next || this.#buckets.size === 0) {
      this.#next = Math.max(this.#next, end + 1)
      return []
    }
    const due: IdempotencyKey[] = []
    for (; this.#next <= end; this.#next += 1) {
      for (const key of this.#buckets.get(this.#next) ?? []) due.push(key)
      this.#buckets.delete(this.#next)
    }
    return due
  }
}
