/**
 * Decides how long a request may stay unanswered before a repeatable call is tried at another server as well. Some
 * servers never answer a request that they cannot queue, nor any later one on that connection. That is a failure and not
 * a slow response, so neither the delay nor the limit of hedged attempts applies to it.
 */
import type { Load } from './call'

/** Multiple of the 95th percentile after which a request counts as unanswered. Most slow servers respond before it. */
const TAIL_FACTOR = 4
/** The same at a server whose last report had a full queue, which may have discarded the request. */
const FULL_TAIL_FACTOR = 1.5
/** Fraction of the target latency after which a request to a server with a full queue counts as unanswered at the latest. */
const FULL_TARGET_SHARE = 0.5
/** Fraction of the time for silent connections that applies to a full server while no latencies are known. */
const FULL_SILENCE_SHARE = 0.5
/** Pauses of a server below this time, for example to collect garbage, are not taken for silence. */
const MIN_UNANSWERED_MS = 50
/** Age of a load report from which it says nothing of the queue. */
const REPORT_VALID_MS = 2000
/** Largest reported slowness that counts, so that a wrong value does not disable the rule. */
const MAX_SLOWNESS = 10
/** Waiting calls from which the queue of a server counts as full; entries send no call to a server beyond that. */
const FULL_QUEUE = 1

export interface UnansweredOptions {
  /** 95th percentile of the latency of the service in ms; undefined while few latencies are known. */
  readonly tailLatency: number | undefined
  /** Target latency of the call in ms. */
  readonly target: number | undefined
  /** Time in ms without progress from which the connection counts as silent; the upper bound. */
  readonly silenceMs: number
  /** Last load that the server reported, with its age in ms. */
  readonly report: LoadReport | undefined
}

export interface LoadReport {
  readonly load: Load
  readonly ageMs: number
}

/** Returns the time in ms after which a request without a response counts as unanswered. */
export function unansweredAfterMs({ tailLatency, target, silenceMs, report }: UnansweredOptions): number {
  const isFull = hasFullQueue(report)
  if (tailLatency === undefined) return isFull ? silenceMs * FULL_SILENCE_SHARE : silenceMs
  const slowness = Math.min(MAX_SLOWNESS, Math.max(1, report?.load.slowness ?? 1))
  const latest = isFull ? Math.min(silenceMs, (target ?? Infinity) * FULL_TARGET_SHARE) : silenceMs
  const expected = tailLatency * slowness * (isFull ? FULL_TAIL_FACTOR : TAIL_FACTOR)
  return Math.min(Math.max(MIN_UNANSWERED_MS, expected), latest)
}

/** Whether the server may have had no room to queue a request. */
export function hasFullQueue(report: LoadReport | undefined): boolean {
  if (report === undefined || report.ageMs > REPORT_VALID_MS) return false
  const { inflight, queue, slots } = report.load
  return inflight + queue >= slots + FULL_QUEUE
}
