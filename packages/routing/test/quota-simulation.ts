/** Entries and a leader that exchange quota shares without a network, under simulated demand. */
import { environmentName, nodeId, organisationName, seededRandom, type OrganisationName } from '@bilberrystall/base'
import {
  OrganisationQuotas,
  QuotaAllocator,
  type OrganisationRequest,
  type QuotaBounds,
  type QuotaLimit,
  type SettledQuota,
} from '../src/index'

export const BOUNDS: QuotaBounds = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const ENVIRONMENT = environmentName('production')
const STEP_MS = 5
const RENEWAL_MS = 1_000
const MIN_INTERVAL_MS = 100
const REQUEST_TIMEOUT_MS = 500
const RETRY_MS = 500
const ONE_WAY_MS = 10

/** Requests per second of an organisation, and how they divide among the entries. */
export interface Demand {
  readonly organisation: string
  readonly ratePerS: number
  /** Weight of each entry; entries beyond the list have the weight 0. */
  readonly weights: readonly number[]
}

export interface SimulationOptions {
  readonly entries: number
  readonly limits: readonly QuotaLimit[]
  readonly demand: (now: number) => readonly Demand[]
  readonly seed?: number
  readonly bounds?: QuotaBounds
  /** Time from an entry to the leader, and back; by default 10 ms. */
  readonly oneWayMs?: number
}

interface RequestInFlight {
  readonly sequence: bigint
  readonly isPartial: boolean
  readonly sentAt: number
  readonly organisations: readonly OrganisationRequest[]
  answer: ReturnType<QuotaAllocator['request']> | undefined
  answered: boolean
}

interface SimulatedEntry {
  readonly index: number
  quotas: OrganisationQuotas
  renewAt: number
  sentAt: number
  /** Time of the last request that states all organisations. */
  fullAt: number
  isUrgent: boolean
  isConnected: boolean
  inFlight: RequestInFlight | undefined
}

export interface Outcome {
  readonly at: number
  readonly entry: number
  readonly waitedMs: number
  readonly admitted: boolean
}

export class QuotaSimulation {
  readonly outcomes = new Map<string, Outcome[]>()
  readonly entries: SimulatedEntry[] = []
  readonly #options: SimulationOptions
  readonly #random: () => number
  readonly #names: readonly string[]
  now = 0
  /** Requests that reached the leader. */
  requests = 0
  /** Organisations stated in requests. */
  stated = 0
  leader: QuotaAllocator | undefined
  #limits: readonly QuotaLimit[]
  #sequence = 0n

  constructor(options: SimulationOptions) {
    this.#options = options
    this.#limits = options.limits
    this.#random = seededRandom(options.seed ?? 1)
    this.#names = Array.from({ length: options.entries }, (_, index) => `e${index}`)
    // The leader and the entries have been running for longer than a window when the demand begins.
    this.electLeader(-10_000)
    for (let index = 0; index < options.entries; index += 1) {
      this.entries.push({
        index,
        quotas: this.#startEntry(index, -10_000),
        renewAt: Math.floor(this.#random() * RENEWAL_MS),
        sentAt: -RENEWAL_MS,
        fullAt: -RENEWAL_MS,
        isUrgent: false,
        isConnected: true,
        inFlight: undefined,
      })
    }
  }

  electLeader(now = this.now): void {
    this.leader = new QuotaAllocator({ bounds: this.#options.bounds ?? BOUNDS })
    this.leader.becomeLeader(now)
    this.leader.configure(ENVIRONMENT, this.#limits, now)
  }

  setLimits(limits: readonly QuotaLimit[]): void {
    this.#limits = limits
    this.leader?.configure(ENVIRONMENT, limits, this.now)
    for (const { quotas } of this.entries) quotas.configure(limits, this.now)
  }

  restart(index: number): void {
    const entry = this.entries[index]
    if (entry === undefined) return
    entry.quotas = this.#startEntry(index, this.now)
    entry.inFlight = undefined
    entry.renewAt = this.now
  }

  runUntil(end: number): void {
    for (; this.now < end; this.now += STEP_MS) {
      this.#exchange()
      for (const demand of this.#options.demand(this.now)) this.#send(demand)
    }
  }

  /** Returns the most requests of the organisation that were admitted in any window that ends in the given time. */
  mostAdmitted(organisation: string, from = 0, to = Number.POSITIVE_INFINITY): number {
    const { windowMs } = this.#options.bounds ?? BOUNDS
    const times = this.#select(organisation, from - windowMs, to).flatMap(({ admitted, at }) => (admitted ? [at] : []))
    let first = 0
    let most = 0
    for (let last = 0; last < times.length; last += 1) {
      while (times[last]! - times[first]! > windowMs) first += 1
      if (times[last]! >= from) most = Math.max(most, last - first + 1)
    }
    return most
  }

  /** Returns the fraction of the organisation's requests that were refused. */
  refused(organisation: string, from = 0, to = Number.POSITIVE_INFINITY): number {
    const outcomes = this.#select(organisation, from, to)
    return outcomes.filter(({ admitted }) => !admitted).length / Math.max(1, outcomes.length)
  }

  /** Returns the fraction of the organisation's requests that waited for the leader. */
  waited(organisation: string, from = 0, to = Number.POSITIVE_INFINITY): number {
    const outcomes = this.#select(organisation, from, to)
    return outcomes.filter(({ waitedMs }) => waitedMs > 0).length / Math.max(1, outcomes.length)
  }

  admitted(organisation: string, from: number, to: number): number {
    return this.#select(organisation, from, to).filter(({ admitted }) => admitted).length
  }

  #select(organisation: string, from: number, to: number): Outcome[] {
    return (this.outcomes.get(organisation) ?? []).filter(({ at }) => at >= from && at < to)
  }

  #startEntry(index: number, startedAt: number): OrganisationQuotas {
    const quotas = new OrganisationQuotas({
      entry: this.#names[index]!,
      bounds: this.#options.bounds ?? BOUNDS,
      startedAt,
      onUsedUp: () => {
        this.entries[index]!.isUrgent = true
      },
    })
    quotas.configure(this.#limits, startedAt)
    quotas.observeEntries(this.#names, startedAt)
    return quotas
  }

  #exchange(): void {
    for (const entry of this.entries) {
      entry.quotas.expire(this.now)
      if (entry.inFlight !== undefined) this.#progress(entry, entry.inFlight)
      const isDue = this.now >= entry.renewAt || (entry.isUrgent && this.now - entry.sentAt >= MIN_INTERVAL_MS)
      if (entry.inFlight !== undefined || !isDue) continue
      entry.isUrgent = false
      entry.sentAt = this.now
      entry.quotas.observeEntries(this.#names, this.now)
      this.#sequence += 1n
      const isPartial = this.now < entry.renewAt
      const organisations = isPartial ? entry.quotas.urgentRequests(this.now) : entry.quotas.requests(this.now)
      if (!isPartial) entry.fullAt = this.now
      this.stated += organisations.length
      const request = { isPartial, sequence: this.#sequence, sentAt: this.now, organisations }
      entry.inFlight = { ...request, answer: undefined, answered: false }
    }
  }

  #progress(entry: SimulatedEntry, request: RequestInFlight): void {
    const age = this.now - request.sentAt
    const { oneWayMs = ONE_WAY_MS } = this.#options
    if (age >= oneWayMs && !request.answered && entry.isConnected && this.leader !== undefined) {
      request.answered = true
      this.requests += 1
      const { sequence, organisations, isPartial } = request
      const sender = { entry: nodeId(this.#names[entry.index]!), environment: ENVIRONMENT }
      request.answer = this.leader.request({ ...sender, sequence, organisations, isPartial }, this.now)
    }
    if (age >= 2 * oneWayMs && request.answer !== undefined && entry.isConnected) {
      entry.quotas.apply(request.answer, request.sentAt, this.now)
      entry.inFlight = undefined
      entry.renewAt = entry.fullAt + RENEWAL_MS
    } else if (age >= REQUEST_TIMEOUT_MS) {
      entry.inFlight = undefined
      entry.renewAt = this.now + RETRY_MS
    }
  }

  #send({ organisation, ratePerS, weights }: Demand): void {
    const outcomes = this.outcomes.get(organisation) ?? []
    this.outcomes.set(organisation, outcomes)
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    let expected = (ratePerS * STEP_MS) / 1_000
    for (; this.#random() < expected; expected -= 1) {
      let position = this.#random() * total
      const index = weights.findIndex((weight) => (position -= weight) < 0)
      const entry = Math.max(0, index)
      const sentAt = this.now
      const settled = ({ kind }: SettledQuota) => {
        outcomes.push({ at: this.now, waitedMs: this.now - sentAt, entry, admitted: kind === 'admitted' })
      }
      const decision = this.entries[entry]!.quotas.take(organisationName(organisation), sentAt)
      if (decision.kind === 'pending') decision.onSettled(settled)
      else settled(decision)
    }
  }
}

export function limitOf(name: string, rate: number, burst: number): QuotaLimit {
  return { organisation: organisationName(name), rate, burst }
}

/** Requests that may run in a window with the tolerance. */
export function allowed({ rate, burst }: QuotaLimit, bounds = BOUNDS): number {
  return ((rate * bounds.windowMs) / 1_000 + burst) * (1 + bounds.overshoot) + bounds.slack
}

export type { OrganisationName }
