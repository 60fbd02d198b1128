/**
 * Plays a fleet of entries that share servers, some of which are cold, with the decision code of each entry. Servers
 * announce themselves every 1.5 s, gossip reaches each entry after a delay of its own, and load queries say for how long
 * a server is cold.
 */
import {
  failureDomain,
  seededRandom,
  serverId,
  serviceName,
  type RandomSource,
  type ServerId,
} from '@bilberrystall/base'
import { callId, Router, type Effect, type Shed, type WarmUp } from '../src/index'

export const SERVICE = serviceName('slots')
const WORK_MS = 120
const COLD_WORK_MS = 180
const NETWORK_MS = 1
const ANNOUNCEMENT_INTERVAL_MS = 1500
const MIN_GOSSIP_MS = 50
const GOSSIP_SPREAD_MS = 400
const SLOTS = 3
const TARGET_MS = 400
const QUERIES_PER_SERVER = 40
const ALLOWANCE_FRACTION = 0.6

export interface ColdPeriod {
  readonly from: number
  readonly until: number
  /** Whether a new process starts; otherwise the running one turns cold. */
  readonly isStart: boolean
  /** Whether the announcements of the server say that it is cold, default true. */
  readonly isAnnounced?: boolean
}

export interface FleetScenario {
  readonly entries: number
  readonly servers: number
  readonly domains: number
  readonly durationMs: number
  readonly warmUp: WarmUp | undefined
  /** Calls per second of all entries at a time. */
  readonly callsPerSecond: (now: number) => number
  /** Cold time of a server; undefined: it is warm throughout. */
  readonly cold: (server: number) => ColdPeriod | undefined
  /** Whether calls query the load, default true. */
  readonly queriesLoad?: boolean
  /** Share of the calls that the first entry receives; the others share the rest evenly. Default: all alike. */
  readonly firstEntryShare?: number
  /** Entries that an entry knows; the same array while nothing changed. Default: all. */
  readonly view?: (entry: number, all: readonly string[], now: number) => readonly string[]
  /** Whether an entry hears neither gossip nor answers to load queries. */
  readonly isDeaf?: (entry: number, now: number) => boolean
  readonly onStep?: (routers: readonly Router[], now: number) => void
}

export interface FleetOutcome {
  /** Times at which calls reached each server. */
  readonly arrivals: readonly (readonly number[])[]
  readonly shed: readonly (Shed & { readonly arrivedAt: number; readonly shedAt: number })[]
  readonly calls: number
  /** Calls that ended with a response within their target. */
  readonly inTime: number
}

const allEntries = (_entry: number, all: readonly string[]) => all

interface SimulatedServer {
  readonly id: ServerId
  readonly index: number
  readonly arrivals: number[]
  readonly waiting: (() => void)[]
  running: number
}

export class Fleet {
  readonly #scenario: FleetScenario
  readonly #random: RandomSource
  readonly #routers: readonly Router[]
  readonly #servers: readonly SimulatedServer[]
  readonly #events = new Map<number, (() => void)[]>()
  readonly #arrivedAt = new Map<number, number>()
  readonly #shed: (Shed & { arrivedAt: number; shedAt: number })[] = []
  #inTime = 0
  #now = 0

  constructor(scenario: FleetScenario, seed: number) {
    this.#scenario = scenario
    this.#random = seededRandom(seed)
    const ids = Array.from({ length: scenario.entries }, (_, index) => `entry-${String(index).padStart(3, '0')}`)
    this.#servers = Array.from({ length: scenario.servers }, (_, index): SimulatedServer => ({
      id: serverId(`server-${index}`),
      index,
      arrivals: [],
      waiting: [],
      running: 0,
    }))
    this.#routers = ids.map((entry, index) => this.#makeRouter(entry, index, ids, seed))
  }

  run(): FleetOutcome {
    const { durationMs, callsPerSecond, onStep } = this.#scenario
    for (const server of this.#servers) this.#schedule(server)
    let calls = 0
    for (this.#now = 0; this.#now < durationMs; this.#now += 1) {
      for (const event of this.#events.get(this.#now) ?? []) event()
      this.#events.delete(this.#now)
      onStep?.(this.#routers, this.#now)
      for (let due = callsPerSecond(this.#now) / 1000; due > 0; due -= 1) {
        if (this.#random() < due) this.#submit((calls += 1))
      }
      for (const [index, router] of this.#routers.entries())
        if (router.nextWake() <= this.#now) this.#apply(index, router.tick(this.#now))
    }
    return { arrivals: this.#servers.map(({ arrivals }) => arrivals), shed: this.#shed, calls, inTime: this.#inTime }
  }

  #makeRouter(entry: string, index: number, ids: readonly string[], seed: number): Router {
    const { view = allEntries, warmUp, entries, queriesLoad = true } = this.#scenario
    const domain = this.#domain(index)
    const rate = (QUERIES_PER_SERVER * ALLOWANCE_FRACTION) / entries
    const router = new Router({
      random: seededRandom(seed * 1000 + index),
      coldSharing: { entry, entries: () => view(index, ids, this.#now) },
      ...(queriesLoad ? { loadQueries: { perServerPerSecond: () => rate, entry, domain } } : {}),
    })
    router.configure(SERVICE, { warmUp }, 0)
    for (const server of this.#servers) this.#update(router, server, 0, 0)
    return router
  }

  #domain(index: number) {
    return failureDomain(`domain-${index % this.#scenario.domains}`)
  }

  #update(router: Router, server: SimulatedServer, start: number, coldMs: number): readonly Effect[] {
    const known = { id: server.id, service: SERVICE, domain: this.#domain(server.index), slots: SLOTS }
    const firstSeen = start === 0 ? -60_000 : this.#now
    return router.updateServer({ ...known, state: 'ready', firstSeen, start, coldMs }, this.#now)
  }

  /** Schedules the announcements during the cold time of a server, and its absence before a start. */
  #schedule(server: SimulatedServer): void {
    const period = this.#scenario.cold(server.index)
    if (period === undefined) return
    const { from, until, isStart, isAnnounced = true } = period
    const start = isStart ? from : 0
    if (isStart) {
      for (const router of this.#routers) router.removeServer(server.id, 0)
    }
    const first = isStart ? from : from + Math.floor(this.#random() * ANNOUNCEMENT_INTERVAL_MS)
    for (let at = first; at < until + ANNOUNCEMENT_INTERVAL_MS; at += ANNOUNCEMENT_INTERVAL_MS) {
      if (!isAnnounced && at !== first) return
      // Later announcements that agree with the first one are not gossiped.
      if (at !== first && at < until) continue
      const coldMs = isAnnounced ? Math.max(0, until - at) : 0
      for (const [index, router] of this.#routers.entries()) {
        const delay = MIN_GOSSIP_MS + Math.floor(this.#random() * GOSSIP_SPREAD_MS)
        this.#at(at + delay, () => {
          if (this.#scenario.isDeaf?.(index, this.#now) === true) return
          this.#apply(index, this.#update(router, server, start, coldMs))
        })
      }
    }
  }

  #submit(id: number): void {
    const { firstEntryShare = 0 } = this.#scenario
    const index = this.#random() < firstEntryShare ? 0 : Math.floor(this.#random() * this.#routers.length)
    this.#arrivedAt.set(id, this.#now)
    const times = { deadline: this.#now + 2000, target: TARGET_MS }
    const call = { id: callId(id), service: SERVICE, urgency: 'urgent', repeatable: true, ...times } as const
    this.#apply(index, this.#routers[index]!.submit(call, this.#now))
  }

  #apply(index: number, effects: readonly Effect[]): void {
    const router = this.#routers[index]!
    for (const effect of effects) {
      switch (effect.kind) {
        case 'dispatch': {
          const sentAt = this.#now
          router.started(effect.call, sentAt)
          const server = this.#server(effect.server)
          this.#at(this.#now + NETWORK_MS, () => {
            this.#arrive(server, () => {
              const latency = this.#now - sentAt
              if (this.#now - (this.#arrivedAt.get(effect.call) ?? 0) <= TARGET_MS) this.#inTime += 1
              this.#apply(index, router.finished(effect.call, 'ok', latency, this.#load(server), this.#now))
            })
          })
          break
        }
        case 'query-load':
          for (const id of effect.servers) {
            this.#at(this.#now + 2 * NETWORK_MS, () => {
              if (this.#scenario.isDeaf?.(index, this.#now) === true) return
              const server = this.#server(id)
              router.warmUpReported(id, this.#coldMs(server), this.#now)
              const result = { kind: 'load', load: this.#load(server) } as const
              this.#apply(index, router.answered(effect.call, id, result, this.#now))
            })
          }
          break
        case 'shed':
          this.#shed.push({ ...effect, arrivedAt: this.#arrivedAt.get(effect.call) ?? 0, shedAt: this.#now })
          break
        case 'probe':
        case 'leaving':
        case 'paused':
        case 'ejected':
        case 'restored':
        case 'limited':
        case 'unlimited':
        case 'cold':
        case 'warm':
      }
    }
  }

  #server(id: ServerId): SimulatedServer {
    return this.#servers[Number(id.slice('server-'.length))]!
  }

  #coldMs(server: SimulatedServer): number {
    const period = this.#scenario.cold(server.index)
    return period !== undefined && this.#now >= period.from ? Math.max(0, period.until - this.#now) : 0
  }

  #load({ running, waiting }: SimulatedServer) {
    return { inflight: running, queue: waiting.length, slots: SLOTS }
  }

  #arrive(server: SimulatedServer, done: () => void): void {
    server.arrivals.push(this.#now)
    if (server.running < SLOTS) this.#work(server, done)
    else server.waiting.push(done)
  }

  #work(server: SimulatedServer, done: () => void): void {
    server.running += 1
    this.#at(this.#now + (this.#coldMs(server) > 0 ? COLD_WORK_MS : WORK_MS), () => {
      server.running -= 1
      const next = server.waiting.shift()
      if (next !== undefined) this.#work(server, next)
      done()
    })
  }

  #at(time: number, event: () => void): void {
    const events = this.#events.get(time)
    if (events === undefined) this.#events.set(time, [event])
    else events.push(event)
  }
}

/** Largest number of arrivals in a second that begins between `from` and `until`. */
export function busiestSecond(times: readonly number[], from: number, until: number): number {
  let busiest = 0
  let end = 0
  for (const [first, start] of times.entries()) {
    if (start < from || start >= until) continue
    while (end < times.length && (times[end] ?? 0) < start + 1000) end += 1
    busiest = Math.max(busiest, end - first)
  }
  return busiest
}
