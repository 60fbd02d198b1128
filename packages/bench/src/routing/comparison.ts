/** Runs every policy over the same arrivals of one scenario. */
import { BaselinePolicy, type Baseline } from './baselines'
import { BoundPolicy } from './bound'
import { RUN_LENGTH, type CaseName } from './case'
import type { Figures } from './measurements'
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
export type PolicyName = (typeof POLICIES)[number]

export interface Scenario {
  readonly workload: Workload
  readonly caseName: CaseName
  readonly distribution: Distribution
  readonly load: number
  readonly seed: number
}

export function runPolicy(scenario: Scenario, policy: PolicyName): Figures {
  const arrivals = drawArrivals({ ...scenario, length: RUN_LENGTH })
  const simulation = new Simulation({ ...scenario, arrivals }, (created) => createPolicy(created, policy))
  return simulation.run().figures()
}

function createPolicy(simulation: Simulation, policy: PolicyName): Policy {
  switch (policy) {
    case 'router':
      return new RouterPolicy(simulation)
    case 'bound':
      return new BoundPolicy(simulation)
    default:
      return new BaselinePolicy(simulation, policy satisfies Baseline)
  }
}
