/**
 * Ejection of outliers and their way back: a probe when tokens allow it, then trial calls one at a time, then a ramp.
 * The share of ejected servers is limited, because ejecting everything would leave nobody to serve.
 */
import type { EjectReason } from './call'
import { SLOW_EVIDENCE, type ServerRecord } from './server-record'

export interface HealthView {
  /** 95th percentile of the latency of the service in ms. */
  readonly place: { readonly high: number }
  /** Failure rate over all servers. */
  readonly failureRate: number
}

const MAX_EJECTED_SHARE = 1 / 3
const CONSECUTIVE_FAILURES = 3
const FAILURE_RATE = 0.5
/** A server is a failing outlier only when it fails this many times as often as the service. */
const FAILURE_CONTRAST = 2
/** Evidence at which a server is ejected: six slow calls in a row. Four ejected healthy servers with long calls. */
const EJECT_EVIDENCE = 6 * SLOW_EVIDENCE
const FIRST_BACKOFF = 1000
const MAX_BACKOFF = 20_000
export const TRIALS = 3

/** Time in ms for which a peer's ejection makes one failure enough. Slowness spread false ejections that way. */
const PEER_MEMORY = 2000

/** The reason for which the server should be ejected, if any. */
export function outlierReason(record: ServerRecord, view: HealthView, now: number): EjectReason | undefined {
  const isSuspected = now - record.suspectedByPeerAt < PEER_MEMORY
  if (isFailing(record, isSuspected) && record.failureRate > FAILURE_CONTRAST * view.failureRate) return 'failing'
  if (record.slowEvidence(view.place.high, now) < EJECT_EVIDENCE) return undefined
  return record.own > 0 ? 'stuck' : 'slow'
}

function isFailing(record: ServerRecord, isSuspected: boolean): boolean {
  return record.consecutiveFailures >= (isSuspected ? 1 : CONSECUTIVE_FAILURES) || record.failureRate > FAILURE_RATE
}

/** Whether one more server may be ejected. */
export function mayEject(records: readonly ServerRecord[]): boolean {
  const ejected = records.filter((record) => record.standing.kind !== 'healthy').length
  const limit = Math.max(1, Math.floor(records.length * MAX_EJECTED_SHARE))
  return records.length > 1 && ejected < limit
}

export function eject(record: ServerRecord, now: number): void {
  const previous = record.standing.kind === 'healthy' ? 0 : record.standing.backoff
  const backoff = Math.min(MAX_BACKOFF, Math.max(FIRST_BACKOFF, previous * 2))
  record.standing = { kind: 'ejected', until: now + backoff, backoff }
  record.forgetSpeed()
}
