/**
 * Entries that may be sending calls: those that are live, and those that were lost without an orderly end, which may run
 * on, cut off from this node. Entries that share a bound without messages divide it among all of them, so a cut does not
 * make both sides use the whole.
 */

/** Time in ms from the start of this node on in which its directory fills. Until then it counts no entries. */
const SETTLE_MS = 3_000
/** Time in ms for which an entry that was lost counts, for longer than partitions usually last. */
const LOST_RETENTION_MS = 3_600_000
const NONE: readonly string[] = []

export class KnownEntries {
  readonly #self: string
  readonly #settledAt: number
  readonly #live = new Set<string>()
  readonly #lostAt = new Map<string, number>()
  /** Undefined after a change. */
  #list: readonly string[] | undefined

  constructor(self: string, startedAt: number) {
    this.#self = self
    this.#settledAt = startedAt + SETTLE_MS
  }

  /** Records that an entry is live. */
  seen(entry: string): void {
    if (this.#live.has(entry)) return
    this.#live.add(entry)
    if (!this.#lostAt.delete(entry)) this.#list = undefined
  }

  /** Records that an entry is no longer live; `hasLeft` if it ended in an orderly way. */
  lost(entry: string, hasLeft: boolean, now: number): void {
    if (!this.#live.delete(entry)) return
    if (hasLeft) this.#list = undefined
    else this.#lostAt.set(entry, now)
  }

  /** Returns the sorted ids, including this entry; the same array while nothing changed. Empty until it is settled. */
  list(now: number): readonly string[] {
    if (now < this.#settledAt) return NONE
    for (const [entry, lostAt] of this.#lostAt) {
      // Entries are kept in the order in which they were lost.
      if (now - lostAt < LOST_RETENTION_MS) break
      this.#lostAt.delete(entry)
      this.#list = undefined
    }
    this.#list ??= [...new Set([this.#self, ...this.#live, ...this.#lostAt.keys()])].sort()
    return this.#list
  }
}
