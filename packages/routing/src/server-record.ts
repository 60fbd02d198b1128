/**
 * State that one entry keeps per server: its own calls in flight, the load of other entries as last reported, the
 * latency of its own calls, and failures. Updates take constant time, except those of the list of calls in flight.
 */
import type { Load, Server } from './call'
import { ServerWarmth, UNHEARD_AFTER_MS } from './cold-limits'
import type { RateLimit } from './rate-limit'

/** Factor by which the weight of older latencies decays at each completed call. */
const LATENCY_DECAY = 0.8
/**
 * Evidence of slowness as a cumulative sum of log-likelihood ratios. A latency above the service's 95th percentile adds
 * ln(0.6 / 0.05), any other subtracts ln(0.95 / 0.4). This works for any distribution of service times; the mean of a
 * few heavy-tailed latencies ejected healthy servers.
 */
export const SLOW_CALL_EVIDENCE = 2.5
const NORMAL_CALL_EVIDENCE = 0.86
const MAX_SLOW_EVIDENCE = 25
const TAIL_QUANTILE = 0.95
const TAIL_QUANTILE_STEP = 0.1
/** Smoothing factor of the average load from other entries. A larger factor makes load oscillate when reports lag. */
const OTHER_LOAD_SMOOTHING = 0.01
/** Share of the trust in a server's reports that one contradiction removes. */
const TRUST_LOSS = 0.3
/** Gain per report without a contradiction. Much smaller than the loss, because a stale report is rarely detected. */
const TRUST_RECOVERY = 0.002
/** Gain per report that explains why the server shed a call. */
const TRUST_GAIN = 0.02
const FAILURE_RATE_SMOOTHING = 0.3
/** Share of the slots of a new server that is used at first. */
const INITIAL_RAMP = 0.2
/** Slowness assumed for a server that refuses load queries. */
const REFUSED_SLOWNESS = 5
/** Longest pause in ms that a server can ask for, so that a wrong value does not keep it out of use for good. */
const MAX_REQUESTED_PAUSE_MS = 300_000
/** Share of a requested pause, and its limit in ms, by which entries return at different times. */
const RETURN_SPREAD_SHARE = 0.25
const MAX_RETURN_SPREAD_MS = 1000
/** Length of the ramp in ms after a start of the server, and after the end of an ejection. */
const START_RAMP_MS = 5000
const RESTORE_RAMP_MS = 2000

export type HealthState =
  | { readonly kind: 'healthy' }
  | { readonly kind: 'ejected'; readonly until: number; readonly backoff: number }
  /** The server receives one call at a time until enough of them have succeeded. */
  | { readonly kind: 'trial'; readonly successes: number; readonly backoff: number }

const HEALTHY: HealthState = { kind: 'healthy' }

export class ServerRecord {
  server: Server
  health: HealthState = HEALTHY
  /** Calls of this entry in flight at the server. */
  ownInFlight = 0
  isProbing = false
  /** Whether the server has left or was removed. */
  isRemoved = false
  /** Time at which the ramp after a start or a restoration began. */
  rampStartedAt: number
  consecutiveFailures = 0
  failureRate = 0
  /** Whether the failure domain of the server is evacuated. */
  isEvacuated = false
  /** Whether a response of the server said that it leaves. */
  isLeaving = false
  /** End of the pause that the server asked for. */
  requestedPauseUntil = Number.NEGATIVE_INFINITY
  /** After a failure, no call is sent before this time. */
  pausedUntil = Number.NEGATIVE_INFINITY
  /** Time of the newest load report from any source. */
  reportedAt = Number.NEGATIVE_INFINITY
  /** Newest load report that came with a response to this entry. */
  lastLoad: Load | undefined
  lastLoadAt = Number.NEGATIVE_INFINITY
  /** 95th percentile of the latencies of own calls in ms. */
  p95Latency: number | undefined
  suspectedByPeerAt = Number.NEGATIVE_INFINITY
  /** Limit that the server named in its last response; undefined if it named none. */
  rateLimit: RateLimit | undefined
  /** What is known of the warm-up of the process; it outlives the record. */
  warmth: ServerWarmth
  /** Time at which this entry last sent a call to the server. */
  lastCallAt = Number.NEGATIVE_INFINITY
  /** Last reported ratio of the time that work takes at the server to the usual time. */
  slowness = 1
  slownessReportedAt = Number.NEGATIVE_INFINITY
  /** Time of the last answer to a load query of this entry; a connection stays open for some seconds after it. */
  lastAnswerAt = Number.NEGATIVE_INFINITY
  #queryTokens = Number.NaN
  #queryTokensRefilledAt = 0
  readonly #sentAt: number[] = []
  #evidence = 0
  #rampLength = START_RAMP_MS
  #latencyCount = 0
  #latencySum = 0
  #otherLoad = 0
  #averageOtherLoad = 0
  #hasReport = false
  #trust = 1

  constructor(server: Server, warmth = new ServerWarmth()) {
    this.server = server
    this.warmth = warmth
    this.rampStartedAt = server.firstSeen
  }

  get trust(): number {
    return this.#trust
  }

  get averageOtherLoad(): number {
    return this.#averageOtherLoad
  }

  /** Mean latency of recent calls in ms; `undefined` before the first. */
  get recentLatency(): number | undefined {
    return this.#latencyCount > 0 ? this.#latencySum / this.#latencyCount : undefined
  }

  /** Whether the server names a rate limit or is cold. */
  isLimited(now: number): boolean {
    return this.rateLimit !== undefined || this.warmth.isCold(now)
  }

  /** Time in ms between two calls of this entry within the limits of the server, infinite if it may not send any. */
  callInterval(now: number): number {
    return Math.max(this.rateLimit?.interval ?? 0, this.warmth.interval(now))
  }

  /** Time at which the limits of the server allow the next call. */
  nextCallAt(now: number): number {
    return Math.max(this.rateLimit?.nextCallAt ?? Number.NEGATIVE_INFINITY, this.warmth.nextCallAt(now))
  }

  /** Whether the rate limit of the server and its warm-up allow a call now. */
  isWithinLimits(now: number): boolean {
    return now >= this.nextCallAt(now)
  }

  /** Whether a limit was stated so long ago that it may have ended. */
  isLimitStale(now: number): boolean {
    return this.rateLimit?.isStale(now) === true || this.warmth.isStale(now)
  }

  /**
   * Whether the server may be cold without this entry knowing, and has just got a call. Load queries tell that a server
   * is cold; without an answer for a while, this entry sends at intervals, as the bound for cold servers allows it.
   */
  isUnheard(now: number): boolean {
    const isSilent = Number.isFinite(this.lastAnswerAt) && now - this.lastAnswerAt > UNHEARD_AFTER_MS
    return isSilent && this.warmth.hasJustCalled(now)
  }

  addInFlight(now: number): void {
    this.rateLimit?.called(now)
    this.warmth.called(now)
    this.lastCallAt = now
    this.ownInFlight += 1
    this.#sentAt.push(now)
  }

  removeInFlight(sentAt: number): void {
    this.ownInFlight -= 1
    this.#sentAt.splice(this.#sentAt.indexOf(sentAt), 1)
  }

  updateSentAt(sentAt: number, now: number): void {
    if (sentAt === now) return
    this.#sentAt.splice(this.#sentAt.indexOf(sentAt), 1)
    this.#sentAt.push(now)
  }

  /** Own calls in flight that were sent after `time`. */
  sentSince(time: number): number {
    let count = 0
    for (let index = this.#sentAt.length - 1; index >= 0 && (this.#sentAt[index] ?? 0) > time; index -= 1) count += 1
    return count
  }

  /** Adds the latency in ms of a completed or timed-out call; `serviceP95` is the 95th percentile of the service. */
  addLatency(latency: number, serviceP95: number, isComplete: boolean, now: number): void {
    const step = latency > serviceP95 / this.ramp(now) ? SLOW_CALL_EVIDENCE : -NORMAL_CALL_EVIDENCE
    this.#evidence = Math.min(MAX_SLOW_EVIDENCE, Math.max(0, this.#evidence + step))
    if (!isComplete) return
    this.p95Latency = nextQuantile(this.p95Latency ?? serviceP95, latency)
    this.#latencyCount = this.#latencyCount * LATENCY_DECAY + 1
    this.#latencySum = this.#latencySum * LATENCY_DECAY + latency
  }

  resetLatency(): void {
    this.p95Latency = undefined
    this.#latencyCount = 0
    this.#latencySum = 0
    this.#evidence = 0
  }

  /**
   * Evidence that the server is slow. Calls in flight that are older than the 95th percentile count at once, so that a
   * slow server is detected before any response.
   */
  slowEvidence(serviceP95: number, now: number): number {
    const expected = serviceP95 / this.ramp(now)
    let evidence = this.#evidence
    for (const sentAt of this.#sentAt) {
      if (now - sentAt <= expected) break
      evidence += SLOW_CALL_EVIDENCE
    }
    return evidence
  }

  /**
   * Adds a load report that arrived with a response; `isRefusal` tells that the server shed the call. The report cannot
   * include the last `recentlySent` own calls yet. Returns whether it contradicts what this entry knows.
   */
  addReport(load: Load, recentlySent: number, isRefusal: boolean, now: number): boolean {
    const reportedOwn = this.ownInFlight - recentlySent
    const total = load.inflight + load.queue
    const isContradicted = total < reportedOwn || (isRefusal && total < load.slots)
    if (isContradicted) this.#trust *= 1 - TRUST_LOSS
    else this.#trust += (1 - this.#trust) * (isRefusal ? TRUST_GAIN : TRUST_RECOVERY)
    this.#otherLoad = Math.max(0, total - reportedOwn)
    this.#averageOtherLoad = this.#hasReport
      ? this.#averageOtherLoad + (this.#otherLoad - this.#averageOtherLoad) * OTHER_LOAD_SMOOTHING
      : this.#otherLoad
    this.#hasReport = true
    this.reportedAt = now
    this.lastLoadAt = now
    this.lastLoad = load
    return isContradicted
  }

  /** Adds a load report from a peer or an announcement. It is ignored if a newer report is known. */
  addRemoteReport(load: Load, seenAt: number): void {
    if (seenAt <= this.reportedAt) return
    this.#otherLoad = Math.max(0, load.inflight + load.queue - this.ownInFlight)
    this.reportedAt = seenAt
  }

  /** Estimates the calls of other entries at the server. A report loses weight with age and with contradictions. */
  estimateOtherLoad(now: number, stats: { reportHalfLife: number; typicalOtherLoad: number; trust: number }): number {
    const { reportHalfLife: halfLife, typicalOtherLoad } = stats
    const trust = this.#trust * stats.trust
    const average = typicalOtherLoad + (this.#averageOtherLoad - typicalOtherLoad) * trust
    const weight = trust * (halfLife / (halfLife + Math.max(0, now - this.reportedAt)))
    return average + (this.#otherLoad - average) * weight
  }

  recordSlowness({ slowness = 1 }: Load, now: number): void {
    this.lastAnswerAt = now
    this.slowness = slowness
    this.slownessReportedAt = now
  }

  /** Records that the server refused a load query. It counts as slow until it reports otherwise. */
  recordQueryRefusal(now: number): void {
    this.slowness = REFUSED_SLOWNESS
    this.slownessReportedAt = now
  }

  /** Refills the token bucket of load queries (`rate` in queries per ms) and returns whether one more may be sent. */
  mayQuery(rate: number, burst: number, now: number): boolean {
    const tokens = Number.isNaN(this.#queryTokens)
      ? burst
      : this.#queryTokens + (now - this.#queryTokensRefilledAt) * rate
    this.#queryTokens = Math.min(burst, tokens)
    this.#queryTokensRefilledAt = now
    return this.#queryTokens >= 1
  }

  takeQueryToken(): void {
    this.#queryTokens -= 1
  }

  addResult(isFailure: boolean): void {
    this.consecutiveFailures = isFailure ? this.consecutiveFailures + 1 : 0
    this.failureRate += ((isFailure ? 1 : 0) - this.failureRate) * FAILURE_RATE_SMOOTHING
  }

  restore(now: number): void {
    this.health = HEALTHY
    this.consecutiveFailures = 0
    this.failureRate = 0
    this.pausedUntil = Number.NEGATIVE_INFINITY
    this.rampStartedAt = now
    this.#rampLength = RESTORE_RAMP_MS
    this.resetLatency()
  }

  /**
   * Starts a pause that the server asked for. Entries end it at different times, `spread` in [0, 1], and return with a
   * ramp, so that the server does not get the calls of all of them at once.
   */
  pause(pauseMs: number, spread: number, now: number): void {
    const length = Math.min(pauseMs, MAX_REQUESTED_PAUSE_MS)
    const delay = Math.min(MAX_RETURN_SPREAD_MS, length * RETURN_SPREAD_SHARE) * spread
    this.requestedPauseUntil = now + length + delay
    this.rampStartedAt = this.requestedPauseUntil
    this.#rampLength = RESTORE_RAMP_MS
  }

  /** Handles a restart of the server process: its known latency, failures and statements no longer apply. */
  restart(firstSeen: number): void {
    this.restore(firstSeen)
    this.rateLimit = undefined
    this.requestedPauseUntil = Number.NEGATIVE_INFINITY
    this.#rampLength = START_RAMP_MS
  }

  /** Share of the slots to use, rising from a fifth to all during the ramp. */
  ramp(now: number): number {
    return Math.min(1, Math.max(INITIAL_RAMP, (now - this.rampStartedAt) / this.#rampLength))
  }
}

/** Stochastic approximation of the 95th percentile. */
function nextQuantile(estimate: number, value: number): number {
  const step = value > estimate ? TAIL_QUANTILE : TAIL_QUANTILE - 1
  return estimate * (1 + step * TAIL_QUANTILE_STEP)
}
