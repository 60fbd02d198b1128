/**
 * What one entry knows about one server: its own calls in flight, the load of others as last reported, the speed seen
 * by its own calls, and failures. All updates take constant time.
 */
import type { Load, Server } from './call'

/** Weight kept by older latencies at each completion. */
const SPEED_MEMORY = 0.8
/**
 * Evidence of slowness as a cumulative sum of log-likelihood ratios. A latency above the service's 95th percentile adds
 * ln(0.6 / 0.05), any other takes away ln(0.95 / 0.4). This holds for any distribution of service times; a mean of a few
 * heavy-tailed latencies ejected healthy servers.
 */
export const SLOW_EVIDENCE = 2.5
const USUAL_EVIDENCE = 0.86
const MAX_EVIDENCE = 25
const HIGH_QUANTILE = 0.95
const HIGH_STEP = 0.1
/** Share of the newest report in the average load of others: a short average oscillates when reports lag. */
const OTHERS_STEP = 0.01
const TRUST_LOSS = 0.3
/** Gain by a report that contradicts nothing; far smaller, because a stale report is rarely caught. */
const TRUST_DRIFT = 0.002
/** Gain by a report that explains why the server shed a call. */
const TRUST_GAIN = 0.02
const ERROR_STEP = 0.3
/** Share of its slots that a server which was just first seen is used with. */
const RAMP_START = 0.2
/** Slowness of a server that refuses questions. */
const REFUSED_SLOWNESS = 5
/** Ramp in ms of a server that started, and of one that comes back after an ejection. */
const START_RAMP = 5000
const RESTORE_RAMP = 2000

export type Standing =
  | { readonly kind: 'healthy' }
  | { readonly kind: 'ejected'; readonly until: number; readonly backoff: number }
  /** One call at a time until enough of them succeeded. */
  | { readonly kind: 'trial'; readonly successes: number; readonly backoff: number }

const HEALTHY: Standing = { kind: 'healthy' }

export class ServerRecord {
  server: Server
  standing: Standing = HEALTHY
  /** Calls of this entry at the server. */
  own = 0
  isProbing = false
  /** Start of the ramp after a start or a restoration. */
  rampFrom: number
  consecutiveFailures = 0
  failureRate = 0
  /** No call is sent before this time, after a failure. */
  pausedUntil = Number.NEGATIVE_INFINITY
  /** Time of the newest report from any source. */
  reportedAt = Number.NEGATIVE_INFINITY
  /** Newest report that came with a response to this entry. */
  lastLoad: Load | undefined
  loadSeenAt = Number.NEGATIVE_INFINITY
  /** 95th percentile of the latencies of own calls in ms. */
  ownHigh: number | undefined
  suspectedByPeerAt = Number.NEGATIVE_INFINITY
  /** Time that work takes at the server relative to the usual time, as last reported, and when that was. */
  slowness = 1
  speedSeenAt = Number.NEGATIVE_INFINITY
  /** Time of the last answer of the server to this entry: a connection to it is open for some seconds after. */
  answeredAt = Number.NEGATIVE_INFINITY
  #questions = Number.NaN
  #questionsAt = 0
  readonly #sentAt: number[] = []
  #evidence = 0
  #rampLength = START_RAMP
  #completed = 0
  #busy = 0
  #others = 0
  #averageOthers = 0
  #hasReport = false
  #trust = 1

  constructor(server: Server) {
    this.server = server
    this.rampFrom = server.firstSeen
  }

  get trust(): number {
    return this.#trust
  }

  get averageOthers(): number {
    return this.#averageOthers
  }

  /** Mean latency of recent calls in ms; `undefined` before the first. */
  get recentLatency(): number | undefined {
    return this.#completed > 0 ? this.#busy / this.#completed : undefined
  }

  sent(now: number): void {
    this.own += 1
    this.#sentAt.push(now)
  }

  returned(sentAt: number): void {
    this.own -= 1
    this.#sentAt.splice(this.#sentAt.indexOf(sentAt), 1)
  }

  restamp(sentAt: number, now: number): void {
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

  /** Latency in ms of a completed call, or of one that was given up; `high` is the service's 95th percentile. */
  addLatency(latency: number, high: number, isComplete: boolean, now: number): void {
    const step = latency > high / this.ramp(now) ? SLOW_EVIDENCE : -USUAL_EVIDENCE
    this.#evidence = Math.min(MAX_EVIDENCE, Math.max(0, this.#evidence + step))
    if (!isComplete) return
    this.ownHigh = nextQuantile(this.ownHigh ?? high, latency)
    this.#completed = this.#completed * SPEED_MEMORY + 1
    this.#busy = this.#busy * SPEED_MEMORY + latency
  }

  forgetSpeed(): void {
    this.ownHigh = undefined
    this.#completed = 0
    this.#busy = 0
    this.#evidence = 0
  }

  /**
   * Evidence that the server is slow. Calls in flight that are older than the 95th percentile count at once, so that a
   * slow server shows before any response.
   */
  slowEvidence(high: number, now: number): number {
    const expected = high / this.ramp(now)
    let evidence = this.#evidence
    for (const sentAt of this.#sentAt) {
      if (now - sentAt <= expected) break
      evidence += SLOW_EVIDENCE
    }
    return evidence
  }

  /**
   * A report that arrived with a response, which is a refusal if `hasShed`; `recentlySent` own calls cannot be counted
   * in it yet. Returns whether it contradicts what this entry knows.
   */
  addReport(load: Load, recentlySent: number, hasShed: boolean, now: number): boolean {
    const known = this.own - recentlySent
    const total = load.inflight + load.queue
    const isContradicted = total < known || (hasShed && total < load.slots)
    if (isContradicted) this.#trust *= 1 - TRUST_LOSS
    else this.#trust += (1 - this.#trust) * (hasShed ? TRUST_GAIN : TRUST_DRIFT)
    this.#others = Math.max(0, total - known)
    this.#averageOthers = this.#hasReport
      ? this.#averageOthers + (this.#others - this.#averageOthers) * OTHERS_STEP
      : this.#others
    this.#hasReport = true
    this.reportedAt = now
    this.loadSeenAt = now
    this.lastLoad = load
    return isContradicted
  }

  /** A report from a peer or an announcement, used while nothing newer is known first-hand. */
  addRemoteReport(load: Load, seenAt: number): void {
    if (seenAt <= this.reportedAt) return
    this.#others = Math.max(0, load.inflight + load.queue - this.own)
    this.reportedAt = seenAt
  }

  /** Estimated calls of other entries at the server. A report loses weight with age and with contradictions. */
  others(now: number, place: { reportMemory: number; typicalOthers: number; trust: number }): number {
    const { reportMemory: memory, typicalOthers } = place
    const trust = this.#trust * place.trust
    const average = typicalOthers + (this.#averageOthers - typicalOthers) * trust
    const weight = trust * (memory / (memory + Math.max(0, now - this.reportedAt)))
    return average + (this.#others - average) * weight
  }

  noteSpeed({ slowness = 1 }: Load, now: number): void {
    this.answeredAt = now
    this.slowness = slowness
    this.speedSeenAt = now
  }

  /** The server refused a question: it is as good as slow until it says otherwise. */
  noteRefusal(now: number): void {
    this.slowness = REFUSED_SLOWNESS
    this.speedSeenAt = now
  }

  /** Whether one more question fits the rate, in questions per ms; `most` questions may be saved up. */
  mayAsk(rate: number, most: number, now: number): boolean {
    const saved = Number.isNaN(this.#questions) ? most : this.#questions + (now - this.#questionsAt) * rate
    this.#questions = Math.min(most, saved)
    this.#questionsAt = now
    return this.#questions >= 1
  }

  countQuestion(): void {
    this.#questions -= 1
  }

  addResult(isFailure: boolean): void {
    this.consecutiveFailures = isFailure ? this.consecutiveFailures + 1 : 0
    this.failureRate += ((isFailure ? 1 : 0) - this.failureRate) * ERROR_STEP
  }

  restore(now: number): void {
    this.standing = HEALTHY
    this.consecutiveFailures = 0
    this.failureRate = 0
    this.pausedUntil = Number.NEGATIVE_INFINITY
    this.rampFrom = now
    this.#rampLength = RESTORE_RAMP
    this.forgetSpeed()
  }

  /** The server process started anew: what was known about its speed and failures no longer holds. */
  restart(firstSeen: number): void {
    this.restore(firstSeen)
    this.#rampLength = START_RAMP
  }

  /** Share of its slots to use, rising from a fifth to all. */
  ramp(now: number): number {
    return Math.min(1, Math.max(RAMP_START, (now - this.rampFrom) / this.#rampLength))
  }
}

/** Stochastic approximation of the 95th percentile. */
function nextQuantile(estimate: number, value: number): number {
  const step = value > estimate ? HIGH_QUANTILE : HIGH_QUANTILE - 1
  return estimate * (1 + step * HIGH_STEP)
}
