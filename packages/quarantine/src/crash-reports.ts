/**
 * Bounded set of crash reports. Several requests run at a server when it ends, and all of them are reported. A crash
 * counts only against those of them that were at the most crashes: a request that ran beside the cause by chance is at
 * few crashes, the cause at all of them.
 */
import type { RequestId } from '@bilberrystall/base'
import type { Clearance, CrashReport, ProcessId } from './crash-report'

export interface CrashReportsOptions {
  /** Largest number of reports; the oldest are dropped. */
  readonly maxReports: number
  /** Largest number of clearances; the oldest are dropped. */
  readonly maxClearances: number
}

export class CrashReports {
  readonly #options: CrashReportsOptions
  readonly #byRequest = new Map<RequestId, Map<ProcessId, CrashReport>>()
  readonly #byProcess = new Map<ProcessId, Set<RequestId>>()
  readonly #clearances = new Map<RequestId, number>()
  #size = 0

  constructor(options: CrashReportsOptions) {
    this.#options = options
  }

  get isEmpty(): boolean {
    return this.#size === 0
  }

  get clearances(): readonly Clearance[] {
    return [...this.#clearances].map(([request, at]) => ({ request, at }))
  }

  requests(): Iterable<RequestId> {
    return this.#byRequest.keys()
  }

  /** Returns the reports about a request, oldest first. */
  of(request: RequestId): readonly CrashReport[] {
    const reports = this.#byRequest.get(request)
    return reports === undefined ? [] : [...reports.values()].toSorted((left, right) => left.at - right.at)
  }

  /** Returns the crashes that count against a request, oldest first. */
  crashes(request: RequestId): readonly CrashReport[] {
    const ownCount = this.#byRequest.get(request)?.size ?? 0
    return this.of(request).filter(({ process }) =>
      [...(this.#byProcess.get(process) ?? [])].every((other) => (this.#byRequest.get(other)?.size ?? 0) <= ownCount),
    )
  }

  /** Time up to which reports about a request do not count. */
  clearedAt(request: RequestId): number {
    return this.#clearances.get(request) ?? Number.NEGATIVE_INFINITY
  }

  /** Adds a report; returns false if it is known or older than a clearance. */
  add(report: CrashReport): boolean {
    const { request, process, at } = report
    const reports = this.#byRequest.get(request) ?? new Map<ProcessId, CrashReport>()
    if (reports.has(process) || at <= this.clearedAt(request)) return false
    reports.set(process, report)
    this.#byRequest.set(request, reports)
    const requests = this.#byProcess.get(process) ?? new Set<RequestId>()
    this.#byProcess.set(process, requests.add(request))
    this.#size += 1
    if (this.#size > this.#options.maxReports) this.#dropOldest()
    return true
  }

  /** Drops the reports about a request up to the time of the clearance; returns false if a newer one is known. */
  clear({ request, at }: Clearance): boolean {
    if (at <= this.clearedAt(request)) return false
    this.#clearances.delete(request)
    this.#clearances.set(request, at)
    if (this.#clearances.size > this.#options.maxClearances) this.#dropOldestClearance()
    for (const report of this.of(request)) if (report.at <= at) this.#drop(report)
    return true
  }

  /** Drops reports and clearances from before `time`. */
  expire(time: number): void {
    for (const request of [...this.#byRequest.keys()]) {
      for (const report of this.of(request)) if (report.at < time) this.#drop(report)
    }
    for (const [request, at] of this.#clearances) if (at < time) this.#clearances.delete(request)
  }

  #drop({ request, process }: CrashReport): void {
    const reports = this.#byRequest.get(request)
    if (reports?.delete(process) !== true) return
    this.#size -= 1
    if (reports.size === 0) this.#byRequest.delete(request)
    const requests = this.#byProcess.get(process)
    requests?.delete(request)
    if (requests?.size === 0) this.#byProcess.delete(process)
  }

  #dropOldest(): void {
    let oldest: CrashReport | undefined
    for (const reports of this.#byRequest.values()) {
      for (const report of reports.values()) if (oldest === undefined || report.at < oldest.at) oldest = report
    }
    if (oldest !== undefined) this.#drop(oldest)
  }

  #dropOldestClearance(): void {
    const [oldest] = this.#clearances.keys()
    if (oldest !== undefined) this.#clearances.delete(oldest)
  }
}
