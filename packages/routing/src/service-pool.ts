/**
 * The servers and queues of one service within one entry. While no server is estimated to have a free slot, calls wait
 * here rather than at a server (late binding). Urgent calls go first.
 */
import type { CodeName, RandomSource } from '@bilberrystall/base'
import type { Call, Effect, Load } from './call'
import { CallQueue, type QueuedCall } from './call-queue'
import type { LoadQueryHost } from './load-query'
import type { RetryBudget, RetryLimits } from './retry-budget'
import { isEligible, isRetry, isStaying, mayServe } from './eligibility'
import { chooseServer, type Choice, type ServiceStats } from './selection'
import type { ColdSharing, WarmUp } from './cold-limits'
import type { LimitSharing } from './rate-limit'
import { ServiceColdLimits } from './service-cold-limits'
import type { ServerRecord } from './server-record'
import { ServiceRateLimits } from './service-rate-limits'
import { chooseSubset, type SubsetOptions } from './server-subset'
import type { Tuning } from './tuning'

/** A call in flight at a server. */
export interface InFlightCall {
  readonly call: Call
  readonly pool: ServicePool
  readonly record: ServerRecord
  /** Time in ms of the dispatch; once the first byte of the request is written, the time of that. */
  sentAt: number
  readonly isTrial: boolean
  /** Whether a retry token is reserved, so that the server may shed the call. */
  readonly hasReservedRetry: boolean
}

export interface ServicePoolOptions {
  readonly random: RandomSource
  readonly tuning: Tuning
  readonly retries: RetryBudget
  /** Largest number of waiting calls. */
  readonly queue: number
  /** Largest number of calls in flight. */
  readonly concurrency: number
  readonly dispatch: (inFlightCall: InFlightCall, effects: Effect[]) => void
  /** Whether calls are sent with a limit on the queue of the server, beyond which the server sheds them. */
  readonly limitsServerQueue: boolean
  /** How this entry shares the rate limits of servers with other entries. */
  readonly limitSharing: LimitSharing
  /** How this entry shares the bound for cold servers with other entries. */
  readonly coldSharing: ColdSharing
  /** Limit for cold servers; undefined: none. */
  readonly warmUp: WarmUp | undefined
  /** Whether calls query the load of servers before they are sent. */
  readonly queriesLoad: boolean
  /** Identifies this entry for the subset of servers that it queries. */
  readonly subset: SubsetOptions
  /** Queries the load of servers before the call is sent; false if none may be queried. */
  readonly queryLoad: (call: Call, host: LoadQueryHost, now: number, effects: Effect[]) => boolean
  readonly queued: (call: Call, queuedCall: QueuedCall) => void
  /** Called when a call ends without having been sent. */
  readonly shed: (call: Call, refusal: Refusal, effects: Effect[]) => void
}

export interface Refusal {
  readonly code: CodeName
  /** Time in ms after which the call can be accepted, if it is known. */
  readonly retryAfterMs?: number
}

/** Number of estimated free slots that deferrable calls leave to urgent ones. */
const DEFERRABLE_RESERVE = 1
/**
 * Time in ms for which a past call counts: after an urgent one the reserve applies, after a deferrable one urgent calls
 * are not used for trials.
 */
const RECENT_CALL_MS = 1000
/** Interval in ms at which the statistics of the service are recomputed. */
export const REFRESH_INTERVAL_MS = 50
/** Latency assumed for a service before latencies were measured. */
const INITIAL_LATENCY_MS = 20
/** Time reserved for running a queued call, in 95th percentiles of the latency: calls that time out waste slot time. */
const P95_MARGIN = 1.5
/** Largest share of a call's time that is reserved for running it. */
const MAX_RUN_SHARE = 0.5
const LATENCY_SMOOTHING = 0.2
const FAILURE_RATE_SMOOTHING = 0.02
/** Share of the trust in all reports of a service that one contradiction removes, and gain per confirmation. */
const TRUST_LOSS = 0.2
const TRUST_GAIN = 0.005
const DRAIN_INTERVAL_SMOOTHING = 0.05
/**
 * Time in ms after the loss of a server for which calls wait for a service without servers. If an entry fails, the
 * records of the servers that announced themselves to it expire shortly before the servers reach another entry.
 */
const SERVER_RETURN_GRACE_MS = 1500
/** Factor by which the predicted wait of a call must exceed its time to the deadline for it to be shed on arrival. */
const PREDICTION_TOLERANCE = 1.2
const OVERLOADED: Refusal = { code: 'overloaded' }
/** Longest `Retry-After` in ms of a call beyond the limits of cold servers: another entry may have a part of them. */
const MAX_COLD_RETRY_MS = 1000

export class ServicePool {
  readonly #records: ServerRecord[] = []
  readonly budget: RetryBudget
  /** Calls of this entry at servers of the service. */
  inFlight = 0
  failureRate = 0
  /** Whether a server may be on trial. Avoids a search on every call. */
  hasTrial = false
  readonly stats: ServiceStats
  readonly rateLimits: ServiceRateLimits
  readonly coldLimits: ServiceColdLimits
  readonly #urgent = new CallQueue()
  readonly #deferrable = new CallQueue()
  readonly #options: ServicePoolOptions
  readonly #loadQueryHost: LoadQueryHost = {
    records: () => this.candidates,
    subset: () => this.#currentSubset(),
    hasLimits: () => this.rateLimits.hasLimits || this.coldLimits.hasCold,
    maxRamp: () => this.stats.maxRamp,
    send: (call, record, now, effects) => {
      this.#dispatch(call, record, record.health.kind === 'trial', now, effects)
    },
    shed: (call, effects) => {
      this.#options.shed(call, OVERLOADED, effects)
    },
    submitByEstimate: (call, now, effects) => {
      this.#submitByEstimate(call, now, effects)
    },
  }
  #queueLimit: number
  #concurrency: number
  #lastUrgentAt = Number.NEGATIVE_INFINITY
  #lastDeferrableAt = Number.NEGATIVE_INFINITY
  #lastDrainAt = Number.NaN
  #drainInterval = 0
  #nextArrivalOrder = 0
  #refreshedAt = Number.NEGATIVE_INFINITY
  #serverLostAt = Number.NEGATIVE_INFINITY
  /** Undefined if servers changed since it was computed. */
  #candidates: readonly ServerRecord[] | undefined
  /** Undefined if servers changed since it was chosen. */
  #subset: readonly ServerRecord[] | undefined

  constructor(options: ServicePoolOptions) {
    this.#options = options
    this.#queueLimit = options.queue
    this.#concurrency = options.concurrency
    this.budget = options.retries
    this.coldLimits = new ServiceColdLimits(this.#records, options.coldSharing, options.warmUp)
    this.rateLimits = new ServiceRateLimits({
      records: this.#records,
      sharing: options.limitSharing,
      learnsByQueries: options.queriesLoad,
      hasCold: () => this.coldLimits.hasCold,
    })
    this.stats = {
      random: options.random,
      typicalLatency: INITIAL_LATENCY_MS,
      p95Latency: 4 * INITIAL_LATENCY_MS,
      reportHalfLife: options.tuning.reportHalfLife,
      typicalOtherLoad: 0,
      trust: options.tuning.reportWeight,
      slowEvidenceWeight: options.tuning.slowEvidenceWeight,
      maxRamp: 1,
    }
  }

  get records(): readonly ServerRecord[] {
    return this.#records
  }

  /**
   * Servers that are not evacuated. Selection compares a sample of the servers, which would often contain none that may
   * be used if the evacuated ones were among them.
   */
  get candidates(): readonly ServerRecord[] {
    this.#candidates ??= this.#records.filter(({ isEvacuated }) => !isEvacuated)
    return this.#candidates
  }

  get waiting(): number {
    return this.#urgent.size + this.#deferrable.size
  }

  configure(retries: RetryLimits, queue: number, concurrency: number, warmUp: WarmUp | undefined, now: number): void {
    this.budget.configure(retries, now)
    this.coldLimits.configure(warmUp, now)
    this.#queueLimit = queue
    this.#concurrency = concurrency
  }

  add(record: ServerRecord, now: number): void {
    this.#records.push(record)
    this.serverUpdated()
    this.rateLimits.serversChanged()
    this.coldLimits.update(record, now)
    this.refresh(now)
  }

  remove(record: ServerRecord): void {
    record.isRemoved = true
    this.#records.splice(this.#records.indexOf(record), 1)
    this.serverUpdated()
    this.rateLimits.serversChanged()
  }

  /** Called when the state or the failure domain of a server, or an evacuation, may have changed. */
  serverUpdated(): void {
    this.#candidates = undefined
    this.#subset = undefined
  }

  submit(call: Call, now: number, effects: Effect[]): void {
    if (now - this.#refreshedAt > REFRESH_INTERVAL_MS) this.refresh(now)
    if (!isRetry(call)) this.budget.credit(now)
    if (call.urgency === 'urgent') this.#lastUrgentAt = now
    else this.#lastDeferrableAt = now
    const refusal = this.#refusal(call, now)
    if (refusal !== undefined) {
      this.#options.shed(call, refusal, effects)
      return
    }
    const mayQuery = this.waiting === 0 && this.inFlight < this.#concurrency
    if (mayQuery && this.#options.queryLoad(call, this.#loadQueryHost, now, effects)) return
    // A load query tells whether a server has recovered, so a trial call without one is only a substitute.
    const trial = this.inFlight < this.#concurrency ? this.#trialFor(call, now) : undefined
    if (trial !== undefined) {
      this.#dispatch(call, trial, true, now, effects)
      return
    }
    if (call.onlyIfFree === true) this.#options.shed(call, OVERLOADED, effects)
    else this.#submitByEstimate(call, now, effects)
  }

  #submitByEstimate(call: Call, now: number, effects: Effect[]): void {
    const refusal = this.#limitRefusal(call, this.#callsAhead(call), now, now)
    if (refusal !== undefined) {
      this.#options.shed(call, refusal, effects)
      return
    }
    const queue = this.#queueOf(call)
    const isFirst = queue.size === 0 && (call.urgency === 'urgent' || this.#urgent.size === 0)
    if (isFirst && this.#tryDispatch(call, now, now, effects)) return
    const queuedCall: QueuedCall = { call, queuedAt: now, arrivalOrder: this.#nextArrivalOrder++, heapIndex: -1 }
    queue.add(queuedCall)
    this.#options.queued(call, queuedCall)
  }

  removeQueued(queuedCall: QueuedCall): void {
    this.#queueOf(queuedCall.call).remove(queuedCall)
  }

  /** Called when a server of the service has left. */
  recordServerLoss(now: number): void {
    this.#serverLostAt = now
  }

  /** Sends the waiting calls that may be sent and sheds those that can no longer end in time. */
  drain(now: number, effects: Effect[]): void {
    if (!this.#mayHaveServer(now)) this.#shedAll(effects)
    this.#drainQueue(this.#urgent, now, effects)
    if (this.#urgent.size === 0) this.#drainQueue(this.#deferrable, now, effects)
    else this.#shedLate(this.#deferrable, now, effects)
    if (this.waiting === 0) this.#lastDrainAt = Number.NaN
  }

  /** Adds a load report that came with a response; `isRefusal` tells that the server shed the call. */
  addReport(record: ServerRecord, load: Load, recentlySent: number, isRefusal: boolean, now: number): void {
    const trust = record.trust
    const isContradicted = record.addReport(load, recentlySent, isRefusal, now)
    // A contradiction by a server whose reports are not trusted says little about the other servers.
    if (isContradicted) this.stats.trust *= 1 - TRUST_LOSS * trust
    else if (isRefusal) this.stats.trust += (this.#options.tuning.reportWeight - this.stats.trust) * TRUST_GAIN
  }

  addResult(isFailure: boolean): void {
    this.failureRate += ((isFailure ? 1 : 0) - this.failureRate) * FAILURE_RATE_SMOOTHING
  }

  /** Recomputes the statistics of the service. Latencies are medians over the servers, which tolerate outliers. */
  refresh(now: number): void {
    this.#refreshedAt = now
    this.rateLimits.refresh(now)
    this.hasTrial = this.#records.some((record) => record.health.kind === 'trial')
    const latencies: number[] = []
    const p95Latencies: number[] = []
    let others = 0
    let trust = 0
    let ramp = 0
    for (const record of this.candidates) {
      if (record.recentLatency !== undefined) latencies.push(record.recentLatency)
      if (record.p95Latency !== undefined) p95Latencies.push(record.p95Latency)
      others += record.averageOtherLoad * record.trust
      trust += record.trust
      ramp = Math.max(ramp, record.ramp(now))
    }
    this.stats.typicalOtherLoad = trust > 0 ? others / trust : 0
    this.stats.maxRamp = ramp > 0 ? ramp : 1
    this.stats.typicalLatency +=
      (median(latencies, this.stats.typicalLatency) - this.stats.typicalLatency) * LATENCY_SMOOTHING
    this.stats.p95Latency += (median(p95Latencies, this.stats.p95Latency) - this.stats.p95Latency) * LATENCY_SMOOTHING
  }

  #currentSubset(): readonly ServerRecord[] {
    this.#subset ??= chooseSubset(this.candidates, this.#options.subset)
    return this.#subset
  }

  #queueOf(call: Call): CallQueue {
    return call.urgency === 'urgent' ? this.#urgent : this.#deferrable
  }

  #refusal(call: Call, now: number): Refusal | undefined {
    if (now >= call.deadline) return { code: 'deadlineNotRun' }
    if (!this.#hasCandidate(call) && (isRetry(call) || !this.#mayHaveServer(now))) return { code: 'noServer' }
    if (this.waiting >= this.#queueLimit) return OVERLOADED
    const retryAfterMs = this.#pauseLeft(now)
    if (retryAfterMs > 0) return { code: 'overloaded', retryAfterMs }
    const wait = this.#callsAhead(call) * this.#drainInterval
    if (wait > (call.deadline - now) * PREDICTION_TOLERANCE) return OVERLOADED
    // A limit that was named some time ago may have ended, which a load query of this call can tell.
    const mayHaveEnded = this.#options.queriesLoad && this.rateLimits.hasStale(now)
    return mayHaveEnded ? undefined : this.#limitRefusal(call, this.#callsAhead(call), now, now)
  }

  /** Returns the time in ms until the first server ends its pause, 0 if any server accepts requests or none is there. */
  #pauseLeft(now: number): number {
    let end = Number.POSITIVE_INFINITY
    for (const record of this.#records) if (isStaying(record)) end = Math.min(end, record.requestedPauseUntil)
    return Number.isFinite(end) ? Math.max(0, end - now) : 0
  }

  #callsAhead(call: Call): number {
    return call.urgency === 'urgent' ? this.#urgent.size : this.waiting
  }

  /**
   * Refuses a call that would wait for the limits of servers until its response is late, so that its caller can try
   * another entry.
   */
  #limitRefusal(call: Call, callsAhead: number, arrivedAt: number, now: number): Refusal | undefined {
    const dueAt = call.target === undefined ? call.deadline : arrivedAt + call.target
    const wait = this.rateLimits.wait(callsAhead, now)
    if (wait <= Math.max(0, dueAt - now - this.stats.typicalLatency)) return undefined
    return this.coldLimits.hasCold ? { ...OVERLOADED, retryAfterMs: Math.min(wait, MAX_COLD_RETRY_MS) } : OVERLOADED
  }

  /** Whether a server is ready, or may be ready again soon. */
  #mayHaveServer(now: number): boolean {
    return now - this.#serverLostAt < SERVER_RETURN_GRACE_MS || this.#records.some((record) => isStaying(record))
  }

  #hasCandidate(call: Call): boolean {
    return this.#records.some((record) => mayServe(record, call))
  }

  /** Returns a server on trial that may get this call. Deferrable calls are preferred for that. */
  #trialFor(call: Call, now: number): ServerRecord | undefined {
    if (!this.hasTrial) return undefined
    if (call.urgency === 'urgent' && now - this.#lastDeferrableAt < RECENT_CALL_MS) return undefined
    return this.#records.find((record) => isEligible(record, 'trial', now) && mayServe(record, call))
  }

  /** Sends the call if the cost of a server is within the limit, which rises with the time waited. */
  #tryDispatch(call: Call, queuedAt: number, now: number, effects: Effect[]): boolean {
    if (this.inFlight >= this.#concurrency) return false
    const choice = chooseServer(this.candidates, call.triedServers, this.stats, now)
    if (choice.record === undefined || choice.cost > this.#limit(call, choice, now - queuedAt, now)) return false
    this.#dispatch(call, choice.record, false, now, effects)
    return true
  }

  #limit(call: Call, choice: Choice, waited: number, now: number): number {
    const { initialCostLimit, costLimitPerMs, maxCostLimit, maxWaitWithoutReports, deferrableYieldShare } =
      this.#options.tuning
    const isYielding = waited < (call.deadline - now + waited) * deferrableYieldShare
    const isReserved = call.urgency === 'deferrable' && isYielding && now - this.#lastUrgentAt < RECENT_CALL_MS
    if (isReserved && choice.freeSlots < DEFERRABLE_RESERVE + 1) return 0
    // Without a call in flight, no response will report a free slot.
    if (this.inFlight === 0 && waited >= maxWaitWithoutReports) return Number.POSITIVE_INFINITY
    return Math.min(maxCostLimit, initialCostLimit + waited * costLimitPerMs)
  }

  #dispatch(call: Call, record: ServerRecord, isTrial: boolean, now: number, effects: Effect[]): void {
    const hasReservedRetry = this.#reserveRetry(call, record, now)
    record.addInFlight(now)
    this.inFlight += 1
    this.#options.dispatch({ call, pool: this, record, sentAt: now, isTrial, hasReservedRetry }, effects)
  }

  /** Reserves a retry token, so that a call that the server sheds can always be sent to another one. */
  #reserveRetry(call: Call, record: ServerRecord, now: number): boolean {
    if (!this.#options.limitsServerQueue || call.resendable === false || isRetry(call)) return false
    // Without another usable server, a call that was shed could not be sent again.
    if (!this.#records.some((other) => other !== record && isEligible(other, 'call', now))) return false
    return this.budget.available(now) >= this.#options.tuning.minRetryTokens && this.budget.reserve(now)
  }

  #drainQueue(queue: CallQueue, now: number, effects: Effect[]): void {
    this.#shedLate(queue, now, effects)
    for (let first = queue.first(); first !== undefined; first = queue.first()) {
      if (!this.#tryDispatch(first.call, first.queuedAt, now, effects)) return
      queue.remove(first)
      this.#recordDrain(now)
    }
  }

  #recordDrain(now: number): void {
    if (!Number.isNaN(this.#lastDrainAt)) {
      this.#drainInterval += (now - this.#lastDrainAt - this.#drainInterval) * DRAIN_INTERVAL_SMOOTHING
    }
    this.#lastDrainAt = now
  }

  #shedAll(effects: Effect[]): void {
    for (const queue of [this.#urgent, this.#deferrable]) {
      for (let first = queue.first(); first !== undefined; first = queue.first()) {
        queue.remove(first)
        this.#options.shed(first.call, { code: 'noServer' }, effects)
      }
    }
  }

  #shedLate(queue: CallQueue, now: number, effects: Effect[]): void {
    for (let first = queue.first(); first !== undefined; first = queue.first()) {
      const runTime = Math.min(
        P95_MARGIN * this.stats.p95Latency,
        MAX_RUN_SHARE * (first.call.deadline - first.queuedAt),
      )
      const isInTime = now + runTime <= first.call.deadline
      // Servers may have turned cold while the call waited.
      const refusal = this.coldLimits.hasCold ? this.#limitRefusal(first.call, 0, first.queuedAt, now) : undefined
      if (isInTime && refusal === undefined) return
      queue.remove(first)
      const code = this.#hasCandidate(first.call) ? 'overloaded' : 'noServer'
      this.#options.shed(first.call, refusal ?? { code }, effects)
    }
  }
}

function median(values: number[], fallback: number): number {
  values.sort((left, right) => left - right)
  return values[(values.length - 1) >> 1] ?? fallback
}
