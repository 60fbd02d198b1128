/**
 * Wall clocks of the entries, as they state them when they renew their leases. The leader decides from which key time on
 * a roster holds, so its own clock must not be behind theirs: a roster that took effect in their past would change the
 * holders of keys that are in use.
 */
import type { NodeId } from '@bilberrystall/base'

/** Time for which the clock of an entry counts after it was stated; several lease renewals. */
const CLOCK_RETENTION_MS = 30_000

export class EntryClocks {
  readonly #clocks = new Map<NodeId, { readonly clock: number; readonly statedAt: number }>()

  /** `now` is monotonic. A clock of 0 is that of an entry that does not state one. */
  stated(entry: NodeId, clock: number, now: number): void {
    if (clock > 0) this.#clocks.set(entry, { clock, statedAt: now })
  }

  /** Median of the clocks, so that a single wrong one has no effect beside two others; undefined if none is known. */
  median(now: number): number | undefined {
    for (const [entry, { statedAt }] of this.#clocks) {
      if (now - statedAt >= CLOCK_RETENTION_MS) this.#clocks.delete(entry)
    }
    const clocks = [...this.#clocks.values()].map(({ clock, statedAt }) => clock + now - statedAt)
    return clocks.sort((left, right) => left - right)[Math.floor(clocks.length / 2)]
  }
}
