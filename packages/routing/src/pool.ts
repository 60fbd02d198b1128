/**
 * The servers and queues of one service within one entry. Calls wait here rather than at a server while no server is
 * believed to have a free slot (late binding), urgent ones first.
 */
import type { CodeName, Random } from '@bilberrystall/base'
import type { Call, Effect, Load } from './call'
import { CallQueue, type Waiting } from './call-queue'
import type { InquiryHost } from './inquiry'
import { RetryBudget, type RetryLimits } from './retry-budget'
import { chooseServer, isUsable, type Choice, type Surroundings } from './selection'
import type { ServerRecord } from './server-record'
import type { Tuning } from './tuning'

export interface Flight {
  readonly call: Call
  readonly pool: Pool
  readonly record: ServerRecord
  /** Time in ms of the dispatch, then of the first byte. */
  sentAt: number
  readonly isTrial: boolean
  /** A retry token was taken in advance, so that the server may shed the call. */
  readonly mayBounce: boolean
}

export interface PoolOptions {
  readonly random: Random
  readonly tuning: Tuning
  readonly retries: RetryLimits
  /** Most waiting calls. */
  readonly queue: number
  /** Most calls in flight. */
  readonly concurrency: number
  readonly launch: (flight: Flight, effects: Effect[]) => void
  /** Whether servers know a limit on their queue, beyond which they refuse a call. */
  readonly bounces: boolean
  /** Asks servers before the call is sent; false when none may be asked. */
  readonly inquire: (call: Call, host: InquiryHost, now: number, effects: Effect[]) => boolean
  readonly queued: (call: Call, waiting: Waiting) => void
  /** A call ends here without a server. */
  readonly shed: (call: Call, code: CodeName, effects: Effect[]) => void
}

/** Estimated free slots that deferrable calls leave to urgent ones. */
const DEFERRABLE_RESERVE = 1
/** Time in ms for which one urgent call keeps the reserve. */
const URGENT_MEMORY = 1000
/** Time in ms after which what is usual for the service is computed anew. */
export const REFRESH_INTERVAL = 50
const INITIAL_LATENCY = 20
/** Time kept back for running a queued call, in 95th percentiles: long calls that time out cost slot time. */
const HIGH_MARGIN = 1.5
/** Largest part of a call's time that is kept back for running it. */
const RUN_SHARE = 0.5
const USUAL_STEP = 0.2
const FAILURE_STEP = 0.02
/** Loss of trust in all reports of a service by one contradiction, and gain by one confirmation. */
const TRUST_LOSS = 0.2
const TRUST_GAIN = 0.005
const INTERVAL_STEP = 0.05
/**
 * Time in ms for which calls wait for a service without any server after one left. When the entry dies that servers
 * announced themselves to, their records expire shortly before they have announced themselves elsewhere.
 */
const RETURN_GRACE = 1500
/** A call is refused on arrival only when its predicted wait exceeds its time by this factor. */
const PREDICTION_SLACK = 1.2

export class Pool {
  readonly records: ServerRecord[] = []
  budget: RetryBudget
  /** Calls of this entry at servers of the service. */
  inFlight = 0
  failureRate = 0
  /** Whether a server may be on trial: spares the search for one on every call. */
  hasTrial = false
  readonly place: Surroundings
  readonly #urgent = new CallQueue()
  readonly #deferrable = new CallQueue()
  readonly #options: PoolOptions
  readonly #inquiryHost: InquiryHost = {
    records: this.records,
    send: (call, record, now, effects) => {
      this.#launch(call, record, false, now, effects)
    },
    refuse: (call, effects) => {
      this.#options.shed(call, 'overloaded', effects)
    },
    proceed: (call, now, effects) => {
      this.#submitByEstimate(call, now, effects)
    },
  }
  #queueLimit: number
  #concurrency: number
  #lastUrgentAt = Number.NEGATIVE_INFINITY
  #lastDeferrableAt = Number.NEGATIVE_INFINITY
  #lastDrainAt = Number.NaN
  #drainInterval = 0
  #order = 0
  #refreshedAt = Number.NEGATIVE_INFINITY
  #lossAt = Number.NEGATIVE_INFINITY

  constructor(options: PoolOptions, now: number) {
    this.#options = options
    this.#queueLimit = options.queue
    this.#concurrency = options.concurrency
    this.budget = new RetryBudget(options.retries, now)
    this.place = {
      random: options.random,
      usual: INITIAL_LATENCY,
      high: 4 * INITIAL_LATENCY,
      reportMemory: options.tuning.reportMemory,
      typicalOthers: 0,
      trust: options.tuning.reportWeight,
      suspicionWeight: options.tuning.suspicionWeight,
      largestRamp: 1,
    }
  }

  get waiting(): number {
    return this.#urgent.size + this.#deferrable.size
  }

  configure(retries: RetryLimits, queue: number, concurrency: number, now: number): void {
    this.budget = new RetryBudget(retries, now)
    this.#queueLimit = queue
    this.#concurrency = concurrency
  }

  submit(call: Call, now: number, effects: Effect[]): void {
    if (now - this.#refreshedAt > REFRESH_INTERVAL) this.refresh(now)
    if (!isRetry(call)) this.budget.credit(now)
    if (call.urgency === 'urgent') this.#lastUrgentAt = now
    else this.#lastDeferrableAt = now
    const refusal = this.#refusal(call, now)
    if (refusal !== undefined) {
      this.#options.shed(call, refusal, effects)
      return
    }
    const trial = this.inFlight < this.#concurrency ? this.#trialFor(call, now) : undefined
    if (trial !== undefined) {
      this.#launch(call, trial, true, now, effects)
      return
    }
    const mayAsk = this.waiting === 0 && this.inFlight < this.#concurrency
    if (mayAsk && this.#options.inquire(call, this.#inquiryHost, now, effects)) return
    if (call.onlyIfFree === true) this.#options.shed(call, 'overloaded', effects)
    else this.#submitByEstimate(call, now, effects)
  }

  #submitByEstimate(call: Call, now: number, effects: Effect[]): void {
    const queue = this.#queueOf(call)
    const isFirst = queue.size === 0 && (call.urgency === 'urgent' || this.#urgent.size === 0)
    if (isFirst && this.#place(call, now, now, effects)) return
    const waiting: Waiting = { call, since: now, order: this.#order++, place: -1 }
    queue.add(waiting)
    this.#options.queued(call, waiting)
  }

  remove(waiting: Waiting): void {
    this.#queueOf(waiting.call).remove(waiting)
  }

  /** A server of the service left. */
  noteLoss(now: number): void {
    this.#lossAt = now
  }

  /** Sends what may be sent and sheds what can no longer be in time. */
  drain(now: number, effects: Effect[]): void {
    if (!this.#mayHaveServer(now)) this.#shedAll(effects)
    this.#drainQueue(this.#urgent, now, effects)
    if (this.#urgent.size === 0) this.#drainQueue(this.#deferrable, now, effects)
    else this.#shedLate(this.#deferrable, now, effects)
    if (this.waiting === 0) this.#lastDrainAt = Number.NaN
  }

  /** A report that came with a response, or with a refusal if `hasShed`. */
  addReport(record: ServerRecord, load: Load, recentlySent: number, hasShed: boolean, now: number): void {
    const trust = record.trust
    const isContradicted = record.addReport(load, recentlySent, hasShed, now)
    // A single server that is known to mislead says nothing about the others.
    if (isContradicted) this.place.trust *= 1 - TRUST_LOSS * trust
    else if (hasShed) this.place.trust += (this.#options.tuning.reportWeight - this.place.trust) * TRUST_GAIN
  }

  addResult(isFailure: boolean): void {
    this.failureRate += ((isFailure ? 1 : 0) - this.failureRate) * FAILURE_STEP
  }

  /** Recomputes what is usual for the service as medians over its servers, so that a few outliers change nothing. */
  refresh(now: number): void {
    this.#refreshedAt = now
    this.hasTrial = this.records.some((record) => record.standing.kind === 'trial')
    const latencies: number[] = []
    const highs: number[] = []
    let others = 0
    let trust = 0
    let ramp = 0
    for (const record of this.records) {
      if (record.recentLatency !== undefined) latencies.push(record.recentLatency)
      if (record.ownHigh !== undefined) highs.push(record.ownHigh)
      others += record.averageOthers * record.trust
      trust += record.trust
      ramp = Math.max(ramp, record.ramp(now))
    }
    this.place.typicalOthers = trust > 0 ? others / trust : 0
    this.place.largestRamp = ramp > 0 ? ramp : 1
    this.place.usual += (median(latencies, this.place.usual) - this.place.usual) * USUAL_STEP
    this.place.high += (median(highs, this.place.high) - this.place.high) * USUAL_STEP
  }

  #queueOf(call: Call): CallQueue {
    return call.urgency === 'urgent' ? this.#urgent : this.#deferrable
  }

  #refusal(call: Call, now: number): CodeName | undefined {
    if (now >= call.deadline) return 'deadlineNotRun'
    if (!this.#hasCandidate(call) && (isRetry(call) || !this.#mayHaveServer(now))) return 'noServer'
    if (this.waiting >= this.#queueLimit) return 'overloaded'
    const ahead = call.urgency === 'urgent' ? this.#urgent.size : this.waiting
    const wait = ahead * this.#drainInterval
    const isHopeless = wait > (call.deadline - now) * PREDICTION_SLACK
    return isHopeless ? 'overloaded' : undefined
  }

  /** Whether a server is ready, or may be again before long. */
  #mayHaveServer(now: number): boolean {
    return now - this.#lossAt < RETURN_GRACE || this.records.some((record) => record.server.state === 'ready')
  }

  #hasCandidate(call: Call): boolean {
    return this.records.some((record) => isCandidate(record, call))
  }

  /** A server on trial that this call may test: a deferrable one, if there are any. */
  #trialFor(call: Call, now: number): ServerRecord | undefined {
    if (!this.hasTrial) return undefined
    if (call.urgency === 'urgent' && now - this.#lastDeferrableAt < URGENT_MEMORY) return undefined
    return this.records.find(
      (record) =>
        record.standing.kind === 'trial' && record.own === 0 && !record.isProbing && isCandidate(record, call),
    )
  }

  /** Sends the call if a server is cheap enough for the time it has waited. */
  #place(call: Call, since: number, now: number, effects: Effect[]): boolean {
    if (this.inFlight >= this.#concurrency) return false
    const choice = chooseServer(this.records, call.tried, this.place, now)
    if (choice.record === undefined || choice.cost > this.#limit(call, choice, now - since, now)) return false
    this.#launch(call, choice.record, false, now, effects)
    return true
  }

  #limit(call: Call, choice: Choice, waited: number, now: number): number {
    const { freshCost, costPerMs, largestCost, newsWait, yieldShare } = this.#options.tuning
    const isPatient = waited < (call.deadline - now + waited) * yieldShare
    const isReserved = call.urgency === 'deferrable' && isPatient && now - this.#lastUrgentAt < URGENT_MEMORY
    if (isReserved && choice.free < DEFERRABLE_RESERVE + 1) return 0
    // Without calls of its own in flight no response will tell the entry about a free slot.
    if (this.inFlight === 0 && waited >= newsWait) return Number.POSITIVE_INFINITY
    return Math.min(largestCost, freshCost + waited * costPerMs)
  }

  #launch(call: Call, record: ServerRecord, isTrial: boolean, now: number, effects: Effect[]): void {
    const mayBounce = this.#reserveBounce(call, record, now)
    record.sent(now)
    this.inFlight += 1
    this.#options.launch({ call, pool: this, record, sentAt: now, isTrial, mayBounce }, effects)
  }

  /** Takes the token for the retry in advance, so that a call that was shed can always be sent elsewhere. */
  #reserveBounce(call: Call, record: ServerRecord, now: number): boolean {
    if (!this.#options.bounces || call.resendable === false || isRetry(call)) return false
    // Without another server the refused call would have nowhere to go.
    if (!this.records.some((other) => other !== record && isUsable(other, now))) return false
    return this.budget.available(now) >= this.#options.tuning.spareTokens && this.budget.take(now)
  }

  #drainQueue(queue: CallQueue, now: number, effects: Effect[]): void {
    this.#shedLate(queue, now, effects)
    for (let first = queue.first(); first !== undefined; first = queue.first()) {
      if (!this.#place(first.call, first.since, now, effects)) return
      queue.remove(first)
      this.#countDrain(now)
    }
  }

  #countDrain(now: number): void {
    if (!Number.isNaN(this.#lastDrainAt)) {
      this.#drainInterval += (now - this.#lastDrainAt - this.#drainInterval) * INTERVAL_STEP
    }
    this.#lastDrainAt = now
  }

  #shedAll(effects: Effect[]): void {
    for (const queue of [this.#urgent, this.#deferrable]) {
      for (let first = queue.first(); first !== undefined; first = queue.first()) {
        queue.remove(first)
        this.#options.shed(first.call, 'noServer', effects)
      }
    }
  }

  #shedLate(queue: CallQueue, now: number, effects: Effect[]): void {
    for (let first = queue.first(); first !== undefined; first = queue.first()) {
      const runTime = Math.min(HIGH_MARGIN * this.place.high, RUN_SHARE * (first.call.deadline - first.since))
      if (now + runTime <= first.call.deadline) return
      queue.remove(first)
      this.#options.shed(first.call, this.#hasCandidate(first.call) ? 'overloaded' : 'noServer', effects)
    }
  }
}

function isCandidate(record: ServerRecord, call: Call): boolean {
  if (record.server.state !== 'ready' || call.tried?.includes(record.server.id) === true) return false
  // A call that was tried before would wait for an ejected server until its deadline, and then fail all the same.
  return !isRetry(call) || record.standing.kind !== 'ejected'
}

function isRetry(call: Call): boolean {
  return call.tried !== undefined && call.tried.length > 0
}

function median(values: number[], otherwise: number): number {
  values.sort((left, right) => left - right)
  return values[(values.length - 1) >> 1] ?? otherwise
}
