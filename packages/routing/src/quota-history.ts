/**
 * Requests that the shares of one organisation allow in every window that includes the present. A window allows the
 * tokens that lie in the buckets of the entries when it begins, those that are handed out in it, and what the shares
 * accrue until its end. A new allocation must fit into all windows that began within the last window length, and into
 * the one that begins now.
 */
import { MS_PER_SECOND } from './quota-limit'

/** Length of the intervals in which windows begin. Shorter ones are more exact and cost more per request to the leader. */
const SLOT_MS = 100

export class QuotaHistory {
  readonly #windowMs: number
  readonly #slots: number
  /** Most tokens that a window which begins in each slot has in its slot: those in buckets, and those issued after. */
  readonly #begun: Float64Array
  /** Tokens handed out and accrued in each slot. */
  readonly #issued: Float64Array
  /** Least rate of all shares in each slot. */
  readonly #rates: Float64Array
  #slot: number
  #advancedAt: number

  constructor(windowMs: number, now: number) {
    this.#windowMs = windowMs
    this.#slots = Math.ceil(windowMs / SLOT_MS) + 1
    this.#begun = new Float64Array(this.#slots)
    this.#issued = new Float64Array(this.#slots)
    this.#rates = new Float64Array(this.#slots)
    this.#slot = Math.floor(now / SLOT_MS)
    this.#advancedAt = now
  }

  /** Continues until `now` with shares of `rate` in total, and buckets that hold at most `lying` tokens. */
  advance(now: number, rate: number, lying: number): void {
    if (now <= this.#advancedAt) return
    const slot = Math.floor(now / SLOT_MS)
    const first = Math.max(this.#slot + 1, slot - this.#slots + 1)
    if (slot > this.#slot) this.#accrue((this.#slot + 1) * SLOT_MS, rate)
    for (let next = first; next <= slot; next += 1) {
      const index = next % this.#slots
      this.#begun[index] = lying
      this.#issued[index] = 0
      this.#rates[index] = rate
      this.#slot = next
      this.#advancedAt = Math.max(this.#advancedAt, next * SLOT_MS)
      this.#accrue(Math.min(now, (next + 1) * SLOT_MS), rate)
    }
    this.#accrue(now, rate)
  }

  /**
   * Records a change of the shares at the time of the last `advance`. Tokens that come back unused count negatively:
   * they were counted when they were issued, or are lying in the windows that began after that.
   */
  record(change: { readonly issued: number; readonly lying: number; readonly rate: number }): void {
    const index = this.#slot % this.#slots
    this.#issued[index] = at(this.#issued, index) + change.issued
    // Tokens issued count as such in the windows that began before, and as lying in buckets in those that begin after.
    // A window that begins now also ends later than one from the start of the slot, by what the rates accrue until then.
    const later = (at(this.#rates, index) * (this.#advancedAt - this.#slot * SLOT_MS)) / MS_PER_SECOND
    this.#begun[index] = Math.max(at(this.#begun, index) + change.issued, change.lying + later)
    this.#rates[index] = Math.min(at(this.#rates, index), change.rate)
  }

  /** Returns the most requests allowed in a window that began before, if shares of `rate` go on until its end. */
  most(rate: number): number {
    let most = 0
    let issued = 0
    for (let slot = this.#slot; slot > this.#slot - this.#slots; slot -= 1) {
      const index = ((slot % this.#slots) + this.#slots) % this.#slots
      const leftMs = Math.max(0, slot * SLOT_MS + this.#windowMs - this.#advancedAt)
      // A window that begins at the end of the slot ends later, and gains what the rate has grown since.
      const growth = Math.max(0, rate - at(this.#rates, index)) * SLOT_MS
      most = Math.max(most, at(this.#begun, index) + issued + (rate * leftMs + growth) / MS_PER_SECOND)
      issued += at(this.#issued, index)
    }
    return most
  }

  #accrue(until: number, rate: number): void {
    const index = this.#slot % this.#slots
    const accrued = (rate * (until - this.#advancedAt)) / MS_PER_SECOND
    this.#begun[index] = at(this.#begun, index) + accrued
    this.#issued[index] = at(this.#issued, index) + accrued
    this.#advancedAt = until
  }
}

function at(values: Float64Array, index: number): number {
  return values[index] ?? 0
}
