/** Guards against entries that together send a server more calls than the rate limit that it named. */
import {
  failureDomain,
  seededRandom,
  serverId,
  serviceName,
  type RandomSource,
  type ServerId,
} from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { callId, callInterval, Router, type Effect } from '../src/index'

const SERVICE = serviceName('slots')
const DOMAIN = failureDomain('domain-1')
const WORK_MS = 120
const ANSWER_MS = 2
/** Time in ms in which entries must have learned of a limit. */
const LEARNING_MS = 3000
const WINDOW_MS = 4000
const TOLERANCE = 1.5
const EXTRA_CALLS = 5

interface Scenario {
  readonly entries: number
  readonly servers: number
  /** Number of servers that name a limit. */
  readonly limited: number
  readonly rate: number
  /** Calls per second of all entries. */
  readonly callsPerSecond: number
  readonly queriesLoad: boolean
  /** Time in ms at which the limits end. */
  readonly limitEndsAt?: number
}

interface Outcome {
  /** Arrival times of the calls of each server. */
  readonly arrivals: ReadonlyMap<ServerId, readonly number[]>
  readonly shed: readonly { readonly arrivedAt: number; readonly shedAt: number }[]
}

const DURATION_MS = 20_000

/** Plays entries that share servers, with fixed work and answer times. Every response names the limit of its server. */
class Simulation {
  readonly #scenario: Scenario
  readonly #random: RandomSource
  readonly #routers: readonly Router[]
  readonly #events = new Map<number, (() => void)[]>()
  readonly #arrivals = new Map<ServerId, number[]>()
  readonly #arrivedAt = new Map<number, number>()
  readonly #shed: { arrivedAt: number; shedAt: number }[] = []
  #now = 0

  constructor(scenario: Scenario, seed: number) {
    this.#scenario = scenario
    this.#random = seededRandom(seed)
    const ids = Array.from({ length: scenario.entries }, (_, index) => `entry-${index}`).sort()
    this.#routers = ids.map((entry, index) => this.#makeRouter(entry, ids, seed + index))
  }

  run(): Outcome {
    let id = 0
    for (this.#now = 0; this.#now < DURATION_MS; this.#now += 1) {
      for (const event of this.#events.get(this.#now) ?? []) event()
      this.#events.delete(this.#now)
      for (let due = this.#scenario.callsPerSecond / 1000; due > 0; due -= 1) {
        if (this.#random() < due) this.#submit((id += 1))
      }
      for (const router of this.#routers)
        if (router.nextWake() <= this.#now) this.#apply(router, router.tick(this.#now))
    }
    return { arrivals: this.#arrivals, shed: this.#shed }
  }

  #makeRouter(entry: string, entries: readonly string[], seed: number): Router {
    const loadQueries = { perServerPerSecond: () => 20, entry, domain: DOMAIN }
    const router = new Router({
      random: seededRandom(seed),
      limitSharing: { entry, entries: () => entries },
      ...(this.#scenario.queriesLoad ? { loadQueries } : {}),
    })
    for (let index = 0; index < this.#scenario.servers; index += 1) {
      const id = serverId(`server-${index}`)
      router.updateServer({ id, service: SERVICE, domain: DOMAIN, slots: 3, state: 'ready', firstSeen: -60_000 }, 0)
    }
    return router
  }

  #submit(id: number): void {
    const router = this.#routers[Math.floor(this.#random() * this.#routers.length)]!
    this.#arrivedAt.set(id, this.#now)
    const times = { deadline: this.#now + 1000, target: 300 }
    this.#apply(
      router,
      router.submit({ id: callId(id), service: SERVICE, urgency: 'urgent', repeatable: true, ...times }, this.#now),
    )
  }

  #apply(router: Router, effects: readonly Effect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'dispatch': {
          this.#arrivals.set(effect.server, [...(this.#arrivals.get(effect.server) ?? []), this.#now])
          router.started(effect.call, this.#now)
          this.#after(WORK_MS, () => {
            this.#report(router, effect.server)
            this.#apply(router, router.finished(effect.call, 'ok', WORK_MS, undefined, this.#now))
          })
          break
        }
        case 'query-load':
          for (const server of effect.servers) {
            this.#after(ANSWER_MS, () => {
              this.#report(router, server)
              const load = { inflight: 0, queue: 0, slots: 3 }
              this.#apply(router, router.answered(effect.call, server, { kind: 'load', load }, this.#now))
            })
          }
          break
        case 'shed':
          this.#shed.push({ arrivedAt: this.#arrivedAt.get(effect.call) ?? 0, shedAt: this.#now })
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

  #report(router: Router, server: ServerId): void {
    const { limited, rate, limitEndsAt = Infinity } = this.#scenario
    const isLimited = Number(server.slice('server-'.length)) < limited && this.#now < limitEndsAt
    this.#apply(router, router.rateLimitReported(server, isLimited ? rate : undefined, this.#now))
  }

  #after(delay: number, event: () => void): void {
    const at = this.#now + delay
    this.#events.set(at, [...(this.#events.get(at) ?? []), event])
  }
}

/** Largest number of arrivals within any window that starts after `from`. */
function busiestWindow(times: readonly number[], from: number): number {
  return Math.max(
    0,
    ...times
      .filter((start) => start >= from)
      .map((start) => times.filter((time) => time >= start && time < start + WINDOW_MS).length),
  )
}

const SCENARIOS: readonly (readonly [string, Scenario])[] = [
  [
    'most servers of a service',
    { entries: 11, servers: 16, limited: 11, rate: 3, callsPerSecond: 90, queriesLoad: true },
  ],
  [
    'all servers of a service',
    { entries: 11, servers: 8, limited: 8, rate: 2.2, callsPerSecond: 40, queriesLoad: true },
  ],
  [
    'servers that take less than a call a second',
    { entries: 9, servers: 8, limited: 4, rate: 0.4, callsPerSecond: 40, queriesLoad: true },
  ],
  ['a large fleet', { entries: 45, servers: 53, limited: 37, rate: 3.5, callsPerSecond: 280, queriesLoad: true }],
  [
    'entries that query no load',
    { entries: 7, servers: 8, limited: 6, rate: 2.9, callsPerSecond: 45, queriesLoad: false },
  ],
]

test.each(SCENARIOS)('entries together keep the rate limits of %s', (_name, scenario) => {
  for (const seed of [1, 2, 3]) {
    const { arrivals } = new Simulation(scenario, seed).run()
    const allowed = (scenario.rate * TOLERANCE * WINDOW_MS) / 1000 + EXTRA_CALLS
    for (let index = 0; index < scenario.limited; index += 1) {
      const busiest = busiestWindow(arrivals.get(serverId(`server-${index}`)) ?? [], LEARNING_MS)
      expect(busiest).toBeLessThanOrEqual(allowed)
    }
  }
})

test('a limited service gets what it takes, and calls beyond that are refused on arrival', () => {
  const scenario = { entries: 11, servers: 8, limited: 8, rate: 2.5, callsPerSecond: 60, queriesLoad: true }
  const { arrivals, shed } = new Simulation(scenario, 1).run()
  const sent = [...arrivals.values()].flat().filter((time) => time >= LEARNING_MS).length
  const capacity = (scenario.servers * scenario.rate * (DURATION_MS - LEARNING_MS)) / 1000
  expect(sent).toBeGreaterThan(capacity * 0.7)
  const waits = shed
    .filter(({ arrivedAt }) => arrivedAt >= LEARNING_MS)
    .map(({ arrivedAt, shedAt }) => shedAt - arrivedAt)
  expect(waits.filter((wait) => wait <= 300 / 8).length / waits.length).toBeGreaterThan(0.9)
})

test('every entry uses a server again soon after its limit has ended', () => {
  const scenario = { entries: 11, servers: 4, limited: 4, rate: 1, callsPerSecond: 40, queriesLoad: true }
  const { shed } = new Simulation({ ...scenario, limitEndsAt: 10_000 }, 1).run()
  expect(shed.filter(({ arrivedAt }) => arrivedAt >= 12_000)).toEqual([])
})

test('an entry that queries no load sends a call now and then to learn whether a limit has ended', () => {
  const entries = ['entry-0', 'entry-1', 'entry-2', 'entry-3']
  const intervals = [0, 0.1, 1].map((rate) =>
    callInterval({ rate, position: 0, serverCount: 4 }, { entry: 'entry-3', entries: () => entries }, false),
  )
  expect(intervals).toEqual([80_000, 80_000, 20_000])
})

test('the parts of all entries add up to the rate, and each entry has a part if a service limits all servers', () => {
  const entries = Array.from({ length: 11 }, (_, index) => `entry-${String(index).padStart(2, '0')}`)
  const servers = Array.from({ length: 8 }, (_, position) => ({ rate: 2.5, position, serverCount: 8 }))
  const interval = (entry: string, server: (typeof servers)[number]) =>
    callInterval(server, { entry, entries: () => entries }, true)
  for (const server of servers) {
    const sum = entries.reduce((total, entry) => total + 1000 / interval(entry, server), 0)
    expect(sum).toBeCloseTo(server.rate)
  }
  for (const entry of entries) expect(servers.some((server) => Number.isFinite(interval(entry, server)))).toBe(true)
})
