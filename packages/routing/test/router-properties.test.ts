import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { ExchangeOutcome, ServerState } from '../src/index'
import { Driver, type Step } from './driver'

const outcomes: ExchangeOutcome[] = ['ok', 'error', 'shed', 'connect-failed', 'lost', 'timeout', 'unattributed']
const states: ServerState[] = ['starting', 'ready', 'draining']
const server = fc.nat({ max: 2 })
const pick = fc.nat({ max: 50 })

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('submit'),
      count: fc.integer({ min: 1, max: 12 }),
      urgent: fc.boolean(),
      time: fc.nat({ max: 2000 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('finish'),
      pick,
      outcome: fc.constantFrom(...outcomes),
      load: fc.nat({ max: 3 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel'), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('state'), server, state: fc.constantFrom(...states) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove'), server }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait'), time: fc.nat({ max: 200 }) }) },
)

// Guards against calls that are lost or end twice, unbounded queues, and dispatches after the deadline or to draining,
// removed or already tried servers. The driver checks these after every step.
test('every call ends exactly once under any order of events', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const driver = new Driver()
      for (const one of steps) driver.run(one)
      driver.finishAll()
      expect(driver.live.size).toBe(0)
      expect(driver.ended).toBe(driver.submitted)
    }),
    { seed: 42, numRuns: 200 },
  )
})
