import { serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { HedgingPolicies, ServiceHedging, type HedgeCandidate } from '../src/index'
import { exponentialWork, simulate, type Scenario } from './hedging-simulation'

const WINDOW_MS = 10_000

/** Ten servers with three slots each, of which calls use a quarter: 5 ms and 15 ms on average, 1 of 100 takes over 74 ms. */
const BASE: Scenario = {
  servers: 10,
  slots: 3,
  callsPerSecond: 375,
  seconds: 30,
  target: 400,
  limit: undefined,
  work: exponentialWork(5, 15),
}

const withLimit = (scenario: Scenario, limit: number) => simulate({ ...scenario, limit })

/** Largest number of hedged attempts beyond the limit, over the 10 s that end with each of them. */
function largestExcess({ hedgedAt, arrivedAt }: ReturnType<typeof simulate>, limit: number): number {
  const within = (times: readonly number[], end: number) =>
    times.filter((time) => time > end - WINDOW_MS && time <= end).length
  return Math.max(0, ...hedgedAt.map((end) => within(hedgedAt, end) - limit * within(arrivedAt, end)))
}

/** A service that has answered `latencies` since 1 s ago, one call each. */
function serviceWith(limit: number | undefined, latencies: readonly number[], now = 1000): ServiceHedging {
  const hedging = new ServiceHedging(limit)
  latencies.forEach((latency, index) => {
    hedging.callSent(now - 1000 + index)
    hedging.responded(latency, now - 1000 + index)
  })
  return hedging
}

const ramp = (count: number, step: number) => Array.from({ length: count }, (_, index) => (index + 1) * step)

const candidate = (rest: Partial<HedgeCandidate> = {}): HedgeCandidate => ({
  acceptedAt: 1000,
  sentAt: 1000,
  target: 400,
  deadline: 3000,
  ...rest,
})

/** Asks at the times that the decisions name, until one is final. Returns it with its time. */
function followUp(hedging: ServiceHedging, call: HedgeCandidate) {
  let now = call.sentAt
  for (;;) {
    const decision = hedging.decide(call, now)
    if (decision.kind !== 'wait') return { ...decision, at: now }
    now = decision.until
  }
}

test('without a limit a hedged attempt starts after half of the target, whatever the latency and the share', () => {
  const hedging = serviceWith(undefined, ramp(100, 1))
  hedging.refused(1000)
  for (let call = 0; call < 500; call += 1) {
    expect(followUp(hedging, candidate())).toEqual({ kind: 'hedge', at: 1200 })
    hedging.hedgeSent(1200)
  }
  expect(hedging.obstacle(1200)).toBeUndefined()
  expect(hedging.decide(candidate({ target: undefined }), 1000)).toEqual({ kind: 'never' })
})

test('a limit of 0% allows no hedged attempt', () => {
  expect(serviceWith(0, ramp(100, 1)).decide(candidate(), 1399)).toEqual({ kind: 'never' })
  expect(withLimit(BASE, 0)).toMatchObject({ hedgedAt: [] })
})

test('the delay is the 95th percentile of the latency at a limit of 5%, and the 99th at 1%', () => {
  const delay = (limit: number) => followUp(serviceWith(limit, ramp(200, 1)), candidate()).at - 1000
  // The histogram is exact to 5%.
  expect(Math.abs(delay(0.05) / 190 - 1)).toBeLessThan(0.05)
  expect(Math.abs(delay(0.01) / 198 - 1)).toBeLessThan(0.05)
})

test('the delay is at least a tenth of the target, since an earlier response gains little', () => {
  expect(followUp(serviceWith(0.05, ramp(200, 0.01)), candidate())).toEqual({ kind: 'hedge', at: 1040 })
})

test('a hedged attempt starts early enough to end before the target, and not at all if it can no longer do so', () => {
  const hedging = serviceWith(0.05, [...ramp(100, 1).map(() => 150), ...ramp(100, 1).map(() => 390)])
  const { kind, at } = followUp(hedging, candidate())
  expect(kind).toBe('hedge')
  expect(at).toBeLessThan(1400 - 140)
  expect(hedging.decide(candidate({ acceptedAt: 650 }), 1000)).toEqual({ kind: 'denied', reason: 'too-late' })
})

test('while few latencies are known, the delay is half of the target', () => {
  const hedging = serviceWith(1, ramp(5, 1))
  expect(followUp(hedging, candidate())).toEqual({ kind: 'hedge', at: 1200 })
  expect(hedging.decide(candidate({ target: undefined }), 1000)).toEqual({ kind: 'never' })
})

test('a service with few calls gets no hedged attempt before the limit amounts to one', () => {
  const hedging = serviceWith(0.01, ramp(99, 1))
  expect(followUp(hedging, candidate())).toMatchObject({ kind: 'denied', reason: 'limit' })
  hedging.callSent(1000)
  expect(followUp(hedging, candidate())).toMatchObject({ kind: 'hedge' })
  const few = { ...BASE, callsPerSecond: 2, limit: 0.01 }
  expect(simulate(few)).toMatchObject({ hedgedAt: [] })
})

test('the more of the limit is used, the slower a call has to be', () => {
  const hedging = serviceWith(0.05, ramp(400, 0.5))
  const delays: number[] = []
  for (let used = 0; used < 20; used += 1) {
    delays.push(followUp(hedging, candidate()).at - 1000)
    hedging.hedgeSent(1000)
  }
  expect(delays.toSorted((left, right) => left - right)).toEqual(delays)
  expect(delays.at(-1)!).toBeGreaterThan(delays[0]!)
  expect(followUp(hedging, candidate())).toMatchObject({ kind: 'denied', reason: 'limit' })
  expect(hedging.obstacle(1000)).toBe('limit')
})

test('no hedged attempt starts within a second after the service refused a call', () => {
  const hedging = serviceWith(1, ramp(100, 1), 1000)
  hedging.refused(1050)
  expect(hedging.obstacle(1100)).toBe('service-refuses')
  expect(followUp(hedging, candidate())).toMatchObject({ kind: 'denied', reason: 'service-refuses' })
  expect(hedging.obstacle(2051)).toBeUndefined()
})

test('an abandoned attempt keeps the percentile from falling, a short one says nothing', () => {
  const hedging = serviceWith(0.05, ramp(200, 0.5))
  const before = hedging.tailLatency(1000)
  for (let call = 0; call < 50; call += 1) hedging.abandoned(1, 1000)
  expect(hedging.tailLatency(1000)).toBe(before)
  for (let call = 0; call < 50; call += 1) hedging.abandoned(150, 1000)
  expect(hedging.tailLatency(1000)).toBeGreaterThan(before!)
})

test.each([
  ['rises', 10, 40],
  ['falls', 40, 10],
])('the delay follows a latency that %s by a factor of four within 10 s', (_, first, second) => {
  const hedging = new ServiceHedging(0.05)
  for (let now = 0; now < 30_000; now += 10) {
    hedging.callSent(now)
    hedging.responded((now < 15_000 ? first : second) * (1 + (now % 97) / 97), now)
  }
  const delayAt = (now: number) => hedging.tailLatency(now)!
  expect(delayAt(30_000)).toBeGreaterThan(second * 1.7)
  expect(delayAt(30_000)).toBeLessThan(second * 2.2)
})

test('a change of the latency by a factor of four does not lead to hedged attempts beyond the limit', () => {
  const slowness = (_: number, now: number) => (now > 10_000 && now < 20_000 ? 4 : 1)
  const outcome = withLimit({ ...BASE, callsPerSecond: 150, slowness }, 0.05)
  expect(outcome.hedgedAt.length).toBeGreaterThan(0)
  expect(largestExcess(outcome, 0.05)).toBeLessThanOrEqual(0)
})

test.each([0.01, 0.05, 1])('one slow server of ten: a limit of %d is kept in every 10 s', (limit) => {
  const slowness = (server: number) => (server === 0 ? 10 : 1)
  const outcome = withLimit({ ...BASE, slowness }, limit)
  expect(outcome.hedgedAt.length).toBeGreaterThan(0)
  expect(largestExcess(outcome, limit)).toBeLessThanOrEqual(0)
})

test('one slow server of ten, 375 calls/s: the 99th percentile with and without hedging', () => {
  const slowness = (server: number) => (server === 0 ? 10 : 1)
  const p99 = (limit: number | undefined) => Math.round(simulate({ ...BASE, slowness, limit }).p99)
  expect({ none: p99(0), half: p99(undefined), '1%': p99(0.01), '5%': p99(0.05), '100%': p99(1) }).toMatchSnapshot()
})

test('all servers ten times slower than the target allows: hedging adds nothing beyond the limit', () => {
  const scenario = { ...BASE, callsPerSecond: 60, slowness: (_: number, now: number) => (now > 5000 ? 10 : 1) }
  for (const limit of [0.01, 0.05]) {
    const outcome = withLimit(scenario, limit)
    expect(largestExcess(outcome, limit)).toBeLessThanOrEqual(0)
    expect(outcome.hedgedAt.length).toBeLessThanOrEqual(limit * outcome.calls * 1.1)
  }
})

test('a burst that fills the servers gets no hedged attempts without a free slot, and recovers as without hedging', () => {
  const rate = (now: number) => (now > 10_000 && now < 12_000 ? 5 : 1)
  const hedged = withLimit({ ...BASE, rate }, 0.05)
  const plain = withLimit({ ...BASE, rate }, 0)
  const inBurst = hedged.hedgedAt.filter((at) => at > 10_500 && at < 12_000).length
  expect(inBurst).toBeLessThanOrEqual(0.05 * hedged.arrivedAt.filter((at) => at < 12_000).length)
  expect(hedged.denials['no-free-server'] + hedged.denials.limit).toBeGreaterThan(0)
  expect({ hedged: Math.round(hedged.p99), plain: Math.round(plain.p99) }).toMatchSnapshot()
})

test('servers that discard requests beyond a queue of one, 70% load: calls are answered though hedging is denied', () => {
  const scenario = { ...BASE, callsPerSecond: 1050, seconds: 12, muteQueue: 1 }
  const measure = (rest: Partial<Scenario>) => {
    const outcome = simulate({ ...scenario, ...rest })
    expect(largestExcess(outcome, rest.limit ?? 1)).toBeLessThanOrEqual(0)
    const { calls, discarded, repeated } = outcome
    const percent = (count: number) => Math.round((1000 * count) / calls) / 10
    return { p99: Math.round(outcome.p99), discarded: percent(discarded), repeated: percent(repeated) }
  }
  expect({
    'no second attempt': measure({ limit: 0 }),
    'hedged, 5%': measure({ limit: 0.05 }),
    'unanswered, 0%': measure({ limit: 0, retriesUnanswered: true }),
    'both, 5%': measure({ limit: 0.05, retriesUnanswered: true }),
  }).toMatchSnapshot()
})

test('the limit of a service precedes the default, which returns when the document no longer names one', () => {
  const policies = new HedgingPolicies({ defaultLimit: 0.02 })
  const service = serviceName('booking')
  policies.configure(service, 0)
  expect(policies.of(service).limit).toBe(0)
  policies.configure(service, undefined)
  expect(policies.of(service).limit).toBe(0.02)
  expect(new HedgingPolicies().of(service).limit).toBeUndefined()
})

test('a decision takes under 5 microseconds', () => {
  const hedging = serviceWith(0.05, ramp(1000, 0.3))
  const call = candidate()
  const decisions = 100_000
  const runs = Array.from({ length: 5 }, () => {
    const startedAt = process.cpuUsage()
    for (let index = 0; index < decisions; index += 1) hedging.decide(call, 1000 + (index % 400))
    const { user, system } = process.cpuUsage(startedAt)
    return (user + system) / decisions
  })
  expect(Math.min(...runs)).toBeLessThan(5)
})
