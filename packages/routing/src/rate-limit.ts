/**
 * Rate limits that servers in need name in their responses, in calls per second from all entries together. Entries
 * share a limit without messages. Each derives from the live entries and the servers of the service, which all of them
 * know, the same few entries that may send to a limited server. Each of those sends at a fixed interval, so the entries
 * together send at the named rate, and in any time at most two calls of each beyond that.
 */

const MS_PER_SECOND = 1000
/** Entries that share a limit, per call a second. Few entries bound the sum of their first calls. */
const ENTRIES_PER_CALL_RATE = 1
/** Share of an interval by which a late call does not delay the next one, so that the named rate is reached. */
const CATCH_UP_SHARE = 1
/** Entries beyond that, so that each entry may use a server of a service that limits all of its servers. */
const MAX_COVERING_ENTRIES = 4
const STALE_AFTER_MS = 1000
/** Share of the rate that entries without a part of the limit use to learn whether it still holds. */
const TEST_SHARE = 0.2
/** Such calls per second of all entries at servers that take hardly any. */
const MIN_TEST_RATE = 0.05
const MIN_TEST_INTERVAL_MS = 5000

export interface LimitedServer {
  /** Calls per second that the server accepts from all entries together. */
  readonly rate: number
  /** Position of the server among the servers of its service, sorted by id. */
  readonly position: number
  readonly serverCount: number
}

export interface LimitSharing {
  /** Id of this entry. */
  readonly entry: string
  /** Returns the ids of the live entries, sorted, including this one. */
  readonly entries: () => readonly string[]
}

/**
 * Returns the interval in ms at which this entry may send to a limited server. It is infinite for an entry without a
 * part of the limit if `learnsByQueries`; otherwise such an entry may send a call now and then.
 */
export function callInterval(server: LimitedServer, sharing: LimitSharing, learnsByQueries: boolean): number {
  const { rate, position, serverCount } = server
  const entries = sharing.entries()
  const count = Math.max(1, entries.length)
  const sharers = countSharers(rate, count, serverCount)
  const first = Math.floor((position * count) / serverCount)
  const distance = (Math.max(0, entries.indexOf(sharing.entry)) - first + count) % count
  if (rate > 0 && distance < sharers) return (sharers * MS_PER_SECOND) / rate
  if (learnsByQueries) return Number.POSITIVE_INFINITY
  const testRate = Math.max(rate * TEST_SHARE, MIN_TEST_RATE)
  return Math.max(MIN_TEST_INTERVAL_MS, (count * MS_PER_SECOND) / testRate)
}

function countSharers(rate: number, entries: number, servers: number): number {
  const byRate = Math.floor(rate * ENTRIES_PER_CALL_RATE)
  const covering = Math.min(Math.ceil(entries / servers), byRate + MAX_COVERING_ENTRIES)
  return Math.min(entries, Math.max(1, byRate, covering))
}

/** Limit of one server as this entry applies it. */
export class RateLimit {
  #rate: number
  #interval: number
  /** Time from which the interval to the next call counts. */
  #paceAt: number
  #namedAt: number

  /** `lastCallAt` is the time of the last call of this entry to the server. */
  constructor(rate: number, interval: number, lastCallAt: number, now: number) {
    this.#rate = rate
    this.#interval = interval
    this.#paceAt = Math.max(lastCallAt, Number.isFinite(interval) ? now - interval : now)
    this.#namedAt = now
  }

  get rate(): number {
    return this.#rate
  }

  /** Time in ms between two calls of this entry, infinite if it may not send any. */
  get interval(): number {
    return this.#interval
  }

  /** Time at which this entry may send the next call. */
  get nextCallAt(): number {
    return this.#paceAt + this.#interval
  }

  /** Whether the limit was named so long ago that it may have ended. */
  isStale(now: number): boolean {
    return now - this.#namedAt >= STALE_AFTER_MS
  }

  named(rate: number, now: number): void {
    this.#rate = rate
    this.#namedAt = now
  }

  /** An entry that newly gets a part of the limit waits an interval first: the part was another entry's until now. */
  setInterval(interval: number, now: number): void {
    if (interval === this.#interval) return
    if (!Number.isFinite(this.#interval)) this.#paceAt = now
    this.#interval = interval
  }

  called(now: number): void {
    const lateness = Math.max(0, now - this.nextCallAt)
    this.#paceAt = now - Math.min(lateness, this.#interval * CATCH_UP_SHARE)
  }
}
