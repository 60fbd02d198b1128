/** Part of one entry in the retries that all entries share. */
import { seededRandom, serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { fixedPart, SharedRetryBudget, type RetrySharing } from '../src/index'

const SERVICE = serviceName('gauge')
const WINDOW_MS = 10_000

function sharingOf(entries: number, limits: Partial<RetrySharing> = {}): RetrySharing {
  const ids = Array.from({ length: entries }, (_, index) => `entry-${index}`)
  return { entry: 'entry-0', entries: () => ids, share: 0.1, fixed: 0, windowMs: WINDOW_MS, ...limits }
}

// Guards against a bucket that is full when failures begin and fills again within the window.
test.each(Array.from({ length: 20 }, (_, index) => index + 1))(
  'after a time without failures no window has more retries than its part, seed %i',
  (seed) => {
    const random = seededRandom(seed)
    const budget = new SharedRetryBudget(SERVICE, sharingOf(1, { share: 0, fixed: 10 }))
    const retries: number[] = []
    for (let now = 0; now < 60_000; now += random() * 300) if (budget.take(now)) retries.push(now)
    for (const end of retries) {
      const recent = retries.filter((at) => at <= end && at > end - WINDOW_MS)
      expect(recent.length).toBeLessThanOrEqual(10)
    }
    expect(retries.length).toBeGreaterThan(50)
  },
)

// Guards against entries of a large fleet that have calls to spare and may repeat only one of them at a time.
test('the share of the calls of a window can be used at once, and is not earned by older calls', () => {
  const budget = new SharedRetryBudget(SERVICE, sharingOf(149))
  for (let call = 0; call < 50; call += 1) budget.credit(call * 100)
  expect(budget.available(5_000)).toBe(5)
  for (let retry = 0; retry < 5; retry += 1) expect(budget.take(5_000)).toBe(true)
  expect(budget.take(5_000)).toBe(false)
  expect(budget.available(16_000)).toBe(0)
})

test('a retry that is set aside cannot be used, and can again once it is released', () => {
  const budget = new SharedRetryBudget(SERVICE, sharingOf(1, { fixed: 1 }))
  expect(budget.reserve(0)).toBe(true)
  expect(budget.take(0)).toBe(false)
  budget.release()
  expect(budget.take(0)).toBe(true)
})

// Guards against a fleet with more entries than fixed retries, in which no entry may use any or all of them use one.
test.each([1, 7, 44, 149, 300])(
  'the parts of %i entries add up to the fixed retries and differ by one at most',
  (entries) => {
    const sharing = sharingOf(entries, { fixed: 184.4 })
    const parts = sharing.entries().map((entry) => fixedPart(SERVICE, { ...sharing, entry }))
    expect(parts.reduce((sum, part) => sum + part, 0)).toBe(184)
    expect(Math.max(...parts) - Math.min(...parts)).toBeLessThanOrEqual(1)
  },
)

// Guards against processes that use a part before they know with whom they share it.
test('an entry that is not among those that are known has no part', () => {
  expect(fixedPart(SERVICE, sharingOf(0, { fixed: 100 }))).toBe(0)
})
