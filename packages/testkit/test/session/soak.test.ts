/** Guards against faults that overlap. `npm run soak -- SEED...` plays other seeds. */
import { Harness } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { runSoak } from '../../src/soak/soak'

const SEED = 2

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('overlapping kills, pauses, isolations, planned stops and races of operators violate no invariant', async () => {
  const { violations, calls } = await runSoak(harness, SEED)
  expect(violations).toEqual([])
  expect(calls.complete).toBeGreaterThan(0)
}, 180_000)
