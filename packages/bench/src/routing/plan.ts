/** The scenarios of the comparison and the variants of the policy that are compared with it. */
import type { Tuning } from '@bilberrystall/routing'
import type { CaseName } from './case'
import type { Scenario } from './comparison'
import { WORKLOADS, type Distribution, type Workload } from './workload'

const FAULTS: readonly CaseName[] = [
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
export const STATED_LOAD = 0.8
export const OVERLOAD = 1.5
/** The largest service with 7 entries and the smallest with 11: the easiest and the hardest of the six. */
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
      const loads = distribution === 'exponential' ? LOADS : [STATED_LOAD]
      for (const fault of FAULTS) for (const load of loads) add(fault, workload, distribution, load)
      add('overload 150%', workload, distribution, OVERLOAD)
    }
  }
  return scenarios
}

export interface Variant {
  readonly name: string
  readonly tuning: Partial<Tuning>
}

const NEVER = Number.POSITIVE_INFINITY
const NO_QUEUE: Partial<Tuning> = { freshCost: NEVER, largestCost: NEVER, yieldShare: 0 }

export const VARIANTS: readonly Variant[] = [
  { name: 'router', tuning: {} },
  { name: 'least own calls in flight only', tuning: { ...NO_QUEUE, reportWeight: 0, spareTokens: NEVER } },
  { name: 'reports, no queue, no refusals', tuning: { ...NO_QUEUE, spareTokens: NEVER } },
  { name: 'reports and refusals, no queue', tuning: NO_QUEUE },
  { name: 'reports and queue, no refusals', tuning: { spareTokens: NEVER } },
  { name: 'refusals and queue, no reports', tuning: { reportWeight: 0 } },
  { name: 'queue until a slot is believed free', tuning: { freshCost: 1.05, costPerMs: 0, largestCost: 1.05 } },
  { name: 'no order by suspicion', tuning: { suspicionWeight: 0 } },
  { name: 'deferrable calls yield an eighth of their time', tuning: { yieldShare: 0.125 } },
]

/** Scenarios in which the variants are compared. */
export function planVariantScenarios(seed: number): readonly Scenario[] {
  const workload = WORKLOADS.booking
  const distribution = 'exponential'
  return [
    { caseName: 'steady state', workload, distribution, load: 0.8, seed },
    { caseName: 'steady state', workload, distribution, load: 0.95, seed },
    { caseName: 'one server 10 times slower', workload, distribution, load: 0.8, seed },
    { caseName: 'reports 500 ms old', workload, distribution, load: 0.8, seed },
    { caseName: 'overload 150%', workload, distribution, load: OVERLOAD, seed },
  ]
}
