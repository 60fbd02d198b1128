/**
 * Outlier ejection. An ejected server returns through a probe (if tokens are available), trial calls one at a time, and
 * a ramp. The share of ejected servers is limited, so that a failing service keeps servers.
 */
import type { Effect, EjectReason } from './call'
import { isStaying } from './eligibility'
import { SLOW_CALL_EVIDENCE, type ServerRecord } from './server-record'

export interface OutlierBaseline {
  /** 95th percentile of the latency of the service in ms. */
  readonly stats: { readonly p95Latency: number }
  /** Failure rate over all servers. */
  readonly failureRate: number
}

const MAX_EJECTED_SHARE = 1 / 3
const EJECT_CONSECUTIVE_FAILURES = 3
const EJECT_FAILURE_RATE = 0.5
/** A server is a failing outlier only if its failure rate exceeds that of the service by this factor. */
const EJECT_FAILURE_RATIO = 2
/** Evidence of slowness at which a server is ejected: six slow calls in a row. Four ejected healthy servers with long calls. */
const EJECT_SLOW_EVIDENCE = 6 * SLOW_CALL_EVIDENCE
/** Duration of the first ejection; it doubles whenever a probe or trial call fails, up to the maximum. */
const MIN_BACKOFF_MS = 1000
const MAX_BACKOFF_MS = 20_000
/** Number of successful trial calls after which a server is restored. */
const TRIAL_CALLS = 3

/**
 * Time in ms after an ejection by a peer during which a single failure suffices here. This does not apply to slowness,
 * for which it spread false ejections between entries.
 */
const PEER_SUSPICION_MS = 2000

/** Returns the reason for which the server should be ejected, if any. */
export function outlierReason(record: ServerRecord, baseline: OutlierBaseline, now: number): EjectReason | undefined {
  const isSuspected = now - record.suspectedByPeerAt < PEER_SUSPICION_MS
  if (isFailing(record, isSuspected) && record.failureRate > EJECT_FAILURE_RATIO * baseline.failureRate)
    return 'failing'
  if (record.slowEvidence(baseline.stats.p95Latency, now) < EJECT_SLOW_EVIDENCE) return undefined
  return record.ownInFlight > 0 ? 'stuck' : 'slow'
}

function isFailing(record: ServerRecord, isSuspected: boolean): boolean {
  return (
    record.consecutiveFailures >= (isSuspected ? 1 : EJECT_CONSECUTIVE_FAILURES) ||
    record.failureRate > EJECT_FAILURE_RATE
  )
}

/** Whether one more server may be ejected. */
export function mayEject(records: readonly ServerRecord[]): boolean {
  const ejected = records.filter((record) => record.health.kind !== 'healthy').length
  const limit = Math.max(1, Math.floor(records.length * MAX_EJECTED_SHARE))
  return records.length > 1 && ejected < limit
}

/** Restores all ready servers if none of them is healthy, since an ejected server is better than none. */
export function restoreWhenNoneHealthy(records: readonly ServerRecord[], now: number, effects: Effect[]): void {
  const ready = records.filter(isStaying)
  if (ready.some((record) => record.health.kind === 'healthy')) return
  for (const record of ready) {
    record.restore(now)
    effects.push({ kind: 'restored', server: record.server.id })
  }
}

/** Applies the result of a trial call; enough successes restore the server. */
export function endTrial(record: ServerRecord, isSuccess: boolean, now: number, effects: Effect[]): void {
  if (record.health.kind !== 'trial') return
  if (!isSuccess) {
    eject(record, now)
    return
  }
  const successes = record.health.successes + 1
  if (successes < TRIAL_CALLS) {
    record.health = { ...record.health, successes }
    return
  }
  record.restore(now)
  effects.push({ kind: 'restored', server: record.server.id })
}

export function eject(record: ServerRecord, now: number): void {
  const previous = record.health.kind === 'healthy' ? 0 : record.health.backoff
  const backoff = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, previous * 2))
  record.health = { kind: 'ejected', until: now + backoff, backoff }
  record.resetLatency()
}

/** Ejects the server if it is an outlier and the service can spare it. Returns whether it did. */
export function ejectOutlier(
  record: ServerRecord,
  service: OutlierBaseline & { readonly candidates: readonly ServerRecord[] },
  now: number,
  effects: Effect[],
): boolean {
  if (record.health.kind !== 'healthy') return false
  const reason = outlierReason(record, service, now)
  if (reason === undefined || !mayEject(service.candidates)) return false
  eject(record, now)
  effects.push({ kind: 'ejected', server: record.server.id, reason })
  return true
}
