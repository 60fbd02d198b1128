/**
 * Decides which requests are withheld from servers because they crash them. Nodes exchange their crash reports, so that
 * a request that arrives at another entry each time is recognized as well. A request is quarantined once it has crashed
 * a number of server processes. When the quarantine ends, one more crash renews it; a run that completes clears the
 * request, which protects requests that are sent often and were at several servers that ended for another reason.
 */
import type { RequestId } from '@bilberrystall/base'
import type { Clearance, CrashReport } from './crash-report'
import { CrashReports } from './crash-reports'

export interface QuarantineOptions {
  /** Crashes after which a request is quarantined, default 3. */
  readonly crashLimit?: number
  /** Duration in ms after the last crash, default 10 min. */
  readonly durationMs?: number
  /** Time in ms after which a report is forgotten, default 1 h. */
  readonly retentionMs?: number
  /** Largest number of reports, default 4,096. */
  readonly maxReports?: number
}

/**
 * - `clear`: no crash counts against the request.
 * - `suspected`: it may run, but is not hedged, and from the second crash on it is not retried.
 * - `quarantined`: it must not reach a server before `until`, in Unix ms.
 */
export type RequestStanding =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspected'; readonly crashes: number }
  | { readonly kind: 'quarantined'; readonly until: number }

export interface QuarantinedRequest {
  readonly request: RequestId
  readonly until: number
  readonly crashes: readonly CrashReport[]
}

const MAX_CLEARANCES = 512
const MS_PER_MINUTE = 60_000
const CLEAR: RequestStanding = { kind: 'clear' }
/** Limits of what one node tells the others. */
const MAX_ANNOUNCED_REPORTS = 64
const MAX_ANNOUNCED_CLEARANCES = 32

export class RequestQuarantine {
  /** Crashes after which a request is quarantined. */
  readonly crashLimit: number
  readonly #durationMs: number
  readonly #retentionMs: number
  readonly #reports: CrashReports
  /** Reports and clearances of this node, oldest first. */
  readonly #own: CrashReport[] = []
  readonly #ownClearances: Clearance[] = []

  constructor(options: QuarantineOptions = {}) {
    this.crashLimit = options.crashLimit ?? 3
    this.#durationMs = options.durationMs ?? 10 * MS_PER_MINUTE
    this.#retentionMs = options.retentionMs ?? 60 * MS_PER_MINUTE
    this.#reports = new CrashReports({ maxReports: options.maxReports ?? 4_096, maxClearances: MAX_CLEARANCES })
  }

  /** Whether no request is suspected or quarantined, so that requests need not be identified. */
  get isEmpty(): boolean {
    return this.#reports.isEmpty
  }

  standing(request: RequestId, now: number): RequestStanding {
    if (this.#reports.isEmpty) return CLEAR
    const crashes = this.#reports.crashes(request)
    const last = crashes.at(-1)
    if (last === undefined) return CLEAR
    const until = last.at + this.#durationMs
    if (crashes.length >= this.crashLimit && now < until) return { kind: 'quarantined', until }
    return { kind: 'suspected', crashes: crashes.length }
  }

  quarantined(now: number): readonly QuarantinedRequest[] {
    return [...this.#reports.requests()].flatMap((request) => {
      const standing = this.standing(request, now)
      if (standing.kind !== 'quarantined') return []
      return [{ request, until: standing.until, crashes: this.#reports.crashes(request) }]
    })
  }

  /**
   * Adds a crash that this node observed. It counts in spite of any clearance known here, which came before it, also if
   * the clock of the node that cleared the request is ahead. Returns whether it was unknown.
   */
  report(observed: CrashReport): boolean {
    const clearedAt = this.#reports.clearedAt(observed.request)
    const report = observed.at > clearedAt ? observed : { ...observed, at: clearedAt + 1 }
    if (!this.#reports.add(report)) return false
    this.#own.push(report)
    if (this.#own.length > MAX_ANNOUNCED_REPORTS) this.#own.shift()
    return true
  }

  /** Clears a request, because a server completed it or an operator released it. Returns whether it was reported. */
  clear(request: RequestId, now: number): boolean {
    const reports = this.#reports.of(request)
    const last = reports.at(-1)
    if (last === undefined) return false
    // A reporter whose clock is ahead may have reported a later time.
    const clearance = { request, at: Math.max(now, last.at) }
    this.#reports.clear(clearance)
    this.#announceClearance(clearance)
    return true
  }

  /**
   * Adds a clearance that this node announces from now on, also if it knows no report about the request: a node that was
   * cut off may. Returns whether it was unknown.
   */
  addClearance(clearance: Clearance, now: number): boolean {
    if (!this.#isCurrent(clearance, now) || !this.#reports.clear(clearance)) return false
    this.#announceClearance(clearance)
    return true
  }

  /** Adds what another node announced. Returns whether anything was unknown. */
  merge(reports: readonly CrashReport[], clearances: readonly Clearance[], now: number): boolean {
    const isCurrent = (announced: Clearance) => this.#isCurrent(announced, now)
    let isChanged = false
    for (const clearance of clearances.filter(isCurrent)) {
      const isReported = this.#reports.of(clearance.request).length > 0
      if (this.#reports.clear(clearance) && isReported) isChanged = true
    }
    for (const report of reports.filter(isCurrent)) if (this.#reports.add(report)) isChanged = true
    return isChanged
  }

  /**
   * Returns the reports that this node announces: its own, and those about quarantined requests that it keeps for nodes
   * that no longer run. `keeps` tells whether this node keeps a request.
   */
  announcedReports(keeps: (request: RequestId) => boolean, now: number): readonly CrashReport[] {
    const own = this.#own.filter((report) => this.#reports.of(report.request).includes(report))
    const kept = this.quarantined(now)
      .filter(({ request }) => keeps(request))
      .flatMap(({ crashes }) => crashes.slice(-this.crashLimit))
    return [...new Set([...kept, ...own])].slice(0, MAX_ANNOUNCED_REPORTS)
  }

  announcedClearances(): readonly Clearance[] {
    return this.#ownClearances
  }

  /** Forgets what is older than the retention. */
  expire(now: number): void {
    this.#reports.expire(now - this.#retentionMs)
    while ((this.#ownClearances[0]?.at ?? Infinity) < now - this.#retentionMs) this.#ownClearances.shift()
  }

  #isCurrent({ at }: Clearance, now: number): boolean {
    return Math.abs(now - at) <= this.#retentionMs
  }

  #announceClearance(clearance: Clearance): void {
    this.#ownClearances.push(clearance)
    if (this.#ownClearances.length > MAX_ANNOUNCED_CLEARANCES) this.#ownClearances.shift()
  }
}
