/** Runs a policy on the arrivals of a scenario, which are the same for every policy. */
import type { Tuning } from '@bilberrystall/routing'
import { BaselinePolicy } from './baselines'
import { BoundPolicy } from './bound'
import { RUN_DURATION_MS, type CaseName } from './case'
import { LeasePolicy } from './leases'
import type { RunStatistics } from './measurements'
import { RouterPolicy } from './router-policy'
import { Simulation, type Policy } from './simulation'
import { drawArrivals, type Distribution, type Workload } from './workload'

export const POLICIES = [
  'random',
  'round robin',
  'least reported load',
  'power of two choices',
  'router',
  'bound',
] as const
export type PolicyName = (typeof POLICIES)[number] | 'leased slots'

export interface Scenario {
  readonly workload: Workload
  readonly caseName: CaseName
  readonly distribution: Distribution
  readonly load: number
  readonly seed: number
}

export function runPolicy(scenario: Scenario, policy: PolicyName, tuning: Partial<Tuning> = {}): RunStatistics {
  const arrivals = drawArrivals({ ...scenario, duration: RUN_DURATION_MS })
  const simulation = new Simulation({ ...scenario, arrivals }, (newSimulation) =>
    createPolicy(newSimulation, policy, tuning),
  )
  return simulation.run().computeStatistics()
}

function createPolicy(simulation: Simulation, policy: PolicyName, tuning: Partial<Tuning>): Policy {
  switch (policy) {
    case 'router':
      return new RouterPolicy(simulation, tuning)
    case 'bound':
      return new BoundPolicy(simulation)
    case 'leased slots':
      return new LeasePolicy(simulation)
    case 'random':
    case 'round robin':
    case 'least reported load':
    case 'power of two choices':
      return new BaselinePolicy(simulation, policy)
  }
}
