/**
 * Counts and latencies of the last seconds, in slices of equal length. The cost of an update does not depend on the
 * number of events, and a window uses constant memory.
 */

/** Counts events. The slice in progress is included, so the window is up to one slice shorter than its nominal length. */
export class CountWindow {
  readonly #sliceMs: number
  readonly #slices: Uint32Array
  #current = Number.NaN
  #total = 0

  constructor({ sliceMs, slices }: { readonly sliceMs: number; readonly slices: number }) {
    this.#sliceMs = sliceMs
    this.#slices = new Uint32Array(slices)
  }

  add(now: number): void {
    this.#advance(now)
    const index = this.#current % this.#slices.length
    this.#slices[index] = (this.#slices[index] ?? 0) + 1
    this.#total += 1
  }

  count(now: number): number {
    this.#advance(now)
    return this.#total
  }

  #advance(now: number): void {
    const slice = Math.floor(now / this.#sliceMs)
    if (Number.isNaN(this.#current)) this.#current = slice
    const steps = Math.min(slice - this.#current, this.#slices.length)
    for (let step = 1; step <= steps; step += 1) {
      const index = (slice - steps + step) % this.#slices.length
      this.#total -= this.#slices[index] ?? 0
      this.#slices[index] = 0
    }
    this.#current = Math.max(this.#current, slice)
  }
}

/** Lowest latency that is told apart from 0. */
const LOWEST_MS = 0.5
/** Buckets per doubling of the latency, so that a percentile is exact to 5%. */
const BUCKETS_PER_DOUBLING = 8
/** Covers latencies up to 524 s. */
const BUCKETS = 20 * BUCKETS_PER_DOUBLING + 1
const SLICES = 10
const SLICE_MS = 1000

/** Histogram of the latencies of the last 10 s. */
export class LatencyWindow {
  /** Allocated when used: a node has many services, and calls of few of them. */
  readonly #slices: (Uint32Array | undefined)[] = Array.from({ length: SLICES }, () => undefined)
  readonly #totals = new Uint32Array(BUCKETS)
  #count = 0
  #current = Number.NaN

  add(latencyMs: number, now: number): void {
    this.#advance(now)
    const bucket = bucketOf(latencyMs)
    const slice = (this.#slices[this.#current % SLICES] ??= new Uint32Array(BUCKETS))
    slice[bucket] = (slice[bucket] ?? 0) + 1
    this.#totals[bucket] = (this.#totals[bucket] ?? 0) + 1
    this.#count += 1
  }

  count(now: number): number {
    this.#advance(now)
    return this.#count
  }

  /** Returns a quantile in ms, for example 0.95 for the 95th percentile; undefined without latencies. */
  quantile(quantile: number, now: number): number | undefined {
    this.#advance(now)
    if (this.#count === 0) return undefined
    const above = (1 - quantile) * this.#count
    let seen = 0
    for (let bucket = BUCKETS - 1; bucket >= 0; bucket -= 1) {
      seen += this.#totals[bucket] ?? 0
      if (seen > above) return latencyOf(bucket)
    }
    return latencyOf(0)
  }

  #advance(now: number): void {
    const slice = Math.floor(now / SLICE_MS)
    if (Number.isNaN(this.#current)) this.#current = slice
    const steps = Math.min(slice - this.#current, SLICES)
    for (let step = 1; step <= steps; step += 1) this.#clear((slice - steps + step) % SLICES)
    this.#current = Math.max(this.#current, slice)
  }

  #clear(index: number): void {
    const slice = this.#slices[index]
    if (slice === undefined) return
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const count = slice[bucket] ?? 0
      this.#totals[bucket] = (this.#totals[bucket] ?? 0) - count
      this.#count -= count
    }
    slice.fill(0)
  }
}

function bucketOf(latencyMs: number): number {
  const bucket = Math.floor(Math.log2(Math.max(LOWEST_MS, latencyMs) / LOWEST_MS) * BUCKETS_PER_DOUBLING)
  return Math.min(BUCKETS - 1, bucket)
}

function latencyOf(bucket: number): number {
  return LOWEST_MS * 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING)
}
