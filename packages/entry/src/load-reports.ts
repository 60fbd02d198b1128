/** The last load that each server reported in a response to this entry, to a call or to a load query. */
import type { ServerId } from '@bilberrystall/base'
import type { Load, LoadReport } from '@bilberrystall/routing'

/** Bounds the memory for servers that have left. */
const MAX_SERVERS = 2_000

interface TimedLoad {
  readonly load: Load
  readonly reportedAt: number
}

export class LoadReports {
  readonly #reports = new Map<ServerId, TimedLoad>()

  /** `now` in monotonic ms. */
  add(server: ServerId, load: Load, now: number): void {
    this.#reports.set(server, { load, reportedAt: now })
    if (this.#reports.size <= MAX_SERVERS) return
    const [oldest] = this.#reports.keys()
    if (oldest !== undefined) this.#reports.delete(oldest)
  }

  last(server: ServerId, now: number): LoadReport | undefined {
    const report = this.#reports.get(server)
    return report === undefined ? undefined : { load: report.load, ageMs: now - report.reportedAt }
  }
}
