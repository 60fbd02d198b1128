/** Scenarios of the comparison, and the variants of the router's tuning that are compared with it. */
import type { Tuning } from '@bilberrystall/routing'
import type { CaseName } from './case'
import type { Scenario } from './comparison'
import { WORKLOADS, type Distribution, type Workload } from './workload'

const FAULT_CASES: readonly CaseName[] = [
  'one server 10 times slower',
  'flapping neighbours',
  'fail-fast server',
  'report always idle',
  'reports 500 ms old',
  'cold start of a third',
  'one entry lost',
  'one failure domain lost',
]
const LOADS = [0.5, 0.8, 0.95]
/** Load at which the steady-state and slow-server targets apply. */
export const TARGET_LOAD = 0.8
export const OVERLOAD_LOAD = 1.5
/** The largest service with 7 entries and the smallest with 11: the easiest and the hardest of the six workloads. */
export const FAULT_WORKLOADS: readonly Workload[] = [WORKLOADS.siteHistory, WORKLOADS.booking]

export function planScenarios(seed: number): readonly Scenario[] {
  const scenarios: Scenario[] = []
  const add = (caseName: CaseName, workload: Workload, distribution: Distribution, load: number): void => {
    scenarios.push({ caseName, workload, distribution, load, seed })
  }
  for (const distribution of ['exponential', 'lognormal'] as const) {
    for (const workload of Object.values(WORKLOADS)) {
      for (const load of LOADS) add('steady state', workload, distribution, load)
    }
    for (const workload of FAULT_WORKLOADS) {
      const loads = distribution === 'exponential' ? LOADS : [TARGET_LOAD]
      for (const faultCase of FAULT_CASES) for (const load of loads) add(faultCase, workload, distribution, load)
      add('overload 150%', workload, distribution, OVERLOAD_LOAD)
    }
  }
  return scenarios
}

export interface Variant {
  readonly name: string
  readonly tuning: Partial<Tuning>
}

const UNLIMITED = Number.POSITIVE_INFINITY
const NO_QUEUE: Partial<Tuning> = { initialCostLimit: UNLIMITED, maxCostLimit: UNLIMITED, deferrableYieldShare: 0 }

export const VARIANTS: readonly Variant[] = [
  { name: 'router', tuning: {} },
  { name: 'least own calls in flight only', tuning: { ...NO_QUEUE, reportWeight: 0, minRetryTokens: UNLIMITED } },
  { name: 'reports, no queue, no refusals', tuning: { ...NO_QUEUE, minRetryTokens: UNLIMITED } },
  { name: 'reports and refusals, no queue', tuning: NO_QUEUE },
  { name: 'reports and queue, no refusals', tuning: { minRetryTokens: UNLIMITED } },
  { name: 'refusals and queue, no reports', tuning: { reportWeight: 0 } },
  {
    name: 'queue until a slot is believed free',
    tuning: { initialCostLimit: 1.05, costLimitPerMs: 0, maxCostLimit: 1.05 },
  },
  { name: 'no order by suspicion', tuning: { slowEvidenceWeight: 0 } },
  { name: 'deferrable calls yield an eighth of their time', tuning: { deferrableYieldShare: 0.125 } },
]

/** Returns the scenarios in which the variants are compared. */
export function planVariantScenarios(seed: number): readonly Scenario[] {
  const workload = WORKLOADS.booking
  const distribution = 'exponential'
  return [
    { caseName: 'steady state', workload, distribution, load: 0.8, seed },
    { caseName: 'steady state', workload, distribution, load: 0.95, seed },
    { caseName: 'one server 10 times slower', workload, distribution, load: 0.8, seed },
    { caseName: 'reports 500 ms old', workload, distribution, load: 0.8, seed },
    { caseName: 'overload 150%', workload, distribution, load: OVERLOAD_LOAD, seed },
  ]
}
