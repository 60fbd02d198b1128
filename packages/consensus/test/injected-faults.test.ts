/**
 * Checks that the schedules detect each injected fault. Otherwise a schedule without a violation would prove little.
 */
import { describe, expect, it } from 'vitest'
import { INJECTED_FAULTS } from './support/injected-faults'
import { runSchedule, type ScheduleOptions } from './support/schedule'

/** Options of a schedule that also apply to the run without the fault. */
type Conditions = Omit<ScheduleOptions, 'seed' | 'make' | 'keepsIdentity'>
type Fault = Pick<ScheduleOptions, 'make' | 'keepsIdentity'>

interface Expectation {
  readonly seeds: number
  readonly violation: RegExp
  readonly fault: Fault
  readonly conditions?: Conditions
}

/** Expects a violation with one of the seeds, and none with the same seed and options without the fault. */
function expectCaught({ seeds, violation, fault, conditions = {} }: Expectation): void {
  const found = firstSeed(seeds, violation, { ...conditions, ...fault })
  expect(found, `violation within ${seeds} seeds`).toBeDefined()
  expect(runSchedule({ ...conditions, seed: found ?? 0 }).violation).toBeUndefined()
}

function firstSeed(seeds: number, violation: RegExp, options: Conditions & Fault): number | undefined {
  for (let seed = 1; seed <= seeds; seed += 1) {
    const result = runSchedule({ ...options, seed })
    if (result.violation !== undefined && violation.test(result.violation)) return seed
  }
  return undefined
}

describe('the checker detects', () => {
  it('a vote that is sent before it is synced', () => {
    expectCaught({ seeds: 10, violation: /before the term was synced/, fault: { make: INJECTED_FAULTS.unsyncedVote } })
  })

  it('two leaders in one term after a vote was lost', () => {
    expectCaught({
      seeds: 400,
      violation: /two leaders in term/,
      fault: { make: INJECTED_FAULTS.unsyncedVote },
      conditions: { outcomeOnly: true, spares: 0, emphasis: ['transfer', 'crash'], syncMs: 500 },
    })
  })

  it('an empty disk that is used with the old replica id', () => {
    expectCaught({
      seeds: 400,
      violation: /lacks committed entry|committed entry \d+ changed|two leaders/,
      fault: { keepsIdentity: true },
      conditions: { spares: 0, emphasis: ['loseDisk'] },
    })
  })

  it('reads that neither a majority nor a lease confirmed', () => {
    expectCaught({ seeds: 400, violation: /stale read/, fault: { make: INJECTED_FAULTS.unconfirmedRead } })
  })

  it('a lease that is longer than the election timeout', () => {
    expectCaught({
      seeds: 400,
      violation: /stale read/,
      fault: { make: INJECTED_FAULTS.longLease },
      conditions: { emphasis: ['read', 'partition'] },
    })
  })

  it('truncation of a committed suffix', () => {
    expectCaught({
      seeds: 400,
      violation: /synced copies|lacks committed entry|committed entry \d+ changed/,
      fault: { make: INJECTED_FAULTS.truncation },
      conditions: { outcomeOnly: true },
    })
  })

  it('promotion of a learner that is not caught up', () => {
    expectCaught({
      seeds: 400,
      violation: /learner promoted without/,
      fault: { make: INJECTED_FAULTS.earlyPromotion },
      conditions: { emphasis: ['repair'] },
    })
  })
})
