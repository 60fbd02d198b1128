/** Retries of all entries together, in each window in which the platform limits them, beside changes of the fleet. */
import { randomInt, seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { RetryFleet } from './retry-fleet'

const ALLOWANCE = { share: 0.2, extraRetries: 230, windowMs: 10_000 }
/** Number of entries, calls per second. */
const FLEETS = [
  [20, 60],
  [44, 350],
  [149, 130],
  [149, 440],
  [300, 440],
] as const
const TRAFFIC_AT = 12_000
const END = 42_000

/** A fleet whose entries know each other and have their first document, with traffic from `TRAFFIC_AT` on. */
function settledFleet(entries: number, callsPerSecond: number): RetryFleet {
  const fleet = new RetryFleet({ entries, callsPerSecond, allowance: ALLOWANCE })
  fleet.meetAll()
  fleet.revise()
  fleet.now = TRAFFIC_AT
  return fleet
}

function expectWithinAllowance(fleet: RetryFleet): void {
  const { repeats, allowed } = fleet.worstWindow()
  expect(repeats).toBeLessThanOrEqual(allowed)
}

// Guards against entries that together repeat more than allowed while nothing changes, and against budgets too small to use.
test.each(FLEETS)('%i entries, %i calls/s: nothing changes', (entries, callsPerSecond) => {
  const fleet = settledFleet(entries, callsPerSecond)
  fleet.run(END)
  expectWithinAllowance(fleet)
  expect(fleet.recentRepeats).toBeGreaterThan(0.4 * fleet.worstWindow().allowed)
})

// Guards against budgets that each revision of the document fills again (issue 73).
test.each(FLEETS)('%i entries, %i calls/s: revisions in quick succession', (entries, callsPerSecond) => {
  const fleet = settledFleet(entries, callsPerSecond)
  fleet.run(END, (now) => {
    if (now >= 18_000 && now < 28_000 && now % 400 === 0) fleet.revise()
  })
  expectWithinAllowance(fleet)
})

// Guards against parts that were computed while an entry knew few others and stay that large (issue 73).
test.each(FLEETS)('%i entries, %i calls/s: entries start with few others known', (entries, callsPerSecond) => {
  const fleet = new RetryFleet({ entries, callsPerSecond, allowance: ALLOWANCE })
  const few = Math.ceil(entries / 10)
  for (let index = 0; index < entries; index += 1) {
    fleet.meet(
      index,
      Array.from({ length: few }, (_, other) => (index + other) % entries),
    )
  }
  fleet.run(4_000, (now) => {
    if (now === 1_000) fleet.revise()
    if (now === 2_000) fleet.meetAll()
  })
  fleet.run(END)
  expectWithinAllowance(fleet)
})

// Guards against entries that take over the parts of others that are cut off from them and still send (issue 73).
test.each(FLEETS)('%i entries, %i calls/s: the fleet is cut in two beside revisions', (entries, callsPerSecond) => {
  const fleet = settledFleet(entries, callsPerSecond)
  const half = Math.floor(entries / 2)
  const halves = [
    Array.from({ length: half }, (_, index) => index),
    Array.from({ length: entries - half }, (_, index) => half + index),
  ]
  fleet.run(END, (now) => {
    if (now === 17_000) {
      for (const [own, other] of [halves, [...halves].reverse()])
        for (const index of own ?? []) fleet.lose(index, other ?? [])
    }
    if (now === 17_500 || now === 21_000) fleet.revise()
    if (now === 27_000) fleet.meetAll()
  })
  expectWithinAllowance(fleet)
})

/** Cuts of random parts, restarts and revisions that overlap, under traffic that swings by half. */
function runMixed(entries: number, callsPerSecond: number, seed: number): RetryFleet {
  const swing = (now: number) => 1 + 0.55 * Math.sin((2 * Math.PI * now) / 17_000)
  const fleet = new RetryFleet({ entries, callsPerSecond, allowance: ALLOWANCE, seed, swing })
  const random = seededRandom(seed)
  const all = Array.from({ length: entries }, (_, index) => index)
  fleet.meetAll()
  fleet.revise()
  fleet.now = TRAFFIC_AT
  fleet.run(END, (now) => {
    if (random() < 0.01) fleet.revise()
    if (random() < 0.02) fleet.restart(randomInt(random, entries))
    if (random() < 0.003) {
      const share = 0.1 + 0.4 * random()
      const isCutOff = all.map(() => random() < share)
      for (const index of all) {
        fleet.lose(
          index,
          all.filter((other) => isCutOff[other] !== isCutOff[index]),
        )
      }
    }
    if (now % 5_000 === 0) fleet.meetAll()
  })
  return fleet
}

// Guards against changes of the fleet that are harmless one by one and exceed the allowance together (issue 73).
test.each([1, 2, 3].flatMap((seed) => FLEETS.slice(0, 4).map((fleet) => [...fleet, seed] as const)))(
  '%i entries, %i calls/s: cuts, restarts and revisions overlap, seed %i',
  (entries, callsPerSecond, seed) => {
    expectWithinAllowance(runMixed(entries, callsPerSecond, seed))
  },
)

// Guards against processes that spend the part of their predecessor once more (issue 73).
test.each(FLEETS)('%i entries, %i calls/s: entries are restarted in turn', (entries, callsPerSecond) => {
  const fleet = settledFleet(entries, callsPerSecond)
  let restarted = 0
  fleet.run(END, (now) => {
    // All are restarted within one window.
    while (restarted < entries && now >= 18_000 + (restarted * 8_000) / entries) fleet.restart(restarted++)
  })
  expectWithinAllowance(fleet)
})
