/**
 * Entries that may be sending calls: those that are live, and those that were lost without an orderly end, which may run
 * on, cut off from this node. Entries that share a bound without messages divide it among all of them, so a cut does not
 * make both sides use the whole.
 */

/** Time in ms in which the directory of a node that just started fills. */
const SETTLE_MS = 3_000
/** Time in ms for which an entry that was lost counts, for longer than partitions usually last. */
const LOST_RETENTION_MS = 3_600_000
const NONE: readonly string[] = []

export interface KnownEntriesOptions {
  readonly self: string
  readonly startedAt: number
  /** Time in ms from `startedAt` on in which no entries are counted, default 3 s. */
  readonly settleMs?: number
  /** Time in ms for which an entry counts after its orderly end, default 0. */
  readonly leftRetentionMs?: number
}

export class KnownEntries {
  readonly #self: string
  readonly #settledAt: number
  readonly #leftRetentionMs: number
  readonly #live = new Set<string>()
  /** Entries that are not live, with the time until which they count. */
  readonly #countedUntil = new Map<string, number>()
  /** The earliest of these times. */
  #expiresAt = Number.POSITIVE_INFINITY
  /** Undefined after a change. */
  #list: readonly string[] | undefined

  constructor({ self, startedAt, settleMs = SETTLE_MS, leftRetentionMs = 0 }: KnownEntriesOptions) {
    this.#self = self
    this.#settledAt = startedAt + settleMs
    this.#leftRetentionMs = leftRetentionMs
  }

  /** Records that an entry is live. */
  seen(entry: string): void {
    if (this.#live.has(entry)) return
    this.#live.add(entry)
    if (!this.#countedUntil.delete(entry)) this.#list = undefined
  }

  /** Records that an entry is no longer live; `hasLeft` if it ended in an orderly way. */
  lost(entry: string, hasLeft: boolean, now: number): void {
    if (!this.#live.delete(entry)) return
    const until = now + (hasLeft ? this.#leftRetentionMs : LOST_RETENTION_MS)
    this.#countedUntil.set(entry, until)
    this.#expiresAt = Math.min(this.#expiresAt, until)
  }

  /** Returns the sorted ids, including this entry; the same array while nothing changed. Empty until it is settled. */
  list(now: number): readonly string[] {
    if (now < this.#settledAt) return NONE
    if (now >= this.#expiresAt) this.#expire(now)
    this.#list ??= [...new Set([this.#self, ...this.#live, ...this.#countedUntil.keys()])].sort()
    return this.#list
  }

  #expire(now: number): void {
    this.#expiresAt = Number.POSITIVE_INFINITY
    for (const [entry, until] of this.#countedUntil) {
      if (now < until) {
        this.#expiresAt = Math.min(this.#expiresAt, until)
      } else {
        this.#countedUntil.delete(entry)
        this.#list = undefined
      }
    }
  }
}
