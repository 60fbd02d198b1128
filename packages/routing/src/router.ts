/**
 * Router of one entry process. It holds the waiting calls and the calls in flight and performs no I/O: time and random
 * numbers are passed in, and a driver carries out the returned effects and reports events.
 *
 * Order of use per call: `submit`, then after a `dispatch` effect `started` and exactly one of `finished` and
 * `cancelled`. To retry a call, the driver asks `mayRetry` and submits the call again with the same id and the servers
 * that it was already sent to.
 */
import type { FailureDomain, RandomSource, ServerId, ServiceName } from '@bilberrystall/base'
import type { Call, CallId, Effect, ExchangeOutcome, Load, Observation, Server, ServerStatement } from './call'
import type { QueuedCall } from './call-queue'
import type { ColdSharing, WarmUp } from './cold-limits'
import { acceptsRequests, isEligible } from './eligibility'
import { EvacuatedDomains } from './evacuated-domains'
import { LeavingServers } from './leaving-servers'
import { addObservation, ownObservations } from './observations'
import { LoadQueries, type LoadQueriesOptions, type LoadQueryResult } from './load-query'
import { eject, ejectOutlier, endTrial, restoreWhenNoneHealthy } from './health'
import { recordOutcome } from './call-outcome'
import { ServicePool, REFRESH_INTERVAL_MS, type InFlightCall } from './service-pool'
import { TokenRetryBudget, type RetryBudget, type RetryLimits } from './retry-budget'
import { SharedRetryBudget, type RetrySharing } from './shared-retry-budget'
import type { LimitSharing } from './rate-limit'
import { ServerProcesses } from './server-processes'
import { ServerRecord } from './server-record'
import type { SubsetOptions } from './server-subset'
import { MeasuringTokens } from './tokens'
import { DEFAULT_TUNING, type Tuning } from './tuning'

export interface RouterOptions {
  readonly random: RandomSource
  /** Tokens for probes, shared with the driver, which adds grants. */
  readonly tokens?: MeasuringTokens
  /** Round trip between this entry and servers in ms, default 2. */
  readonly roundTrip?: number
  /** Slot time in ms reserved for one probe, default 12 (a probe takes about 6). */
  readonly probeTimeout?: number
  readonly tuning?: Partial<Tuning>
  /** Live entries, with which this one shares the rate limits of servers. Absent: it is the only one. */
  readonly limitSharing?: LimitSharing
  /** Entries with which this one shares the bound for cold servers. Absent: those of `limitSharing`. */
  readonly coldSharing?: ColdSharing
  /** Allowance of retries of all entries together. Absent: this entry applies the limits of the document by itself. */
  readonly retrySharing?: RetrySharing | undefined
  /** Options for querying the load of servers before a call is sent. Absent: servers are chosen by estimates alone. */
  readonly loadQueries?: Omit<LoadQueriesOptions, 'random'>
}

export interface ServiceLimits {
  readonly retries?: RetryLimits
  /** Largest number of calls that wait in this entry, default 10,000. */
  readonly queue?: number
  /** Largest number of calls in flight from this entry, unlimited by default. */
  readonly concurrency?: number
  /** Limit for servers that are cold. Absent: they are used like others. */
  readonly warmUp?: WarmUp | undefined
}

interface QueuedInPool {
  readonly pool: ServicePool
  readonly queuedCall: QueuedCall
}

const DEFAULT_QUEUE = 10_000
/** Interval in ms at which waiting calls are tried again, because estimates change with time even without events. */
const DRAIN_INTERVAL_MS = 2
const NO_EFFECTS: readonly Effect[] = []
const SINGLE_ENTRY: readonly string[] = ['']

export class Router {
  readonly tokens: MeasuringTokens
  readonly #random: RandomSource
  readonly #roundTrip: number
  readonly #probeTimeout: number
  readonly #tuning: Tuning
  readonly #limits = new Map<ServiceName, ServiceLimits>()
  readonly #pools = new Map<ServiceName, ServicePool>()
  readonly #records = new Map<ServerId, ServerRecord>()
  readonly #inFlightCalls = new Map<CallId, InFlightCall>()
  readonly #queued = new Map<CallId, QueuedInPool>()
  readonly #loadQueries: LoadQueries | undefined
  readonly #subset: SubsetOptions
  readonly #limitSharing: LimitSharing
  readonly #coldSharing: ColdSharing
  readonly #retrySharing: RetrySharing | undefined
  readonly #processes = new ServerProcesses()
  readonly #leaving = new LeavingServers()
  readonly #evacuated = new EvacuatedDomains()
  #hasEjected = false
  #refreshAt = Number.POSITIVE_INFINITY
  #drainAt = Number.POSITIVE_INFINITY

  constructor(options: RouterOptions) {
    this.tokens = options.tokens ?? new MeasuringTokens()
    this.#random = options.random
    this.#roundTrip = options.roundTrip ?? 2
    this.#probeTimeout = options.probeTimeout ?? 12
    this.#tuning = { ...DEFAULT_TUNING, ...options.tuning }
    const { loadQueries, random } = options
    this.#loadQueries = loadQueries === undefined ? undefined : new LoadQueries({ ...loadQueries, random })
    this.#limitSharing = options.limitSharing ?? { entry: '', entries: () => SINGLE_ENTRY }
    this.#coldSharing = options.coldSharing ?? this.#limitSharing
    this.#retrySharing = options.retrySharing
    this.#subset = { entry: loadQueries?.entry ?? '', domain: loadQueries?.domain ?? '' }
  }

  /** Number of servers that are not evacuated. */
  get serverCount(): number {
    return [...this.#pools.values()].reduce((sum, { candidates }) => sum + candidates.length, 0)
  }

  /** Whether calls query the load of servers before they are sent. */
  get queriesLoad(): boolean {
    return this.#loadQueries !== undefined
  }

  /** Applies the limits of the document to a service. */
  configure(service: ServiceName, limits: ServiceLimits, now: number): void {
    this.#limits.set(service, limits)
    const { retries = {}, queue = DEFAULT_QUEUE, concurrency = Number.POSITIVE_INFINITY } = limits
    this.#pools.get(service)?.configure(retries, queue, concurrency, limits.warmUp, now)
  }

  /** Adds a server or updates a known one. */
  updateServer(server: Server, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const pool = this.#pool(server.service, now)
    const known = this.#records.get(server.id)
    const isLeaving = this.#leaving.has(server)
    const { warmth, isNew } = this.#processes.see(server, now)
    warmth.announced(server.coldMs ?? 0, now)
    const record = known ?? new ServerRecord(server)
    record.warmth = warmth
    if (known === undefined) {
      record.isLeaving = isLeaving
      record.isEvacuated = this.#evacuated.has(server.domain)
      this.#records.set(server.id, record)
      pool.add(record, now)
    } else {
      if (server.firstSeen > known.server.firstSeen) known.restart(server.firstSeen)
      const wasReady = known.server.state === 'ready' && !known.isEvacuated
      if (wasReady && server.state !== 'ready') pool.recordServerLoss(now)
      const isChanged = known.server.state !== server.state || known.server.domain !== server.domain
      if (isChanged || known.isLeaving !== isLeaving) pool.serverUpdated()
      known.server = server
      known.isLeaving = isLeaving
      known.isEvacuated = this.#evacuated.has(server.domain)
    }
    if (server.load !== undefined) record.addRemoteReport(server.load, now)
    pool.coldLimits.update(record, now)
    if (isNew && !warmth.isCold(now)) pool.coldLimits.assumeCold(record, now)
    this.#drain(pool, now, effects)
    return effects
  }

  /** Removes a server that left or whose lease expired. Its calls in flight continue until `finished`. */
  removeServer(server: ServerId, now: number): readonly Effect[] {
    const record = this.#records.get(server)
    if (record === undefined) return NO_EFFECTS
    const effects: Effect[] = []
    const pool = this.#pool(record.server.service, now)
    this.#records.delete(server)
    if (record.server.state === 'ready' && !record.isEvacuated) pool.recordServerLoss(now)
    pool.remove(record)
    this.#drain(pool, now, effects)
    return effects
  }

  /**
   * Applies the list of evacuated failure domains. Waiting calls go to the other servers, or end if there are none; calls
   * in flight continue.
   */
  evacuate(domains: readonly FailureDomain[], now: number): readonly Effect[] {
    const returned = this.#evacuated.replace(domains)
    for (const record of this.#records.values()) record.isEvacuated = this.#evacuated.has(record.server.domain)
    for (const domain of returned) this.domainReturned(domain, now)
    const effects: Effect[] = []
    for (const pool of this.#pools.values()) {
      pool.serverUpdated()
      this.#drain(pool, now, effects)
    }
    return effects
  }

  submit(call: Call, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const pool = this.#pool(call.service, now)
    pool.submit(call, now, effects)
    this.#scheduleTick(now)
    return effects
  }

  /**
   * Called when the first byte of the request was written to a connection to the server. The time to open it does not
   * count as latency of the server.
   */
  started(call: CallId, now: number): void {
    const inFlightCall = this.#inFlightCalls.get(call)
    if (inFlightCall === undefined) return
    inFlightCall.record.updateSentAt(inFlightCall.sentAt, now)
    inFlightCall.sentAt = now
  }

  /** Called when the exchange ended after `latency` ms; `load` is the report that came with the response. */
  finished(
    call: CallId,
    outcome: ExchangeOutcome,
    latency: number,
    load: Load | undefined,
    now: number,
  ): readonly Effect[] {
    const inFlightCall = this.#inFlightCalls.get(call)
    if (inFlightCall === undefined) return NO_EFFECTS
    const effects: Effect[] = []
    this.#inFlightCalls.delete(call)
    this.#release(inFlightCall)
    recordOutcome(inFlightCall, { outcome, latency, load, reportedSince: now - this.#roundTrip }, now)
    this.#updateHealth(inFlightCall, outcome, latency, now, effects)
    this.#drain(inFlightCall.pool, now, effects)
    return effects
  }

  /** Called with the rate limit that a response of a server names, undefined if it names none. */
  rateLimitReported(server: ServerId, rate: number | undefined, now: number): readonly Effect[] {
    const record = this.#records.get(server)
    if (record === undefined || (rate === undefined && record.rateLimit === undefined)) return NO_EFFECTS
    const pool = this.#pool(record.server.service, now)
    if (!pool.rateLimits.report(record, rate, now)) return NO_EFFECTS
    const effects: Effect[] = [rate === undefined ? { kind: 'unlimited', server } : { kind: 'limited', server, rate }]
    this.#drain(pool, now, effects)
    return effects
  }

  /** Called with the time in ms for which a response says that the server is cold, 0 if it is warm. */
  warmUpReported(server: ServerId, coldMs: number, now: number): void {
    const record = this.#records.get(server)
    if (record === undefined) return
    record.warmth.responded(coldMs, now)
    this.#pools.get(record.server.service)?.coldLimits.update(record, now)
    this.#scheduleTick(now)
  }

  /**
   * Called when servers of a failure domain are used again after they got no calls, which may have left them cold. The
   * ready ones count as cold for the warm-up of their service unless they state otherwise afterwards.
   */
  domainReturned(domain: FailureDomain, now: number): void {
    for (const record of this.#records.values()) {
      if (record.server.domain !== domain || record.server.state !== 'ready') continue
      this.#pools.get(record.server.service)?.coldLimits.assumeCold(record, now)
    }
    this.#scheduleTick(now)
  }

  /** Returns the number of servers that are cold and that their service limits while they are. */
  coldServers(now: number): number {
    return [...this.#pools.values()].reduce((count, { coldLimits }) => count + coldLimits.count(now), 0)
  }

  /** Called with what a response of a server says of the server. */
  statementReceived(server: ServerId, { isLeaving, pauseMs }: ServerStatement, now: number): readonly Effect[] {
    const record = this.#records.get(server)
    if (record === undefined) return NO_EFFECTS
    const effects: Effect[] = []
    const pool = this.#pool(record.server.service, now)
    if (pauseMs !== undefined && pauseMs > 0) {
      if (acceptsRequests(record, now)) effects.push({ kind: 'paused', server })
      record.pause(pauseMs, this.#random(), now)
    }
    if (isLeaving && !record.isLeaving) {
      record.isLeaving = true
      this.#leaving.add(record.server)
      pool.recordServerLoss(now)
      pool.serverUpdated()
      effects.push({ kind: 'leaving', server })
    }
    this.#drain(pool, now, effects)
    return effects
  }

  /** Whether a request that was prepared for the server may still be sent to it. */
  accepts(server: ServerId, now: number): boolean {
    const record = this.#records.get(server)
    return record !== undefined && acceptsRequests(record, now)
  }

  /** Called with the result of a load query that an effect requested. */
  answered(call: CallId, server: ServerId, result: LoadQueryResult, now: number): readonly Effect[] {
    // An answer that arrives after the call was sent is still recorded for the server.
    if (result.kind === 'load') this.#records.get(server)?.recordSlowness(result.load, now)
    const effects = this.#loadQueries?.answered(call, server, result, now) ?? NO_EFFECTS
    this.#scheduleTick(now)
    return effects
  }

  /** Called when the caller no longer waits. Removes the call from its queue or from the calls in flight. */
  cancelled(call: CallId, now: number): readonly Effect[] {
    if (this.#loadQueries?.cancel(call) === true) return NO_EFFECTS
    const queued = this.#queued.get(call)
    if (queued !== undefined) {
      this.#queued.delete(call)
      queued.pool.removeQueued(queued.queuedCall)
      return NO_EFFECTS
    }
    return this.finished(call, 'unattributed', 0, undefined, now)
  }

  /** Takes one retry from the budget of the service; false if the call must not be retried. */
  mayRetry(service: ServiceName, now: number): boolean {
    return this.#pool(service, now).budget.take(now)
  }

  /** Returns the 95th percentile of the latency of the service in ms. */
  p95Latency(service: ServiceName): number {
    return this.#pools.get(service)?.stats.p95Latency ?? 0
  }

  /** Returns the numbers of waiting calls and of calls in flight of a service, for metrics. */
  gauges(service: ServiceName): { readonly waiting: number; readonly inFlight: number } {
    const pool = this.#pools.get(service)
    return { waiting: pool?.waiting ?? 0, inFlight: pool?.inFlight ?? 0 }
  }

  /** Adds information from a peer or an announcement. */
  observe(observation: Observation, now: number): readonly Effect[] {
    const record = this.#records.get(observation.server)
    if (record !== undefined) addObservation(record, observation, now)
    return NO_EFFECTS
  }

  /** Returns the observations of this entry itself, for its peers. */
  observations(now: number): readonly Observation[] {
    return ownObservations(this.#records.values(), now)
  }

  /** Called when a probe ended. */
  probed(
    server: ServerId,
    outcome: ExchangeOutcome,
    _latency: number,
    load: Load | undefined,
    now: number,
  ): readonly Effect[] {
    const record = this.#records.get(server)
    if (record?.isProbing !== true) return NO_EFFECTS
    record.isProbing = false
    if (outcome === 'ok') {
      if (load !== undefined) record.addRemoteReport(load, now)
    } else {
      eject(record, now)
    }
    return NO_EFFECTS
  }

  /** Runs the actions that are due: shedding of late calls, retries of waiting ones, outlier ejection, probes. */
  tick(now: number): readonly Effect[] {
    const effects: Effect[] = []
    if (now >= this.#refreshAt) {
      this.#refreshAt = Number.POSITIVE_INFINITY
      for (const pool of this.#pools.values()) this.#refresh(pool, now, effects)
      this.#hasEjected = [...this.#records.values()].some(({ health }) => health.kind !== 'healthy')
    }
    this.#loadQueries?.tick(now, effects)
    this.#drainAt = Number.POSITIVE_INFINITY
    for (const pool of this.#pools.values()) if (pool.waiting > 0) this.#drain(pool, now, effects)
    this.#scheduleTick(now)
    return effects
  }

  /** Returns the time in ms at which `tick` must be called next; infinite if nothing is scheduled. */
  nextWake(): number {
    return Math.min(this.#drainAt, this.#refreshAt, this.#loadQueries?.nextWake() ?? Number.POSITIVE_INFINITY)
  }

  #pool(service: ServiceName, now: number): ServicePool {
    const known = this.#pools.get(service)
    if (known !== undefined) return known
    const limits = this.#limits.get(service)
    const pool = new ServicePool({
      random: this.#random,
      tuning: this.#tuning,
      retries: this.#retryBudget(service, limits?.retries, now),
      queue: limits?.queue ?? DEFAULT_QUEUE,
      concurrency: limits?.concurrency ?? Number.POSITIVE_INFINITY,
      dispatch: (inFlightCall, effects) => {
        this.#queued.delete(inFlightCall.call.id)
        this.#inFlightCalls.set(inFlightCall.call.id, inFlightCall)
        const dispatch = {
          kind: 'dispatch',
          call: inFlightCall.call.id,
          server: inFlightCall.record.server.id,
        } as const
        effects.push(inFlightCall.hasReservedRetry ? { ...dispatch, queueLimit: 0 } : dispatch)
      },
      // With load queries, the server has already reported its queue.
      limitsServerQueue: this.#loadQueries === undefined,
      limitSharing: this.#limitSharing,
      coldSharing: this.#coldSharing,
      warmUp: limits?.warmUp,
      queriesLoad: this.queriesLoad,
      subset: this.#subset,
      queryLoad: (call, host, at, effects) => this.#loadQueries?.start(call, host, at, effects) === true,
      queued: (call, queuedCall) => {
        this.#queued.set(call.id, { pool, queuedCall })
      },
      shed: (call, refusal, effects) => {
        this.#queued.delete(call.id)
        effects.push({ kind: 'shed', call: call.id, ...refusal })
      },
    })
    this.#pools.set(service, pool)
    return pool
  }

  #retryBudget(service: ServiceName, limits: RetryLimits = {}, now: number): RetryBudget {
    const sharing = this.#retrySharing
    return sharing === undefined ? new TokenRetryBudget(limits, now) : new SharedRetryBudget(service, sharing)
  }

  #release(inFlightCall: InFlightCall): void {
    inFlightCall.record.removeInFlight(inFlightCall.sentAt)
    inFlightCall.pool.inFlight -= 1
    if (inFlightCall.hasReservedRetry) inFlightCall.pool.budget.release()
  }

  #updateHealth(
    { record, pool, isTrial }: InFlightCall,
    outcome: ExchangeOutcome,
    latency: number,
    now: number,
    effects: Effect[],
  ): void {
    if (outcome === 'unattributed' || outcome === 'shed') return
    if (isTrial) endTrial(record, outcome === 'ok' && latency <= pool.stats.p95Latency, now, effects)
    else this.#ejectOutlier(record, pool, now, effects)
  }

  #ejectOutlier(record: ServerRecord, pool: ServicePool, now: number, effects: Effect[]): void {
    if (ejectOutlier(record, pool, now, effects)) this.#hasEjected = true
  }

  #refresh(pool: ServicePool, now: number, effects: Effect[]): void {
    pool.refresh(now)
    pool.coldLimits.refresh(now, effects)
    restoreWhenNoneHealthy(pool.records, now, effects)
    for (const record of pool.records) {
      this.#ejectOutlier(record, pool, now, effects)
      const { health } = record
      if (health.kind !== 'ejected' || !isEligible(record, 'probe', now)) continue
      record.health = { kind: 'trial', successes: 0, backoff: health.backoff }
      pool.hasTrial = true
      const cost = this.#probeTimeout
      if (!this.tokens.take(record.server.service, cost, now)) continue
      record.isProbing = true
      effects.push({ kind: 'probe', server: record.server.id, timeout: cost })
    }
  }

  #drain(pool: ServicePool, now: number, effects: Effect[]): void {
    if (pool.waiting > 0) pool.drain(now, effects)
    this.#scheduleTick(now)
  }

  #scheduleTick(now: number): void {
    if (this.#queued.size > 0) this.#drainAt = Math.min(this.#drainAt, now + DRAIN_INTERVAL_MS)
    if (this.#refreshAt !== Number.POSITIVE_INFINITY) return
    const isBusy = this.#inFlightCalls.size > 0 || this.#queued.size > 0 || this.#hasEjected
    const hasCold = () => [...this.#pools.values()].some(({ coldLimits }) => coldLimits.hasCold)
    if (isBusy || hasCold()) this.#refreshAt = now + REFRESH_INTERVAL_MS
  }
}
