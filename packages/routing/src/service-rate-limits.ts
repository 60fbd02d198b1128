/**
 * Rate limits of the servers of one service, and the wait that they and the limits for cold servers impose on calls of
 * this entry.
 */
import type { ServerId } from '@bilberrystall/base'
import { callInterval, RateLimit, type LimitSharing } from './rate-limit'
import { acceptsRequests } from './eligibility'
import type { ServerRecord } from './server-record'

export interface ServiceRateLimitsOptions {
  readonly records: readonly ServerRecord[]
  readonly sharing: LimitSharing
  /** Whether load queries tell entries without a part of a limit that it has ended. */
  readonly learnsByQueries: boolean
  /** Whether some server may be cold. */
  readonly hasCold: () => boolean
}

export class ServiceRateLimits {
  readonly #options: ServiceRateLimitsOptions
  #hasLimits = false
  /** Undefined if servers changed since it was computed. */
  #positions: ReadonlyMap<ServerId, number> | undefined

  constructor(options: ServiceRateLimitsOptions) {
    this.#options = options
  }

  get hasLimits(): boolean {
    return this.#hasLimits
  }

  /** Whether some limit was named so long ago that it may have ended. */
  hasStale(now: number): boolean {
    return this.#mayLimit && this.#options.records.some((record) => record.isLimitStale(now))
  }

  /** Called when a server was added or removed. */
  serversChanged(): void {
    this.#positions = undefined
  }

  /** Records the limit of a response, undefined if it names none. Returns whether a limit began or ended. */
  report(record: ServerRecord, rate: number | undefined, now: number): boolean {
    const known = record.rateLimit
    if (rate === undefined) {
      record.rateLimit = undefined
      return known !== undefined
    }
    this.#hasLimits = true
    if (known === undefined) {
      record.rateLimit = new RateLimit(rate, this.#interval(record, rate), record.lastCallAt, now)
      return true
    }
    known.named(rate, now)
    known.setInterval(this.#interval(record, rate), now)
    return false
  }

  /** Applies changes of the live entries and of the servers. */
  refresh(now: number): void {
    if (!this.#hasLimits) return
    this.#hasLimits = false
    for (const record of this.#options.records) {
      if (record.rateLimit === undefined) continue
      this.#hasLimits = true
      record.rateLimit.setInterval(this.#interval(record, record.rateLimit.rate), now)
    }
  }

  /** Returns the least time in ms after which a call behind `callsAhead` others may be sent; 0 if it is unlimited. */
  wait(callsAhead: number, now: number): number {
    if (!this.#mayLimit) return 0
    let nextCallAt = Number.POSITIVE_INFINITY
    let unlimitedAt = Number.POSITIVE_INFINITY
    let callsPerMs = 0
    let limitedServers = 0
    for (const record of this.#options.records) {
      if (!acceptsRequests(record, now) || record.health.kind === 'ejected') continue
      if (!record.isLimited(now)) return 0
      limitedServers += 1
      nextCallAt = Math.min(nextCallAt, record.nextCallAt(now))
      callsPerMs += 1 / record.callInterval(now)
      if (record.rateLimit === undefined) unlimitedAt = Math.min(unlimitedAt, record.warmth.coldUntil)
    }
    if (limitedServers === 0) return 0
    const wait = callsPerMs === 0 ? Number.POSITIVE_INFINITY : Math.max(0, nextCallAt - now) + callsAhead / callsPerMs
    return Math.min(wait, unlimitedAt - now)
  }

  get #mayLimit(): boolean {
    return this.#hasLimits || this.#options.hasCold()
  }

  #interval({ server }: ServerRecord, rate: number): number {
    const { records, sharing, learnsByQueries } = this.#options
    this.#positions ??= new Map(
      records
        .map(({ server: { id } }) => id)
        .sort()
        .map((id, position) => [id, position]),
    )
    const position = this.#positions.get(server.id) ?? 0
    return callInterval({ rate, position, serverCount: records.length }, sharing, learnsByQueries)
  }
}
