/**
 * Bound for cold servers: what this entry may send to a server that is cold, so that all entries together stay below
 * `rate * overshoot + slack` calls in every second. Entries share the bound without messages. The entries of highest
 * rendezvous weight for the server may send to it, each at a fixed interval without catching up. The number of senders
 * times the calls of each in a second stays below the bound with a reserve, so the bound holds if all of them send in
 * the same second, if entries disagree on the list of entries, and if one has not yet learned that the server is cold.
 */
import { rendezvousRank, type ServerId } from '@bilberrystall/base'

/** What the document says of the servers of a service while they are cold. */
export interface WarmUp {
  /** How long a server is cold after its start, in ms; 0 if the document does not say. */
  readonly lengthMs: number
  /** Calls per second that a cold server sustains. */
  readonly rate: number
  /** Factor on the rate in the bound, default 1.5. */
  readonly overshoot?: number
  /** Calls in a second beyond that, default 8. */
  readonly slack?: number
}

export interface ColdSharing {
  /** Id of this entry. */
  readonly entry: string
  /**
   * Returns the ids of all entries that may send, also of those that were lost a while ago and may be cut off; the same
   * array while nothing changed. An entry that is not contained sends nothing to cold servers.
   */
  readonly entries: () => readonly string[]
}

/** How the entries share one cold server. */
export interface ColdShare {
  /** Number of entries that may send to the server. */
  readonly senders: number
  /** Time in ms between two calls of one of them. */
  readonly interval: number
}

const MS_PER_SECOND = 1000
const DEFAULT_OVERSHOOT = 1.5
const DEFAULT_SLACK = 8
/**
 * Window in ms for which the sum is computed. It is longer than the second of the bound, because calls that were sent at
 * an interval arrive closer together if the first of them had to open a connection.
 */
const WINDOW_MS = 1250
/** Interval in ms at which an entry sends to a server that has not answered it for `UNHEARD_AFTER_MS`. */
export const UNHEARD_INTERVAL_MS = 250
/** Time in ms after the last answer to a load query after which the server may be cold without the entry knowing. */
export const UNHEARD_AFTER_MS = 1000
/** Calls in a window that one entry may send before it learns that the server is cold. */
const LATE_CALLS = WINDOW_MS / UNHEARD_INTERVAL_MS
/** Largest share of the bound that is reserved for them. */
const MAX_LATE_SHARE = 0.5
/**
 * Factor by which the entries that count themselves among the senders may exceed the number of senders. If each entry
 * lacks a share `s` of the others, the factor is 1 / (1 - s); 1.4 covers lists that lack 28%.
 */
const DISAGREEMENT = 1.4
/** Longest time in ms for which a server counts as cold by one statement, so that a wrong value does not last. */
const MAX_COLD_MS = 600_000
/** Time in ms after which a statement of the server may be outdated. */
const STALE_AFTER_MS = 1000
/**
 * Time in ms for which an announcement may be on its way to this entry. For that long after a response, an announcement
 * does not shorten the cold time that the response stated.
 */
const ANNOUNCEMENT_DELAY_MS = 1000
/** Calls per second that a cold server gets if the document says that it sustains none, to end its warm-up by work. */
const MIN_RATE = 0.5
/** Least time in ms before an entry uses a part that it gets because the list of entries changed. */
const MOVED_PART_DELAY_MS = 2000

/** Returns how `entries` entries share a cold server. */
export function coldShare({ rate, overshoot, slack }: WarmUp, entries: number): ColdShare {
  const bound = Math.floor(rate * (overshoot ?? DEFAULT_OVERSHOOT) + (slack ?? DEFAULT_SLACK))
  const calls = (bound - Math.min(LATE_CALLS, Math.floor(bound * MAX_LATE_SHARE))) / DISAGREEMENT
  const senders = Math.max(1, Math.min(entries, Math.floor(calls)))
  if (calls < 1) return { senders, interval: Number.POSITIVE_INFINITY }
  const callsInWindow = Math.floor(calls / senders)
  return {
    senders,
    interval: Math.max(WINDOW_MS / callsInWindow, (senders * MS_PER_SECOND) / Math.max(rate, MIN_RATE)),
  }
}

/** Returns the interval in ms at which this entry may send to a cold server; infinite if it may not. */
export function coldInterval(server: ServerId, warmUp: WarmUp, sharing: ColdSharing): number {
  const entries = sharing.entries()
  if (!entries.includes(sharing.entry)) return Number.POSITIVE_INFINITY
  const { senders, interval } = coldShare(warmUp, entries.length)
  return rendezvousRank(server, sharing.entry, entries) < senders ? interval : Number.POSITIVE_INFINITY
}

/** What this entry knows of one server process: until when it is cold, and when this entry may send the next call. */
export class ServerWarmth {
  #coldUntil = Number.NEGATIVE_INFINITY
  #respondedAt = Number.NEGATIVE_INFINITY
  #isAnnouncedCold = false
  /** Interval between calls while the server is cold. Undefined: the service has no limit for cold servers. */
  #interval: number | undefined
  /** Time before which a part that moved to this entry is not used. */
  #partFrom = Number.NEGATIVE_INFINITY
  #lastCallAt = Number.NEGATIVE_INFINITY

  /** Time until which the server is cold by its last statement, whether or not the service limits cold servers. */
  get coldUntil(): number {
    return this.#coldUntil
  }

  /** Whether the server is cold and its service limits cold servers. */
  isCold(now: number): boolean {
    return this.#interval !== undefined && now < this.#coldUntil
  }

  /** Time in ms between two calls of this entry, infinite if it may not send any; 0 without a limit. */
  interval(now: number): number {
    return this.isCold(now) ? (this.#interval ?? 0) : 0
  }

  /** Time at which this entry may send the next call. */
  nextCallAt(now: number): number {
    if (this.#interval === undefined || now >= this.#coldUntil) return Number.NEGATIVE_INFINITY
    if (!Number.isFinite(this.#interval)) return this.#coldUntil
    return Math.min(this.#coldUntil, Math.max(this.#partFrom, this.#lastCallAt + this.#interval))
  }

  /** Whether the service limits cold servers and this entry has sent a call within `UNHEARD_INTERVAL_MS`. */
  hasJustCalled(now: number): boolean {
    return this.#interval !== undefined && now < this.#lastCallAt + UNHEARD_INTERVAL_MS
  }

  /** Whether the server may have become warm since its last response. */
  isStale(now: number): boolean {
    return this.isCold(now) && now - this.#respondedAt >= STALE_AFTER_MS
  }

  /** Records an announcement with the remaining cold time in ms. It is 0 as well if an earlier build left it out. */
  announced(coldMs: number, now: number): void {
    if (coldMs === 0 && !this.#isAnnouncedCold) return
    this.#isAnnouncedCold = coldMs > 0
    const until = coldEnd(coldMs, now)
    const mayBeOlder = now - this.#respondedAt < ANNOUNCEMENT_DELAY_MS
    this.#coldUntil = mayBeOlder ? Math.max(until, this.#coldUntil) : until
  }

  /** Records a response with the remaining cold time in ms, 0 if the server is warm. */
  responded(coldMs: number, now: number): void {
    this.#respondedAt = now
    this.#coldUntil = coldEnd(coldMs, now)
  }

  /** Treats the server as cold for `coldMs` unless it states otherwise afterwards. */
  assumeCold(coldMs: number, now: number): void {
    this.#respondedAt = Number.NEGATIVE_INFINITY
    this.#coldUntil = Math.max(this.#coldUntil, coldEnd(coldMs, now))
  }

  /** `isMoved` tells that the list of entries changed, so that the part may still be in use by another entry. */
  setInterval(interval: number | undefined, isMoved: boolean, now: number): void {
    const isNewPart = isMoved && this.#interval === Number.POSITIVE_INFINITY && interval !== undefined
    if (isNewPart && Number.isFinite(interval)) this.#partFrom = now + Math.max(interval, MOVED_PART_DELAY_MS)
    this.#interval = interval
  }

  called(now: number): void {
    this.#lastCallAt = now
  }
}

function coldEnd(coldMs: number, now: number): number {
  return coldMs > 0 ? now + Math.min(coldMs, MAX_COLD_MS) : Number.NEGATIVE_INFINITY
}
