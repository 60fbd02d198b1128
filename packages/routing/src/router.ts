/**
 * Server selection of one entry process. The router owns the calls that wait and the calls in flight; the shell carries
 * out the returned effects and reports what happened. It performs no I/O: time and random numbers are passed in.
 *
 * Order of use per call: `submit`, then for a `dispatch` effect `started` and exactly one of `finished` and
 * `cancelled`. A call that the shell repeats is submitted again, under the same id, with the servers already tried and
 * after `mayRetry` allowed it.
 */
import type { Random, ServerId, ServiceName } from '@bilberrystall/base'
import type { Call, CallId, Effect, EjectReason, ExchangeOutcome, Load, Observation, Server } from './call'
import type { Waiting } from './call-queue'
import { Inquiries, type InquiriesOptions, type InquiryResult } from './inquiry'
import { eject, mayEject, outlierReason, TRIALS } from './health'
import { Pool, REFRESH_INTERVAL, type Flight } from './pool'
import type { RetryLimits } from './retry-budget'
import { ServerRecord } from './server-record'
import { MeasuringTokens } from './tokens'
import { DEFAULT_TUNING, type Tuning } from './tuning'

export interface RouterOptions {
  readonly random: Random
  /** Tokens for probes, shared with the shell that adds grants to them. */
  readonly tokens?: MeasuringTokens
  /** Round trip between this entry and servers in ms, default 2. */
  readonly roundTrip?: number
  /** Slot time in ms reserved for one probe, default 12 (a probe takes about 6). */
  readonly probeLimit?: number
  readonly tuning?: Partial<Tuning>
  /** Lets calls ask servers for their load before they are sent; absent: they are sent by estimates alone. */
  readonly inquiries?: Omit<InquiriesOptions, 'random'>
}

export interface ServiceLimits {
  readonly retries?: RetryLimits
  /** Most calls that wait in this entry, default 10,000. */
  readonly queue?: number
  /** Most calls in flight from this entry, unlimited by default. */
  readonly concurrency?: number
}

interface Queued {
  readonly pool: Pool
  readonly waiting: Waiting
}

const DEFAULT_QUEUE = 10_000
/** Interval in ms at which waiting calls are tried again: estimates change with time even without news. */
const DRAIN_INTERVAL = 2
const NO_EFFECTS: readonly Effect[] = []

export class Router {
  readonly tokens: MeasuringTokens
  readonly #random: Random
  readonly #roundTrip: number
  readonly #probeLimit: number
  readonly #tuning: Tuning
  readonly #limits = new Map<ServiceName, ServiceLimits>()
  readonly #pools = new Map<ServiceName, Pool>()
  readonly #records = new Map<ServerId, ServerRecord>()
  readonly #flights = new Map<CallId, Flight>()
  readonly #queued = new Map<CallId, Queued>()
  readonly #inquiries: Inquiries | undefined
  #hasEjected = false
  #refreshAt = Number.POSITIVE_INFINITY
  #drainAt = Number.POSITIVE_INFINITY

  constructor(options: RouterOptions) {
    this.tokens = options.tokens ?? new MeasuringTokens()
    this.#random = options.random
    this.#roundTrip = options.roundTrip ?? 2
    this.#probeLimit = options.probeLimit ?? 12
    this.#tuning = { ...DEFAULT_TUNING, ...options.tuning }
    const { inquiries, random } = options
    this.#inquiries = inquiries === undefined ? undefined : new Inquiries({ ...inquiries, random })
  }

  /** Whether calls ask servers for their load before they are sent. */
  get asksServers(): boolean {
    return this.#inquiries !== undefined
  }

  /** Applies the limits of the document to a service. */
  configure(service: ServiceName, limits: ServiceLimits, now: number): void {
    this.#limits.set(service, limits)
    const { retries = {}, queue = DEFAULT_QUEUE, concurrency = Number.POSITIVE_INFINITY } = limits
    this.#pools.get(service)?.configure(retries, queue, concurrency, now)
  }

  /** Adds a server or replaces what is known about it. */
  updateServer(server: Server, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const pool = this.#pool(server.service, now)
    const known = this.#records.get(server.id)
    if (known === undefined) {
      const record = new ServerRecord(server)
      this.#records.set(server.id, record)
      pool.records.push(record)
      pool.refresh(now)
    } else {
      if (server.firstSeen > known.server.firstSeen) known.restart(server.firstSeen)
      if (known.server.state === 'ready' && server.state !== 'ready') pool.noteLoss(now)
      known.server = server
    }
    if (server.load !== undefined) this.#records.get(server.id)?.addRemoteReport(server.load, now)
    this.#settle(pool, now, effects)
    return effects
  }

  /** The server left or its lease expired. Calls in flight keep their exchange until `finished`. */
  removeServer(server: ServerId, now: number): readonly Effect[] {
    const record = this.#records.get(server)
    if (record === undefined) return NO_EFFECTS
    const effects: Effect[] = []
    const pool = this.#pool(record.server.service, now)
    this.#records.delete(server)
    if (record.server.state === 'ready') pool.noteLoss(now)
    pool.records.splice(pool.records.indexOf(record), 1)
    this.#settle(pool, now, effects)
    return effects
  }

  submit(call: Call, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const pool = this.#pool(call.service, now)
    pool.submit(call, now, effects)
    this.#schedule(now)
    return effects
  }

  /**
   * The first byte of the request was written to a connection of the server. The time to open a connection does not
   * count against the server.
   */
  started(call: CallId, now: number): void {
    const flight = this.#flights.get(call)
    if (flight === undefined) return
    flight.record.restamp(flight.sentAt, now)
    flight.sentAt = now
  }

  /** The exchange ended after `latency` ms; `load` is the report carried by the response. */
  finished(
    call: CallId,
    outcome: ExchangeOutcome,
    latency: number,
    load: Load | undefined,
    now: number,
  ): readonly Effect[] {
    const flight = this.#flights.get(call)
    if (flight === undefined) return NO_EFFECTS
    const effects: Effect[] = []
    this.#flights.delete(call)
    this.#land(flight)
    this.#learn(flight, outcome, latency, load, now, effects)
    this.#settle(flight.pool, now, effects)
    return effects
  }

  /** A server answered the question of an `inquire` effect, or did not. */
  answered(call: CallId, server: ServerId, result: InquiryResult, now: number): readonly Effect[] {
    // An answer that comes after its call was sent still tells about the server.
    if (result.kind === 'load') this.#records.get(server)?.noteSpeed(result.load, now)
    const effects = this.#inquiries?.answered(call, server, result, now) ?? NO_EFFECTS
    this.#schedule(now)
    return effects
  }

  /** The caller no longer waits: removes the call from its queue or frees its place at the server. */
  cancelled(call: CallId, now: number): readonly Effect[] {
    if (this.#inquiries?.cancel(call) === true) return NO_EFFECTS
    const queued = this.#queued.get(call)
    if (queued !== undefined) {
      this.#queued.delete(call)
      queued.pool.remove(queued.waiting)
      return NO_EFFECTS
    }
    return this.finished(call, 'unattributed', 0, undefined, now)
  }

  /** Takes one retry from the budget of the service; false when the call must end with its failure. */
  mayRetry(service: ServiceName, now: number): boolean {
    return this.#pool(service, now).budget.take(now)
  }

  /** Calls of the service that wait in this entry and that are at servers, for metrics. */
  gauges(service: ServiceName): { readonly waiting: number; readonly inFlight: number } {
    const pool = this.#pools.get(service)
    return { waiting: pool?.waiting ?? 0, inFlight: pool?.inFlight ?? 0 }
  }

  /** Information from peers or announcements. */
  observe(observation: Observation, now: number): readonly Effect[] {
    const record = this.#records.get(observation.server)
    if (record === undefined) return NO_EFFECTS
    if (observation.load !== undefined) record.addRemoteReport(observation.load, now - observation.age)
    if (observation.ejected === true) record.suspectedByPeerAt = now - observation.age
    return NO_EFFECTS
  }

  /** What this entry knows first-hand, to be passed to peers. */
  observations(now: number): readonly Observation[] {
    const seen: Observation[] = []
    for (const record of this.#records.values()) {
      const isEjected = record.standing.kind === 'ejected'
      if (record.lastLoad === undefined && !isEjected) continue
      const age = Math.max(0, now - record.loadSeenAt)
      const base = { server: record.server.id, age: isEjected ? 0 : age, ejected: isEjected }
      seen.push(record.lastLoad === undefined || isEjected ? base : { ...base, load: record.lastLoad })
    }
    return seen
  }

  /** A probe ended. */
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

  /** Applies everything that is due: expiry in queues, suspicion by age, probes. */
  tick(now: number): readonly Effect[] {
    const effects: Effect[] = []
    if (now >= this.#refreshAt) {
      this.#refreshAt = Number.POSITIVE_INFINITY
      for (const pool of this.#pools.values()) this.#refresh(pool, now, effects)
      this.#hasEjected = this.#anyEjected()
    }
    this.#inquiries?.tick(now, effects)
    this.#drainAt = Number.POSITIVE_INFINITY
    for (const pool of this.#pools.values()) if (pool.waiting > 0) this.#settle(pool, now, effects)
    this.#schedule(now)
    return effects
  }

  /** Time in ms at which `tick` is next needed, infinite when no call waits and nothing is due. */
  nextWake(): number {
    return Math.min(this.#drainAt, this.#refreshAt, this.#inquiries?.nextWake() ?? Number.POSITIVE_INFINITY)
  }

  #anyEjected(): boolean {
    for (const record of this.#records.values()) if (record.standing.kind !== 'healthy') return true
    return false
  }

  #pool(service: ServiceName, now: number): Pool {
    const known = this.#pools.get(service)
    if (known !== undefined) return known
    const limits = this.#limits.get(service)
    const pool = new Pool(
      {
        random: this.#random,
        tuning: this.#tuning,
        retries: limits?.retries ?? {},
        queue: limits?.queue ?? DEFAULT_QUEUE,
        concurrency: limits?.concurrency ?? Number.POSITIVE_INFINITY,
        launch: (flight, effects) => {
          this.#queued.delete(flight.call.id)
          this.#flights.set(flight.call.id, flight)
          const dispatch = { kind: 'dispatch', call: flight.call.id, server: flight.record.server.id } as const
          effects.push(flight.mayBounce ? { ...dispatch, queueLimit: 0 } : dispatch)
        },
        // A server that was asked before has said how long its queue is.
        bounces: this.#inquiries === undefined,
        inquire: (call, host, at, effects) => this.#inquiries?.start(call, host, at, effects) === true,
        queued: (call, waiting) => {
          this.#queued.set(call.id, { pool, waiting })
        },
        shed: (call, code, effects) => {
          this.#queued.delete(call.id)
          effects.push({ kind: 'shed', call: call.id, code })
        },
      },
      now,
    )
    this.#pools.set(service, pool)
    return pool
  }

  #land(flight: Flight): void {
    flight.record.returned(flight.sentAt)
    flight.pool.inFlight -= 1
    if (flight.mayBounce) flight.pool.budget.refund()
  }

  #learn(
    flight: Flight,
    outcome: ExchangeOutcome,
    latency: number,
    load: Load | undefined,
    now: number,
    effects: Effect[],
  ): void {
    const { record, pool } = flight
    if (outcome === 'unattributed') return
    if (outcome === 'shed') {
      if (load !== undefined) pool.addReport(record, load, this.#recentlySent(record, now), true, now)
      return
    }
    if (outcome === 'ok') {
      record.addLatency(latency, pool.place.high, true, now)
      if (load !== undefined) pool.addReport(record, load, this.#recentlySent(record, now), false, now)
    }
    if (outcome === 'timeout') record.addLatency(latency, pool.place.high, false, now)
    const isFailure = outcome !== 'ok' && outcome !== 'timeout'
    record.addResult(isFailure)
    pool.addResult(isFailure)
    if (isFailure) record.pausedUntil = now + pool.place.usual * 2 ** Math.min(6, record.consecutiveFailures - 1)
    this.#judge(flight, outcome, latency, now, effects)
  }

  #judge(flight: Flight, outcome: ExchangeOutcome, latency: number, now: number, effects: Effect[]): void {
    const { record, pool } = flight
    if (!flight.isTrial) {
      this.#ejectOutlier(record, pool, now, effects)
      return
    }
    if (record.standing.kind !== 'trial') return
    const isGood = outcome === 'ok' && latency <= pool.place.high
    if (!isGood) {
      eject(record, now)
      return
    }
    const successes = record.standing.successes + 1
    if (successes < TRIALS) {
      record.standing = { ...record.standing, successes }
      return
    }
    record.restore(now)
    effects.push({ kind: 'restored', server: record.server.id })
  }

  #ejectOutlier(record: ServerRecord, pool: Pool, now: number, effects: Effect[]): void {
    if (record.standing.kind !== 'healthy') return
    const reason: EjectReason | undefined = outlierReason(record, pool, now)
    if (reason === undefined || !mayEject(pool.records)) return
    eject(record, now)
    this.#hasEjected = true
    effects.push({ kind: 'ejected', server: record.server.id, reason })
  }

  /** Own calls that were sent too recently to be counted in a report that arrives now. */
  #recentlySent(record: ServerRecord, now: number): number {
    return record.sentSince(now - this.#roundTrip)
  }

  #refresh(pool: Pool, now: number, effects: Effect[]): void {
    pool.refresh(now)
    this.#restoreWhenNoneHealthy(pool, now, effects)
    for (const record of pool.records) {
      this.#ejectOutlier(record, pool, now, effects)
      if (record.standing.kind !== 'ejected' || now < record.standing.until) continue
      record.standing = { kind: 'trial', successes: 0, backoff: record.standing.backoff }
      pool.hasTrial = true
      const cost = this.#probeLimit
      if (!this.tokens.take(record.server.service, cost, now)) continue
      record.isProbing = true
      effects.push({ kind: 'probe', server: record.server.id, limit: cost })
    }
  }

  /** Ejected servers are better than none. */
  #restoreWhenNoneHealthy(pool: Pool, now: number, effects: Effect[]): void {
    const ready = pool.records.filter((record) => record.server.state === 'ready')
    if (ready.some((record) => record.standing.kind === 'healthy')) return
    for (const record of ready) {
      record.restore(now)
      effects.push({ kind: 'restored', server: record.server.id })
    }
  }

  #settle(pool: Pool, now: number, effects: Effect[]): void {
    if (pool.waiting > 0) pool.drain(now, effects)
    this.#schedule(now)
  }

  #schedule(now: number): void {
    if (this.#queued.size > 0) this.#drainAt = Math.min(this.#drainAt, now + DRAIN_INTERVAL)
    const isBusy = this.#flights.size > 0 || this.#queued.size > 0 || this.#hasEjected
    if (this.#refreshAt === Number.POSITIVE_INFINITY && isBusy) this.#refreshAt = now + REFRESH_INTERVAL
  }
}
