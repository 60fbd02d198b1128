/** Takes from the end of a call what it says of its server and of the service: latency, load and failures. */
import type { ExchangeOutcome, Load } from './call'
import type { InFlightCall } from './service-pool'

const MAX_FAILURE_DOUBLINGS = 6

export interface EndedExchange {
  readonly outcome: ExchangeOutcome
  /** Duration in ms. */
  readonly latency: number
  /** Report that came with the response. */
  readonly load: Load | undefined
  /** Calls sent after this time in ms may be missing in the report. */
  readonly reportedSince: number
}

export function recordOutcome({ record, pool }: InFlightCall, exchange: EndedExchange, now: number): void {
  const { outcome, latency, load, reportedSince } = exchange
  if (outcome === 'unattributed') return
  const hasReport = outcome === 'shed' || outcome === 'ok'
  if (outcome === 'ok') record.addLatency(latency, pool.stats.p95Latency, true, now)
  if (hasReport && load !== undefined) {
    pool.addReport(record, load, record.sentSince(reportedSince), outcome === 'shed', now)
  }
  if (outcome === 'shed') return
  if (outcome === 'timeout') record.addLatency(latency, pool.stats.p95Latency, false, now)
  const isFailure = outcome !== 'ok' && outcome !== 'timeout'
  record.addResult(isFailure)
  pool.addResult(isFailure)
  if (!isFailure) return
  const doublings = Math.min(MAX_FAILURE_DOUBLINGS, record.consecutiveFailures - 1)
  record.pausedUntil = now + pool.stats.typicalLatency * 2 ** doublings
}
