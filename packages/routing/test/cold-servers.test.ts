/** Guards against entries that together send a cold server more calls in a second than it survives. */
import { rendezvousWeight, seededRandom, serverId } from '@bilberrystall/base'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { coldInterval } from '../src/cold-limits'
import { coldShare, type WarmUp } from '../src/index'
import { busiestSecond, Fleet, type ColdPeriod, type FleetOutcome, type FleetScenario } from './cold-fleet'

const SEEDS = [1, 2]
const WARM_UP: WarmUp = { lengthMs: 5000, rate: 2 }
const COLD_FROM_MS = 6000
const COLD_UNTIL_MS = 11_000

const boundOf = ({ rate }: WarmUp) => rate * 1.5 + 8

/** A third of the servers, the first of each three, returns cold while the calls rise by half for three seconds. */
function returningDomain(change: Partial<FleetScenario>): FleetScenario {
  const cold = { from: COLD_FROM_MS, until: COLD_UNTIL_MS, isStart: true }
  return {
    entries: 44,
    servers: 60,
    domains: 3,
    durationMs: 12_000,
    warmUp: WARM_UP,
    callsPerSecond: (now) => (now >= COLD_FROM_MS && now < COLD_FROM_MS + 3000 ? 1000 : 600),
    cold: (server) => (server % 3 === 0 ? cold : undefined),
    ...change,
  }
}

/** Largest number of calls that a cold server got in a second of its cold time. */
function busiest({ arrivals }: FleetOutcome, cold: (server: number) => ColdPeriod | undefined): number {
  return Math.max(
    ...arrivals.map((times, server) => {
      const period = cold(server)
      return period === undefined ? 0 : busiestSecond(times, period.from, period.until - 1000)
    }),
  )
}

function play(scenario: FleetScenario, seed: number): FleetOutcome & { readonly busiest: number } {
  const outcome = new Fleet(scenario, seed).run()
  return { ...outcome, busiest: busiest(outcome, scenario.cold) }
}

test.each([44, 149])(
  'a third of the servers returns cold under a burst, and %i entries together keep the bound',
  (entries) => {
    for (const seed of SEEDS) {
      const { busiest, inTime, calls } = play(returningDomain({ entries }), seed)
      expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
      expect(busiest).toBeGreaterThan(0)
      // The other servers carry the load meanwhile.
      expect(inTime / calls).toBeGreaterThan(0.97)
    }
  },
)

test('a domain that returns cold keeps the bound before its servers say anything', () => {
  const cold = (server: number) =>
    server % 3 === 0 ? { from: COLD_FROM_MS, until: COLD_UNTIL_MS, isStart: true, isAnnounced: false } : undefined
  const { busiest } = play(returningDomain({ cold, queriesLoad: false }), 1)
  expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
})

/** Servers of a small service turn cold while they run. */
function coldAgain(change: Partial<FleetScenario>): FleetScenario {
  return {
    entries: 44,
    servers: 12,
    domains: 3,
    durationMs: 10_000,
    warmUp: WARM_UP,
    callsPerSecond: () => 220,
    cold: (server) => (server < 2 ? COLD_AGAIN : undefined),
    ...change,
  }
}
const COLD_AGAIN = { from: 4000, until: 9000, isStart: false }
const allCold = () => COLD_AGAIN

test.each([44, 149])('servers that turn cold again under load get no more than the bound of %i entries', (entries) => {
  for (const seed of SEEDS) {
    const { busiest, inTime, calls } = play(coldAgain({ entries }), seed)
    expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
    expect(inTime / calls).toBeGreaterThan(0.97)
  }
})

test('without a warm-up rate in the document, cold servers get what others get, and these loads exceed the bound', () => {
  for (const scenario of [returningDomain, coldAgain]) {
    expect(play(scenario({ warmUp: undefined }), 1).busiest).toBeGreaterThan(boundOf(WARM_UP))
  }
})

test.each([
  [44, 0.8],
  [149, 0.5],
])('if only cold servers are left, %i entries keep the bound and refuse the other calls early', (entries, share) => {
  const scenario = coldAgain({ entries, cold: allCold })
  const { busiest, shed, arrivals } = play(scenario, 1)
  expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
  const served = arrivals.flat().filter((at) => at >= 5000 && at < 9000).length / 4
  expect(served).toBeGreaterThan(scenario.servers * WARM_UP.rate * share)
  const refused = shed.filter(({ arrivedAt }) => arrivedAt >= 5000 && arrivedAt < 8500)
  expect(refused.length).toBeGreaterThan(500)
  for (const { code, retryAfterMs = 0, arrivedAt, shedAt } of refused) {
    expect(code).toBe('overloaded')
    expect(retryAfterMs).toBeGreaterThan(0)
    expect(retryAfterMs).toBeLessThanOrEqual(1000)
    // The deadline is 2 s.
    expect(shedAt - arrivedAt).toBeLessThan(1000)
  }
  const early = refused.filter(({ arrivedAt, shedAt }) => shedAt - arrivedAt <= 400 / 8 + 25)
  expect(early.length / refused.length).toBeGreaterThan(0.8)
})

/** Each entry lacks a fifth of the others, chosen anew every two seconds; the last two know only themselves. */
function partialViews(entries: number) {
  const views = new Map<string, readonly string[]>()
  return (entry: number, all: readonly string[], now: number): readonly string[] => {
    const own = all[entry]!
    const round = entry >= entries - 2 ? 'alone' : Math.floor(now / 2000)
    const key = `${entry} ${round}`
    const isKnown = (other: string) => other === own || (round !== 'alone' && rendezvousWeight(key, other) % 5 !== 0)
    const known = views.get(key) ?? all.filter(isKnown)
    views.set(key, known)
    return known
  }
}

test.each([44, 149])('%i entries that disagree on the list of entries keep the bound', (entries) => {
  for (const seed of SEEDS) {
    const { busiest } = play(coldAgain({ entries, cold: allCold, view: partialViews(entries) }), seed)
    expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
  }
})

test('an entry with most of the calls that learns late that servers are cold leaves the bound intact', () => {
  for (const seed of SEEDS) {
    const isDeaf = (entry: number, now: number) => entry === 0 && now >= 2500 && now < 7500
    const scenario = coldAgain({ cold: allCold, isDeaf, callsPerSecond: () => 250, firstEntryShare: 0.8 })
    const { busiest } = play(scenario, seed)
    expect(busiest).toBeLessThanOrEqual(boundOf(WARM_UP))
  }
})

test('the senders of a server stay below the bound whatever their phases, beside one that learns late', () => {
  const rates = fc.double({ min: 0, max: 200, noNaN: true })
  fc.assert(
    fc.property(rates, fc.integer({ min: 1, max: 400 }), (rate, entries) => {
      const { senders, interval } = coldShare({ lengthMs: 1000, rate }, entries)
      const late = Math.min(5, Math.floor(boundOf({ lengthMs: 0, rate }) / 2))
      expect(senders * Math.ceil(1000 / interval) + late).toBeLessThanOrEqual(boundOf({ lengthMs: 0, rate }))
      expect((senders * 1000) / interval).toBeLessThanOrEqual(Math.max(rate, 0.5) + 1e-9)
    }),
  )
})

test.each([
  [0.1, 5],
  [0.2, 0],
])('if entries lack a share of %d of the others, their senders may all send in one second', (lack, late) => {
  const random = seededRandom(5)
  for (const count of [44, 149]) {
    const entries = Array.from({ length: count }, (_, index) => `entry-${index}`)
    const views = entries.map((own) => entries.filter((other) => other === own || random() >= lack))
    for (const rate of [0.5, 2, 4, 10, 20, 50]) {
      for (let server = 0; server < 100; server += 1) {
        const warmUp = { lengthMs: 1000, rate }
        const intervals = entries.map((entry, index) =>
          coldInterval(serverId(`server-${server}`), warmUp, { entry, entries: () => views[index]! }),
        )
        const calls = intervals.reduce((sum, interval) => sum + Math.ceil(1000 / interval), 0)
        expect(calls + Math.min(late, boundOf(warmUp) / 2)).toBeLessThanOrEqual(boundOf(warmUp))
      }
    }
  }
})

test('the senders of 44 and 149 entries together send up to the rate', () => {
  const sums = [44, 149].flatMap((entries) =>
    [0.5, 2, 4, 10, 20, 50].map((rate) => {
      const { senders, interval } = coldShare({ lengthMs: 1000, rate }, entries)
      return `${entries} entries, ${rate}/s: ${senders} senders, ${((senders * 1000) / interval).toFixed(1)}/s`
    }),
  )
  expect(sums).toMatchInlineSnapshot(`
    [
      "44 entries, 0.5/s: 2 senders, 0.5/s",
      "44 entries, 2/s: 4 senders, 2.0/s",
      "44 entries, 4/s: 6 senders, 4.0/s",
      "44 entries, 10/s: 12 senders, 9.6/s",
      "44 entries, 20/s: 23 senders, 18.4/s",
      "44 entries, 50/s: 44 senders, 35.2/s",
      "149 entries, 0.5/s: 2 senders, 0.5/s",
      "149 entries, 2/s: 4 senders, 2.0/s",
      "149 entries, 4/s: 6 senders, 4.0/s",
      "149 entries, 10/s: 12 senders, 9.6/s",
      "149 entries, 20/s: 23 senders, 18.4/s",
      "149 entries, 50/s: 55 senders, 44.0/s",
    ]
  `)
})
