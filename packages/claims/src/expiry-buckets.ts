/** Keys in one-second buckets by expiry time, so that expiring does not visit the keys that remain. */
import type { IdempotencyKey } from '@bilberrystall/base'

const BUCKET_MS = 1_000

export class ExpiryBuckets {
  readonly #buckets = new Map<number, IdempotencyKey[]>()
  /** First bucket that has not been emptied yet. */
  #nextBucket: number

  constructor(now: number) {
    this.#nextBucket = Math.floor(now / BUCKET_MS)
  }

  add(key: IdempotencyKey, expiresAt: number): void {
    // Rounding up keeps a key up to one second longer and never removes it early.
    const bucket = Math.max(this.#nextBucket, Math.ceil(expiresAt / BUCKET_MS))
    const keys = this.#buckets.get(bucket)
    if (keys === undefined) {
      this.#buckets.set(bucket, [key])
    } else {
      keys.push(key)
    }
  }

  /** Removes and returns the keys whose bucket has passed. */
  takeExpired(now: number): readonly IdempotencyKey[] {
    const end = Math.floor(now / BUCKET_MS)
    if (end < this.#nextBucket || this.#buckets.size === 0) {
      this.#nextBucket = Math.max(this.#nextBucket, end + 1)
      return []
    }
    const expired: IdempotencyKey[] = []
    for (; this.#nextBucket <= end; this.#nextBucket += 1) {
      for (const key of this.#buckets.get(this.#nextBucket) ?? []) expired.push(key)
      this.#buckets.delete(this.#nextBucket)
    }
    return expired
  }
}
