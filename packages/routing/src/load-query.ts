/**
 * Load queries: a call asks a few servers for their load before it is sent. Load changes within milliseconds, and one
 * entry of many sends to a server too rarely to know its load. Querying three servers costs one round trip and tells
 * which one is free and fast right now. The queries of all entries together are limited per server.
 */
import { randomInt, type RandomSource, type ServerId } from '@bilberrystall/base'
import type { Call, CallId, Effect, Load } from './call'
import { isEligible, isQueryCandidate } from './eligibility'
import type { ServerRecord } from './server-record'

/**
 * Servers queried per round. If a third of the servers is slow, two queries find a fast one too rarely; more than three
 * cost too much slot time.
 */
const SERVERS_PER_ROUND = 3
/** Largest number of servers queried before a decision. */
const MAX_QUERIED_SERVERS = 6
/** Servers outside the subset that are compared for a later round. */
const SAMPLE_SIZE = 24
/** Share of the query allowance of the service that is used for the members of subsets. */
const SUBSET_ALLOWANCE_SHARE = 0.6
/** Cost up to which an answer is accepted without waiting for others: a free slot at a server of usual speed. */
const ACCEPTED_COST = 1.2
/** Time in ms to wait for answers in a round. A healthy server answers within a round trip and the time of a probe. */
const ROUND_TIMEOUT_MS = 15
/** Pause in ms before servers are queried again if no answer was accepted. */
const ROUND_PAUSE_MS = 25
/** Share of the target time for which a call waits for a better server. Beyond that, a slow server is preferable. */
const MAX_WAIT_SHARE = 1 / 8
/** Occupancy above which a call costs more, because some servers slow down when they are nearly full. */
const HIGH_OCCUPANCY = 0.8
const HIGH_OCCUPANCY_COST = 0.5
/** Largest queue at a server to which a call is sent. Calls in a longer queue time out, or are refused or reset. */
const MAX_SERVER_QUEUE = 1
/** Time in ms after which the reported slowness of a server has half of its weight. */
const SLOWNESS_HALF_LIFE_MS = 250
/** Slowness assumed for a server without a report. */
const UNKNOWN_SLOWNESS = 1.5
/** Cost advantage of a server whose rate limit allows a call now: what is not used of a limit is lost. */
const RATE_LIMIT_BONUS = 1
/** Extra cost of a server in another failure domain, which avoids traffic between domains. */
const OTHER_DOMAIN_COST = 1
/** Extra cost of a server without an open connection. A new one costs it slot time and the entry a round trip. */
const NO_CONNECTION_COST = 0.5
/** Time in ms after its last answer for which a connection to a server is assumed to be open. */
const KEEP_ALIVE_MS = 9_000
/** Ramp relative to the largest ramp of the service from which a server counts as warm. */
const WARM_RAMP_SHARE = 0.6
/** Factor on the cost of a server that does not count as warm. */
const COLD_COST_FACTOR = 1.6
/** Free slots of a server that a call that yields leaves to others while it waits. */
const YIELDED_SLOTS = 1
const JITTER_STEPS = 1000
/** Largest random addition to the expected cost, which spreads load queries over servers of similar cost. */
const MAX_JITTER = 0.4
const MS_PER_SECOND = 1000
/** Largest burst of load queries to one server. */
const QUERY_BURST = 20
/** Time in ms for which a service is not queried after `NO_LOAD_ANSWERS` answers without a load report. */
const NO_LOAD_PAUSE_MS = 30_000
const NO_LOAD_ANSWERS = 5

/** Result of a load query: the load, an answer without a load report, or a refusal. */
export type LoadQueryResult =
  | { readonly kind: 'load'; readonly load: Load }
  | { readonly kind: 'no-load' }
  /** The server refused the query or closed the connection; it accepts no calls right now. */
  | { readonly kind: 'refused' }

/** Interface through which load queries use the pool of a service. */
export interface LoadQueryHost {
  /** Servers that are not evacuated. */
  readonly records: () => readonly ServerRecord[]
  /** Servers that this entry queries first. */
  readonly subset: () => readonly ServerRecord[]
  /** Whether a server of the service may have a rate limit or be cold. */
  readonly hasLimits: () => boolean
  /** Largest ramp of any server of the service. */
  readonly maxRamp: () => number
  /** Sends the call to the server. */
  readonly send: (call: Call, record: ServerRecord, now: number, effects: Effect[]) => void
  /** Sheds the call because no server can run it in time. */
  readonly shed: (call: Call, effects: Effect[]) => void
  /** Sends or queues the call by estimates, because no load is known. */
  readonly submitByEstimate: (call: Call, now: number, effects: Effect[]) => void
}

interface Answer {
  readonly record: ServerRecord
  readonly cost: number
  readonly isFull: boolean
  readonly freeSlots: number
}

interface LoadQuery {
  readonly call: Call
  readonly host: LoadQueryHost
  readonly startedAt: number
  readonly queried: Set<ServerId>
  answers: Answer[]
  /** Servers queried in this round that have not answered. */
  pending: Map<ServerId, ServerRecord>
  decideAt: number
  isPaused: boolean
}

export interface LoadQueriesOptions {
  readonly random: RandomSource
  /** Load queries that this entry may send to one server per second, if all entries send to all servers. */
  readonly perServerPerSecond: () => number
  /** Id of this entry. */
  readonly entry: string
  /** Failure domain of this entry. */
  readonly domain: string
}

export class LoadQueries {
  readonly #options: LoadQueriesOptions
  readonly #queries = new Map<CallId, LoadQuery>()
  /** Services whose servers answer without a load report: the number of such answers and the end of the pause in ms. */
  readonly #withoutLoad = new Map<string, { answers: number; until: number }>()

  constructor(options: LoadQueriesOptions) {
    this.#options = options
  }

  /** Queries servers for the call; false if none may be queried. */
  start(call: Call, host: LoadQueryHost, now: number, effects: Effect[]): boolean {
    if (now < (this.#withoutLoad.get(call.service)?.until ?? 0)) return false
    const query: LoadQuery = {
      call,
      host,
      startedAt: now,
      queried: new Set(),
      answers: [],
      pending: new Map(),
      decideAt: now,
      isPaused: false,
    }
    if (!this.#startRound(query, now, effects)) return false
    this.#queries.set(call.id, query)
    return true
  }

  answered(id: CallId, server: ServerId, result: LoadQueryResult, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const query = this.#queries.get(id)
    const record = query?.pending.get(server)
    if (query === undefined || record === undefined) return effects
    query.pending.delete(server)
    if (!record.isRemoved) this.#recordAnswer(query, record, result, now)
    this.#advance(query, now, effects)
    return effects
  }

  /** Ends the load query of a call; false if there is none. */
  cancel(id: CallId): boolean {
    return this.#queries.delete(id)
  }

  tick(now: number, effects: Effect[]): void {
    for (const query of [...this.#queries.values()]) {
      if (now < query.decideAt) continue
      if (query.isPaused) this.#restart(query, now, effects)
      else this.#decide(query, now, effects)
    }
  }

  nextWake(): number {
    let next = Number.POSITIVE_INFINITY
    for (const { decideAt } of this.#queries.values()) next = Math.min(next, decideAt)
    return next
  }

  #recordAnswer(query: LoadQuery, record: ServerRecord, result: LoadQueryResult, now: number): void {
    switch (result.kind) {
      case 'load': {
        this.#withoutLoad.delete(query.call.service)
        const coldFactor = coldCostFactor(query.host, record, now)
        query.answers.push({ record, ...costOf(result.load, coldFactor) })
        return
      }
      case 'no-load': {
        const known = this.#withoutLoad.get(query.call.service) ?? { answers: 0, until: 0 }
        known.answers += 1
        if (known.answers % NO_LOAD_ANSWERS === 0) known.until = now + NO_LOAD_PAUSE_MS
        this.#withoutLoad.set(query.call.service, known)
        return
      }
      case 'refused':
        record.recordQueryRefusal(now)
        query.answers.push({ record, cost: Number.POSITIVE_INFINITY, isFull: true, freeSlots: 0 })
    }
  }

  #advance(query: LoadQuery, now: number, effects: Effect[]): void {
    const best = bestAnswer(query, now)
    if (best !== undefined && isAcceptable(query, best)) this.#send(query, best.record, now, effects)
    else if (query.pending.size === 0 && !query.isPaused) this.#decide(query, now, effects)
  }

  /** Ends a round: takes a good answer, queries further servers, pauses, takes the best answer, or gives up. */
  #decide(query: LoadQuery, now: number, effects: Effect[]): void {
    const best = bestAnswer(query, now)
    if (best !== undefined && isAcceptable(query, best)) {
      this.#send(query, best.record, now, effects)
      return
    }
    if (query.queried.size < MAX_QUERIED_SERVERS && this.#startRound(query, now, effects)) return
    const { call, host } = query
    if (call.onlyIfFree === true) {
      this.#queries.delete(call.id)
      host.shed(call, effects)
      return
    }
    const maxWait = (call.target ?? call.deadline - query.startedAt) * MAX_WAIT_SHARE
    const hasWaited = now - query.startedAt >= maxWait
    if (best !== undefined && mayTakeBest(query, best, hasWaited)) {
      this.#send(query, best.record, now, effects)
      return
    }
    if (!hasWaited) {
      query.isPaused = true
      query.decideAt = now + ROUND_PAUSE_MS
      return
    }
    this.#queries.delete(call.id)
    const areAllFull = query.answers.length > 0 && query.answers.every(({ isFull }) => isFull)
    const leavesSlots = call.yields === true && query.answers.length > 0
    if (areAllFull || leavesSlots) host.shed(call, effects)
    else host.submitByEstimate(call, now, effects)
  }

  #restart(query: LoadQuery, now: number, effects: Effect[]): void {
    query.isPaused = false
    query.queried.clear()
    query.answers = []
    if (!this.#startRound(query, now, effects)) {
      this.#queries.delete(query.call.id)
      query.host.submitByEstimate(query.call, now, effects)
    }
  }

  #send(query: LoadQuery, record: ServerRecord, now: number, effects: Effect[]): void {
    this.#queries.delete(query.call.id)
    query.host.send(query.call, record, now, effects)
  }

  #startRound(query: LoadQuery, now: number, effects: Effect[]): boolean {
    const callable = this.#candidates(query, now)
    const servers = [...callable, ...this.#limitsToRefresh(query, callable.length, now)]
    if (servers.length === 0) return false
    for (const { server } of servers) query.queried.add(server.id)
    query.pending = new Map(servers.map((record) => [record.server.id, record]))
    query.decideAt = now + ROUND_TIMEOUT_MS
    effects.push({ kind: 'query-load', call: query.call.id, servers: [...query.pending.keys()] })
    return true
  }

  /** Returns the servers for the next round: members of the subset first, in later rounds a sample of all servers. */
  #candidates(query: LoadQuery, now: number): readonly ServerRecord[] {
    const { host, queried } = query
    const subset = host.subset()
    const rate = this.#queryRate(host, subset, now)
    if (subset.length === host.records().length) return this.#rank(query, subset, rate, now)
    const share = (rate * SUBSET_ALLOWANCE_SHARE * host.records().length) / Math.max(1, subset.length)
    const members = queried.size === 0 ? this.#rank(query, subset, share, now) : []
    if (members.length === SERVERS_PER_ROUND) return members
    const others = this.#rank(query, this.#sample(host.records()), rate * (1 - SUBSET_ALLOWANCE_SHARE), now)
    return [...members, ...others.filter((record) => !members.includes(record))].slice(0, SERVERS_PER_ROUND)
  }

  /**
   * Load queries per ms that this entry may send to one server. Servers that their limit keeps from calls are not
   * queried, so the others may be queried more often.
   */
  #queryRate(host: LoadQueryHost, subset: readonly ServerRecord[], now: number): number {
    const rate = this.#options.perServerPerSecond() / MS_PER_SECOND
    if (!host.hasLimits()) return rate
    const callable = subset.filter((record) => isEligible(record, 'load-query', now)).length
    return (rate * subset.length) / Math.max(1, callable)
  }

  /** Returns the usable servers of lowest expected cost and takes a query token of each. */
  #rank(
    { call, host, queried }: LoadQuery,
    records: readonly ServerRecord[],
    rate: number,
    now: number,
  ): readonly ServerRecord[] {
    const ranked = records
      .filter((record) => isQueryCandidate(record, 'load-query', now) && !queried.has(record.server.id))
      .filter(
        (record) => call.triedServers?.includes(record.server.id) !== true && record.mayQuery(rate, QUERY_BURST, now),
      )
      .map((record) => ({ record, cost: this.#expectedCost(host, record, now) }))
      .sort((left, right) => left.cost - right.cost)
      .slice(0, SERVERS_PER_ROUND)
    for (const { record } of ranked) record.takeQueryToken()
    return ranked.map(({ record }) => record)
  }

  /** Returns servers whose limit keeps calls away but may have ended: one, or several if no other is callable. */
  #limitsToRefresh({ host, queried }: LoadQuery, callable: number, now: number): readonly ServerRecord[] {
    if (!host.hasLimits()) return []
    const rate = this.#options.perServerPerSecond() / MS_PER_SECOND
    const servers = host
      .subset()
      .filter((record) => isEligible(record, 'limit-query', now) && !queried.has(record.server.id))
      .filter((record) => record.mayQuery(rate, QUERY_BURST, now))
      .slice(0, callable === 0 ? SERVERS_PER_ROUND : 1)
    for (const server of servers) server.takeQueryToken()
    return servers
  }

  /** Returns a run of neighbouring servers at a random place, so that a query costs the same in a large service. */
  #sample(records: readonly ServerRecord[]): readonly ServerRecord[] {
    if (records.length <= SAMPLE_SIZE) return records
    const offset = randomInt(this.#options.random, records.length)
    return Array.from({ length: SAMPLE_SIZE }, (_, step) => records[(offset + step) % records.length]).filter(
      (record) => record !== undefined,
    )
  }

  /** Estimates the cost of a server before it is queried. */
  #expectedCost(host: LoadQueryHost, record: ServerRecord, now: number): number {
    const weight = 0.5 ** ((now - record.slownessReportedAt) / SLOWNESS_HALF_LIFE_MS)
    const slowness = record.slowness * weight + UNKNOWN_SLOWNESS * (1 - weight)
    const occupancyCost = record.ownInFlight / record.server.slots
    const domainCost = record.server.domain === this.#options.domain ? 0 : OTHER_DOMAIN_COST
    const jitter = (randomInt(this.#options.random, JITTER_STEPS) / JITTER_STEPS) * MAX_JITTER
    const connectionCost = now - record.lastAnswerAt < KEEP_ALIVE_MS ? 0 : NO_CONNECTION_COST
    const bonus = record.rateLimit === undefined ? 0 : RATE_LIMIT_BONUS
    return slowness * coldCostFactor(host, record, now) + occupancyCost + domainCost + connectionCost + jitter - bonus
  }
}

/** Cost factor of a cold or new server, which is slow at first. It is 1 if all are new, as after a restart of the entry. */
function coldCostFactor(host: LoadQueryHost, record: ServerRecord, now: number): number {
  return record.warmth.isCold(now) || record.ramp(now) < host.maxRamp() * WARM_RAMP_SHARE ? COLD_COST_FACTOR : 1
}

/** Answers of servers that may not get a call now do not count. */
function bestAnswer({ answers }: LoadQuery, now: number): Answer | undefined {
  let best: Answer | undefined
  for (const answer of answers) {
    if (!isQueryCandidate(answer.record, 'call', now)) continue
    if (best === undefined || answer.cost < best.cost) best = answer
  }
  return best
}

/** Whether the server is taken without waiting for further answers. */
function isAcceptable({ call }: LoadQuery, { cost, freeSlots }: Answer): boolean {
  return cost <= ACCEPTED_COST && (call.yields !== true || freeSlots > YIELDED_SLOTS)
}

/** Whether the best server known is taken although it is not quite free. */
function mayTakeBest({ call }: LoadQuery, { cost, isFull, freeSlots }: Answer, hasWaited: boolean): boolean {
  if (call.yields === true) return hasWaited && freeSlots > 0
  return !isFull && (cost <= 2 || hasWaited)
}

/** Time that one more call takes at the server, relative to a call at an idle server of usual speed. */
function costOf(load: Load, coldFactor: number): Omit<Answer, 'record'> {
  const { slots, inflight, queue, slowness = 1 } = load
  const occupied = inflight + queue
  const queueRounds = Math.max(0, occupied + 1 - slots) / slots
  const highOccupancyCost = (occupied + 1) / slots > HIGH_OCCUPANCY ? HIGH_OCCUPANCY_COST : 0
  return {
    cost: slowness * (1 + queueRounds + highOccupancyCost) * coldFactor,
    isFull: occupied >= slots + MAX_SERVER_QUEUE,
    freeSlots: Math.max(0, slots - occupied),
  }
}
