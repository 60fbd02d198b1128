/** Guards the checker of the schedules: each planted fault must be found, else a clean run of the schedules says little. */
import { describe, expect, it } from 'vitest'
import { PLANTED_FAULTS } from './support/planted-faults'
import { runSchedule, type ScheduleOptions } from './support/schedule'

/** Schedule conditions that stay when the fault is taken out. */
type Conditions = Omit<ScheduleOptions, 'seed' | 'make' | 'keepsIdentity'>
type Fault = Pick<ScheduleOptions, 'make' | 'keepsIdentity'>

interface Expectation {
  readonly seeds: number
  readonly violation: RegExp
  readonly fault: Fault
  readonly conditions?: Conditions
}

/** The fault must be found in one of the seeds, and the same schedule without the fault must be clean. */
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

describe('the checker finds', () => {
  it('a vote that is sent before it is synced', () => {
    expectCaught({ seeds: 10, violation: /before the term was synced/, fault: { make: PLANTED_FAULTS.unsyncedVote } })
  })

  it('two leaders in a term after a vote was forgotten', () => {
    expectCaught({
      seeds: 400,
      violation: /two leaders in term/,
      fault: { make: PLANTED_FAULTS.unsyncedVote },
      conditions: { outcomeOnly: true, spares: 0, emphasis: ['transfer', 'crash'], syncMs: 500 },
    })
  })

  it('an empty disk that votes under the old identity', () => {
    expectCaught({
      seeds: 400,
      violation: /lacks committed entry|committed entry \d+ changed|two leaders/,
      fault: { keepsIdentity: true },
      conditions: { spares: 0, emphasis: ['loseDisk'] },
    })
  })

  it('reads that no majority and no lease confirmed', () => {
    expectCaught({ seeds: 400, violation: /stale read/, fault: { make: PLANTED_FAULTS.unconfirmedRead } })
  })

  it('a lease that outlasts an election', () => {
    expectCaught({
      seeds: 400,
      violation: /stale read/,
      fault: { make: PLANTED_FAULTS.longLease },
      conditions: { emphasis: ['read', 'partition'] },
    })
  })

  it('truncation of a committed suffix', () => {
    expectCaught({
      seeds: 400,
      violation: /synced copies|lacks committed entry|committed entry \d+ changed/,
      fault: { make: PLANTED_FAULTS.truncation },
      conditions: { outcomeOnly: true },
    })
  })

  it('promotion of a learner that is not caught up', () => {
    expectCaught({
      seeds: 400,
      violation: /learner promoted without/,
      fault: { make: PLANTED_FAULTS.earlyPromotion },
      conditions: { emphasis: ['repair'] },
    })
  })
})
