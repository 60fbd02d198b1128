/** Quotas over 44 simulated entries: each test counts the admitted requests in every window of 5 s. */
import { environmentName, nodeId, organisationName, seededRandom } from '@bilberrystall/base'
import { describe, expect, test } from 'vitest'
import { OrganisationQuotas, QuotaAllocator, type OrganisationRequest, type QuotaExcess } from '../src/index'
import { allowed, BOUNDS, limitOf, QuotaSimulation, type Demand } from './quota-simulation'

const ENTRIES = 44
const EVEN = Array.from({ length: ENTRIES }, () => 1)
/** The first entry gets 44 times the requests of the last. */
const UNEVEN = Array.from({ length: ENTRIES }, (_, index) => 1 / (index + 1))
const USUAL_FRACTION = 1 / 1.6
const EXCESS_FACTOR = 7

const HARDLY_REFUSED = 0.01

const onlyAt = (entry: number) => EVEN.map((_, index) => (index === entry ? 1 : 0))

describe('72 organisations with 590 requests/s, whose limits are 1.6 times their usual rate', () => {
  const sizes = Array.from({ length: 72 }, (_, index) => 1 / (index + 3))
  const sum = sizes.reduce((total, size) => total + size, 0)
  const usual = sizes.map((size) => (590 * size) / sum)
  const limits = usual.map((rate, index) => limitOf(`o${index}`, rate * 1.6, rate * 1.6))

  // Guards against an organisation that takes the quota of others, and against refusals where demand is uneven.
  test('one at seven times its usual rate gets its quota, and the others are hardly refused', () => {
    const busy = 8
    const demand = usual.map((rate, index): Demand => {
      const weights = UNEVEN.map((_, entry) => UNEVEN[(entry + index * 7) % ENTRIES]!)
      return { organisation: `o${index}`, ratePerS: rate, weights }
    })
    const excessive = { ...demand[busy]!, ratePerS: usual[busy]! * EXCESS_FACTOR }
    const simulation = new QuotaSimulation({
      entries: ENTRIES,
      limits,
      demand: (now) => (now < 5_000 ? demand : demand.with(busy, excessive)),
    })
    simulation.runUntil(20_000)
    for (const limit of limits) {
      expect(simulation.mostAdmitted(limit.organisation)).toBeLessThanOrEqual(allowed(limit))
    }
    expect(simulation.admitted(`o${busy}`, 10_000, 20_000)).toBeGreaterThan(limits[busy]!.rate * 10 * 0.9)
    const others = demand.filter((_, index) => index !== busy)
    const refused = others.reduce((all, { organisation, ratePerS }) => {
      return all + simulation.refused(organisation, 2_000) * ratePerS
    }, 0)
    expect(refused / (590 - usual[busy]!)).toBeLessThan(0.02)
    // Each entry asks once a second, and more often for organisations with few requests at it.
    expect(simulation.requests / 20 / ENTRIES).toBeLessThan(8)
  })
})

describe('72 organisations, a few of them large, that send their usual rate to entries with uneven shares of it', () => {
  const ENTRY_COUNTS = [13, 21, 44]
  const SEEDS = [1, 2, 3]
  /** Requests per second of all organisations; the deployment with 44 entries has 495 on a quiet day. */
  const RATE_PER_ENTRY = 11
  const sizes = Array.from({ length: 72 }, (_, index) => (index + 1) ** -1.2)
  const sum = sizes.reduce((total, size) => total + size, 0)

  /** Fraction of the requests of each group that was refused in the first 14 s, over all seeds. */
  const refusedOf = (entries: number, oneWayMs: number) => {
    const usual = sizes.map((size) => (RATE_PER_ENTRY * entries * size) / sum)
    const limits = usual.map((rate, index) =>
      limitOf(`o${index}`, rate / USUAL_FRACTION, (rate / USUAL_FRACTION) * 0.5),
    )
    const counts = { large: { sent: 0, refused: 0 }, small: { sent: 0, refused: 0 } }
    for (const seed of SEEDS) {
      const random = seededRandom(seed)
      const demand = usual.map((ratePerS, index): Demand => {
        const weights = Array.from({ length: entries }, () => -Math.log(1 - random()))
        return { organisation: `o${index}`, ratePerS, weights }
      })
      const simulation = new QuotaSimulation({ entries, limits, demand: () => demand, seed, oneWayMs })
      simulation.runUntil(14_000)
      for (const [index, limit] of limits.entries()) {
        expect(simulation.mostAdmitted(limit.organisation)).toBeLessThanOrEqual(allowed(limit))
        const outcomes = simulation.outcomes.get(limit.organisation) ?? []
        const count = index < 10 ? counts.large : counts.small
        count.sent += outcomes.length
        count.refused += outcomes.filter(({ admitted }) => !admitted).length
      }
    }
    return { large: counts.large.refused / counts.large.sent, small: counts.small.refused / counts.small.sent }
  }

  // Guards against tokens that lie at entries without demand, and against a leader that counts tokens twice.
  test.each(ENTRY_COUNTS)('small organisations are hardly refused at %i entries', (entries) => {
    expect(refusedOf(entries, 10).small).toBeLessThan(HARDLY_REFUSED)
  })

  // Guards against waiting for less than two round trips: one request to the leader may be in progress.
  test.each(ENTRY_COUNTS)(
    'hardly any request is refused at %i entries because a response of the leader takes 200 ms',
    (entries) => {
      const { large, small } = refusedOf(entries, 100)
      expect(large).toBeLessThan(HARDLY_REFUSED)
      expect(small).toBeLessThan(HARDLY_REFUSED)
    },
  )
})

describe('one organisation', () => {
  const limit = limitOf('a', 50, 25)
  const run = (demand: (now: number) => Omit<Demand, 'organisation'>, rate = limit) =>
    new QuotaSimulation({
      entries: ENTRIES,
      limits: [rate],
      demand: (now) => [{ organisation: 'a', ...demand(now) }],
    })
  const expectBound = (simulation: QuotaSimulation, rate = limit) => {
    expect(simulation.mostAdmitted('a')).toBeLessThanOrEqual(allowed(rate))
  }

  // Guards against fixed equal shares.
  test('whose whole demand of 0.9 of its rate comes to one entry is not refused after a second', () => {
    const simulation = run(() => ({ ratePerS: 45, weights: onlyAt(3) }))
    simulation.runUntil(20_000)
    expect(simulation.refused('a', 1_000)).toBe(0)
    expectBound(simulation)
  })

  test('whose whole demand of 7 times its rate comes to one entry gets its quota and not more', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: onlyAt(3) }))
    simulation.runUntil(20_000)
    expect(simulation.admitted('a', 5_000, 20_000) / 15).toBeGreaterThan(limit.rate * 0.95)
    expectBound(simulation)
  })

  // Guards against shares that stay where demand was.
  test('whose demand moves from one entry to another is not refused a second after that', () => {
    const simulation = run((now) => ({ ratePerS: 40, weights: onlyAt(now < 10_000 ? 3 : 30) }))
    simulation.runUntil(20_000)
    expect(simulation.refused('a', 1_000, 10_000)).toBe(0)
    expect(simulation.refused('a', 11_000, 20_000)).toBeLessThan(0.01)
    expectBound(simulation)
  })

  test('whose demand of 7 times its rate moves every 700 ms stays within its quota', () => {
    const simulation = run((now) => ({ ratePerS: 350, weights: onlyAt(Math.floor(now / 700) % ENTRIES) }))
    simulation.runUntil(20_000)
    expectBound(simulation)
  })

  // Guards against a bucket of one request at each of the entries, which alone would exceed the tolerance.
  test.each([1, 2, 3])('with %i requests/s, evenly over all entries, at its usual rate and in excess', (rate) => {
    // A bucket of one request would refuse some of the usual ones even at a single entry.
    const small = limitOf('a', rate, 5)
    const usual = run(() => ({ ratePerS: rate * USUAL_FRACTION, weights: EVEN }), small)
    usual.runUntil(120_000)
    expectBound(usual, small)
    expect(usual.refused('a')).toBeLessThan(0.1)
    const excess = run(() => ({ ratePerS: rate * EXCESS_FACTOR, weights: EVEN }), small)
    excess.runUntil(30_000)
    expectBound(excess, small)
  })

  test('at its usual rate of 8 requests/s, evenly over all entries, is hardly refused', () => {
    const medium = limitOf('a', 13, 13)
    const simulation = run(() => ({ ratePerS: 13 * USUAL_FRACTION, weights: EVEN }), medium)
    simulation.runUntil(60_000)
    expect(simulation.refused('a')).toBeLessThan(0.01)
    expectBound(simulation, medium)
  })

  // Guards against a pool that gains the rate alone, and against rates of entries that are lost while a bucket is full.
  test('whose demand exceeds its rate by the overshoot of 0.1 for a minute is hardly refused', () => {
    const medium = limitOf('a', 13, 13)
    const simulation = run(() => ({ ratePerS: 13 * (1 + BOUNDS.overshoot), weights: EVEN }), medium)
    simulation.runUntil(60_000)
    expect(simulation.refused('a')).toBeLessThan(HARDLY_REFUSED)
    expectBound(simulation, medium)
  })

  test('keeps its shares and its bound while the leader is replaced, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    simulation.runUntil(10_000)
    simulation.leader = undefined
    simulation.runUntil(11_500)
    // The shares of the busiest entries go on without a leader.
    expect(simulation.admitted('a', 10_000, 11_500)).toBeGreaterThan(limit.rate * 1.5 * 0.5)
    simulation.electLeader()
    simulation.runUntil(25_000)
    expectBound(simulation)
    expect(simulation.admitted('a', 18_000, 25_000)).toBeGreaterThan(limit.rate * 7 * 0.9)
  })

  test('stays within its quota when a new leader knows no share, because all entries restarted, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    simulation.runUntil(10_000)
    simulation.leader = undefined
    simulation.runUntil(10_300)
    for (let index = 0; index < ENTRIES; index += 1) simulation.restart(index)
    simulation.electLeader()
    simulation.runUntil(25_000)
    expectBound(simulation)
    expect(simulation.admitted('a', 18_000, 25_000)).toBeGreaterThan(limit.rate * 7 * 0.9)
  })

  test('has no share after 3 s without a leader, and the reserve stays within the tolerance, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    simulation.runUntil(10_000)
    simulation.leader = undefined
    simulation.runUntil(25_000)
    expectBound(simulation)
    expect(simulation.admitted('a', 20_000, 25_000)).toBeGreaterThan(0)
    expect(simulation.mostAdmitted('a', 19_000)).toBeLessThanOrEqual(allowed(limit) - 275)
  })

  // Guards against shares that are allocated again while an entry that is cut off still uses them.
  test('stays within its quota when the 8 busiest entries are cut off and return, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    simulation.runUntil(10_000)
    for (const entry of simulation.entries.slice(0, 8)) entry.isConnected = false
    simulation.runUntil(18_000)
    // The others use what the share of the entries that are cut off was.
    expect(simulation.admitted('a', 15_000, 18_000)).toBeGreaterThan(limit.rate * 3 * 0.85)
    for (const entry of simulation.entries) entry.isConnected = true
    simulation.runUntil(28_000)
    expectBound(simulation)
  })

  test('stays within its quota when the 8 busiest entries restart with their shares outstanding, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    for (let time = 10_000; time < 16_000; time += 1_200) {
      simulation.runUntil(time)
      for (let index = 0; index < 8; index += 1) simulation.restart(index)
    }
    simulation.runUntil(25_000)
    expectBound(simulation)
  })

  test('whose limit becomes a tenth stays within it one window after all entries have it, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    const lower = limitOf('a', 5, 2)
    simulation.runUntil(10_000)
    simulation.setLimits([lower])
    simulation.runUntil(30_000)
    expectBound(simulation)
    expect(simulation.mostAdmitted('a', 15_000)).toBeLessThanOrEqual(allowed(lower))
    simulation.setLimits([limit])
    simulation.runUntil(40_000)
    expect(simulation.admitted('a', 35_000, 40_000)).toBeGreaterThan(limit.rate * 5 * 0.9)
    expectBound(simulation)
  })

  test('that was removed is not limited, and has a quota again when it returns, at 7 times its rate', () => {
    const simulation = run(() => ({ ratePerS: 350, weights: UNEVEN }))
    simulation.runUntil(10_000)
    simulation.setLimits([])
    simulation.runUntil(12_000)
    expect(simulation.refused('a', 10_500, 12_000)).toBe(0)
    simulation.setLimits([limit])
    simulation.runUntil(30_000)
    expect(simulation.mostAdmitted('a', 17_100)).toBeLessThanOrEqual(allowed(limit))
    expect(simulation.admitted('a', 23_000, 30_000)).toBeGreaterThan(limit.rate * 7 * 0.9)
  })

  // Guards against combinations of faults that no other test has.
  test.each(Array.from({ length: 12 }, (_, index) => index + 1))(
    'stays within its quota through faults at random times, at 3 times its rate, seed %i',
    (seed) => {
      const random = seededRandom(seed)
      const rate = limitOf('a', 1 + random() * 60, random() * 40)
      const simulation = new QuotaSimulation({
        entries: ENTRIES,
        limits: [rate],
        demand: (now) => {
          const weights = UNEVEN.map((_, entry) => UNEVEN[(entry + Math.floor(now / 3_000) * seed) % ENTRIES]!)
          return [{ organisation: 'a', ratePerS: rate.rate * 3, weights }]
        },
        seed,
      })
      for (let time = 0; time < 40_000; time += 200 + random() * 1_500) {
        simulation.runUntil(time)
        const entry = Math.floor(random() * ENTRIES)
        const fault = random()
        if (fault < 0.3) simulation.restart(entry)
        else if (fault < 0.6) simulation.entries[entry]!.isConnected = false
        else if (fault < 0.8) simulation.entries.forEach((other) => (other.isConnected = true))
        else if (fault < 0.9) simulation.leader = undefined
        else simulation.electLeader()
      }
      expectBound(simulation, rate)
    },
  )

  test('with a quota without a tolerance, at 7 times its rate', () => {
    const bounds = { windowMs: 5_000, overshoot: 0, slack: 0 }
    const demand = () => [{ organisation: 'a', ratePerS: 350, weights: UNEVEN }]
    const simulation = new QuotaSimulation({ entries: ENTRIES, limits: [limit], demand, bounds })
    simulation.runUntil(20_000)
    expect(simulation.mostAdmitted('a')).toBeLessThanOrEqual(allowed(limit, bounds))
    expect(simulation.admitted('a', 5_000, 20_000) / 15).toBeGreaterThan(limit.rate * 0.85)
  })
})

describe('an entry', () => {
  const create = (events: string[] = []) => {
    const quotas = new OrganisationQuotas({
      entry: 'e0',
      bounds: BOUNDS,
      startedAt: 0,
      onUsedUp: () => events.push('used up'),
      onExceeded: (organisation) => events.push(`${organisation} exceeded`),
      onExcessEnded: ({ organisation, refused, durationMs }: QuotaExcess) =>
        events.push(`${organisation} ended after ${durationMs} ms with ${refused} refused`),
    })
    quotas.configure([limitOf('a', 10, 5), limitOf('b', 10, 5)], 0)
    return quotas
  }
  const a = organisationName('a')

  test('states only organisations with requests at it, and for 30 s after the last one', () => {
    const quotas = create()
    expect(quotas.requests(0)).toEqual([])
    quotas.take(a, 1_000)
    expect(quotas.requests(1_500).map(({ organisation }) => organisation)).toEqual(['a'])
    expect(quotas.requests(32_000)).toEqual([])
  })

  test('admits the first request from its reserve, without a message, and makes the next one wait', () => {
    const quotas = create()
    quotas.observeEntries(EVEN.map((_, index) => `e${index}`).slice(0, 4), 0)
    quotas.apply([], 9_900, 9_950)
    const reserve = 3
    const kinds = Array.from({ length: 5 }, () => quotas.take(a, 10_000).kind)
    expect(kinds.filter((kind) => kind === 'admitted').length).toBeGreaterThanOrEqual(reserve)
    expect(kinds.at(-1)).toBe('pending')
  })

  test('has no reserve after it started, nor when it has not reached the leader for 30 s', () => {
    const quotas = create()
    quotas.apply([], 4_000, 4_010)
    expect(quotas.take(a, 4_500).kind).toBe('pending')
    expect(quotas.take(a, 10_000).kind).toBe('admitted')
    expect(quotas.take(a, 34_500).kind).toBe('pending')
  })

  test('settles a request that waits with the next share, or refuses it after 500 ms', () => {
    const events: string[] = []
    const quotas = create(events)
    const settled: string[] = []
    const take = (now: number) => {
      const decision = quotas.take(a, now)
      if (decision.kind === 'pending') decision.onSettled(({ kind }) => settled.push(kind))
    }
    take(1_000)
    expect(quotas.requests(1_000)).toMatchObject([{ organisation: 'a', waiting: 1, heldPerS: 0, tokens: 0 }])
    const share = { organisation: a, ratePerS: 1, burst: 1, tokens: 1, validForMs: 3_000 }
    quotas.apply([share], 1_000, 1_020)
    expect(settled).toEqual(['admitted'])
    take(1_030)
    quotas.expire(1_529)
    expect(settled).toEqual(['admitted'])
    quotas.expire(1_530)
    expect(settled).toEqual(['admitted', 'refused'])
    for (let now = 1_400; now < 13_000; now += 1_000) quotas.requests(now)
    expect(events).toEqual(['used up', 'used up', 'a exceeded', 'a ended after 10870 ms with 1 refused'])
  })

  test('ignores a response that arrives late, because its tokens were promised only for a time', () => {
    const quotas = create()
    quotas.take(a, 1_000)
    quotas.requests(1_000)
    quotas.apply([{ organisation: a, ratePerS: 2, burst: 5, tokens: 5, validForMs: 3_000 }], 1_000, 1_600)
    expect(quotas.sharesHeld(1_600)).toBe(0)
  })
})

describe('a leader', () => {
  const environment = environmentName('production')
  const ask = (demandPerS: number, held: Partial<OrganisationRequest> = {}): OrganisationRequest => {
    const none = { heldPerS: 0, heldBurst: 0, tokens: 0, waiting: 0, returned: 0 }
    return { organisation: organisationName('a'), demandPerS, ...none, ...held }
  }
  const create = () => {
    const leader = new QuotaAllocator({ bounds: BOUNDS })
    leader.becomeLeader(0)
    leader.configure(environment, [limitOf('a', 10, 5)], 0)
    return leader
  }
  const request = (leader: QuotaAllocator, at: number, entry: string, asked: OrganisationRequest, sequence = at) => {
    const sender = { entry: nodeId(entry), environment, sequence: BigInt(sequence) }
    return leader.request({ ...sender, organisations: [asked] }, at)[0]
  }

  test('that was just elected confirms what entries hold and gives nothing more for a window', () => {
    const leader = create()
    const held = { heldPerS: 4, heldBurst: 2, tokens: 1, waiting: 5 }
    expect(request(leader, 1_000, 'e', ask(9, held))).toMatchObject({ ratePerS: 4, burst: 2, tokens: 0 })
    expect(request(leader, 4_900, 'f', ask(9))).toMatchObject({ ratePerS: 0, burst: 0, tokens: 0 })
    // Half a second later, because the predecessor may not have noticed the election at once.
    expect(request(leader, 5_400, 'f', ask(9, { waiting: 1 }))?.tokens).toBe(0)
    expect(request(leader, 5_600, 'f', ask(9, { waiting: 1 }))?.tokens).toBeGreaterThan(0)
  })

  test('never allocates more than the rate, however many entries ask and whatever they state to hold', () => {
    const leader = create()
    for (let time = 6_000; time < 20_000; time += 100) {
      request(leader, time, `e${time % 1_300}`, ask(20, { heldPerS: 100, heldBurst: 100 }))
      expect(leader.allocatedRate(time)).toBeLessThanOrEqual(10.001)
    }
  })

  test('gives the rate of an entry that no longer names the organisation to another at once', () => {
    const leader = create()
    expect(request(leader, 9_000, 'e', ask(30))?.ratePerS).toBeGreaterThan(9)
    expect(request(leader, 9_100, 'f', ask(30))?.ratePerS).toBeLessThan(1)
    leader.request({ entry: nodeId('e'), environment, sequence: 9_200n, organisations: [] }, 9_200)
    expect(request(leader, 9_300, 'f', ask(30))?.ratePerS).toBeGreaterThan(5)
  })

  // Guards against a share that ends because an entry asked for another organisation only.
  test('keeps the share of an organisation that a partial request does not name', () => {
    const leader = create()
    expect(request(leader, 9_000, 'e', ask(30))?.ratePerS).toBeGreaterThan(9)
    const sender = { entry: nodeId('e'), environment, sequence: 9_200n }
    leader.request({ ...sender, organisations: [], isPartial: true }, 9_200)
    expect(leader.allocatedRate(9_300)).toBeGreaterThan(9)
  })

  // Guards against an entry that is taken to hold less than it got since.
  test('ignores a request that arrives after a later one of the same process', () => {
    const leader = create()
    request(leader, 9_000, 'e', ask(30), 2)
    expect(request(leader, 9_100, 'e', ask(0), 1)).toBeUndefined()
    expect(leader.allocatedRate(9_200)).toBeGreaterThan(9)
  })

  // Guards against a window that counts a token as handed out and as lying in a bucket.
  test('hands out at once what a window allows, to entries with one request each', () => {
    const leader = new QuotaAllocator({ bounds: BOUNDS })
    leader.becomeLeader(0)
    leader.configure(environment, [limitOf('a', 0.4, 2)], 0)
    // The rate and the burst, and 0.4 of the tolerance of 20.4.
    const most = 4 + 0.4 * 20.4
    let tokens = 0
    for (let entry = 0; entry < 20; entry += 1) {
      tokens += request(leader, 9_000 + entry, `e${entry}`, ask(0.5, { waiting: 1 }))?.tokens ?? 0
    }
    expect(tokens).toBeGreaterThan(most - 1)
    expect(tokens).toBeLessThanOrEqual(most)
  })

  test('ignores numbers that are negative or not finite', () => {
    const leader = create()
    expect(request(leader, 6_000, 'e', ask(Number.NaN))).toBeUndefined()
    expect(request(leader, 6_100, 'e', ask(1, { tokens: -5 }))).toBeUndefined()
  })
})
