/**
 * The lease under which an entry may accept keys of organisations: its last linearizable read of the revision is recent,
 * and the document in use is at least of that revision. The lease is measured with the monotonic clock, which stands
 * still while the VM is suspended. The clock since boot and the time of day go on then, so the lease also ends when one
 * of them departs from the monotonic clock. Performs no I/O: readings of the clocks are passed in.
 */

/** A longer age of the read leaves the rest of the bound to undetected differences of the clocks and to the request. */
const VALID_SHARE = 0.6
/**
 * Difference that ends the lease. It is above the resolution of the clocks and the usual corrections of the time of day,
 * which are at most 500 ppm. Between two renewals, and from sending to renewal, less than this stays undetected.
 */
const MAX_DIFFERENCE_MS = 500
/**
 * Times that the clock since boot may depart alone, without the time of day. One suspension departs once; where that
 * clock belongs to a host that runs at another rate, it departs all the time and says nothing of this VM.
 */
const MAX_LONE_DEPARTURES = 3

/** Readings of one moment in ms. */
export interface ClockReading {
  readonly monotonic: number
  readonly sinceBoot: number
  readonly timeOfDay: number
}

/** A linearizable read of the revision in force. */
export interface RevisionRead {
  /** Monotonic time at which the request for the read was sent. */
  readonly sentAt: number
  readonly revision: number
}

/**
 * Why the lease does not hold.
 *
 * - `no-read`: the process has not read the revision since its start.
 * - `expired`: the last read is too old.
 * - `clocks`: the clocks differ since a time after the read.
 * - `behind`: the document in use is older than the one that was read.
 */
export type KeyLeaseEnd = 'no-read' | 'expired' | 'clocks' | 'behind'

export type KeyLeaseState =
  { readonly kind: 'valid'; readonly leftMs: number } | { readonly kind: 'ended'; readonly reason: KeyLeaseEnd }

export interface KeyLeaseOptions {
  /** Time in ms after the acknowledgement of a document from which a removed key must not be accepted anywhere. */
  readonly revokeMs: number
}

export class KeyLease {
  readonly #validMs: number
  #read: RevisionRead | undefined
  /** Reading that later ones are compared with. */
  #baseline: ClockReading | undefined
  /** Monotonic time at which a difference was last detected. */
  #differedAt = Number.NEGATIVE_INFINITY
  #loneDepartures = 0

  constructor({ revokeMs }: KeyLeaseOptions) {
    this.#validMs = revokeMs * VALID_SHARE
  }

  /** Records a read. A read that was sent before the known one changes nothing but the revision. */
  renewed(read: RevisionRead, clocks: ClockReading): void {
    this.#compare(clocks)
    this.#baseline = clocks
    this.#read = {
      sentAt: Math.max(read.sentAt, this.#read?.sentAt ?? Number.NEGATIVE_INFINITY),
      revision: Math.max(read.revision, this.#read?.revision ?? 0),
    }
  }

  /** Returns whether keys may be accepted by the document of revision `inUse`. */
  check(inUse: number, clocks: ClockReading): KeyLeaseState {
    this.#compare(clocks)
    if (this.#read === undefined) return { kind: 'ended', reason: 'no-read' }
    const { sentAt, revision } = this.#read
    // A read that was sent before the difference was detected may be older than the monotonic clock tells.
    if (sentAt <= this.#differedAt) return { kind: 'ended', reason: 'clocks' }
    const leftMs = this.#validMs - (clocks.monotonic - sentAt)
    if (leftMs < 0) return { kind: 'ended', reason: 'expired' }
    return inUse < revision ? { kind: 'ended', reason: 'behind' } : { kind: 'valid', leftMs }
  }

  /**
   * A difference in either direction counts: a time of day that was set back may hide a suspension of the same length.
   * The baseline is kept between renewals, so that several short suspensions add up.
   */
  #compare(clocks: ClockReading): void {
    const baseline = (this.#baseline ??= clocks)
    const elapsed = clocks.monotonic - baseline.monotonic
    const departs = (other: number) => Math.abs(other - elapsed) > MAX_DIFFERENCE_MS
    const timeOfDayDeparts = departs(clocks.timeOfDay - baseline.timeOfDay)
    const isTrusted = this.#loneDepartures < MAX_LONE_DEPARTURES
    const sinceBootDeparts = isTrusted && departs(clocks.sinceBoot - baseline.sinceBoot)
    if (!timeOfDayDeparts && !sinceBootDeparts) return
    if (!timeOfDayDeparts) this.#loneDepartures += 1
    this.#differedAt = clocks.monotonic
    this.#baseline = clocks
  }
}
