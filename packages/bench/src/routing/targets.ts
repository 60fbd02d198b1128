/** Checks the statistics of the runs against the routing targets of section 1.4. */
import type { Scenario } from './comparison'
import type { RunStatistics } from './measurements'
import { OVERLOAD_LOAD, TARGET_LOAD } from './plan'

export interface ScenarioResult {
  readonly scenario: Scenario
  readonly router: RunStatistics
  readonly bound: RunStatistics
  /** Statistics of the baselines by policy name. */
  readonly baselines: Readonly<Record<string, RunStatistics>>
}

export interface TargetResult {
  readonly target: string
  /** Number of scenarios to which the target applies. */
  readonly scenarioCount: number
  /** One line for each scenario that misses the target. */
  readonly misses: readonly string[]
}

type TailQuantile = 'p99' | 'urgentP99'

const MAX_RATIO_TO_BOUND = 1.25
const MAX_RATIO_TO_POWER_OF_TWO = 0.5
const MAX_RATIO_TO_BEST_BASELINE = 1.05
const MAX_FAIL_FAST_SHARE = 0.02
const MIN_GOODPUT = 0.95

export function checkTargets(results: readonly ScenarioResult[]): readonly TargetResult[] {
  return [
    checkTarget(
      'p99 of all calls at 80%, steady state, at most 1.25 times the bound',
      steadyStateResults(results),
      (result) => describeExcess(result.router.p99, MAX_RATIO_TO_BOUND * result.bound.p99),
    ),
    checkTarget(
      'p99 of all calls with one server 10 times slower (80%) at most half of power of two',
      slowServerResults(results),
      (result) => describeExcess(result.router.p99, MAX_RATIO_TO_POWER_OF_TWO * powerOfTwoStatistics(result).p99),
    ),
    checkTarget('The same for urgent calls', slowServerResults(results), (result) =>
      describeExcess(result.router.urgentP99, MAX_RATIO_TO_POWER_OF_TWO * powerOfTwoStatistics(result).urgentP99),
    ),
    checkTarget('p99 of urgent calls never worse than 1.05 times the best baseline', results, (result) =>
      describeExcess(result.router.urgentP99, MAX_RATIO_TO_BEST_BASELINE * lowestBaseline(result, 'urgentP99')),
    ),
    checkTarget('p99 of all calls never worse than 1.05 times the best baseline', results, (result) =>
      describeExcess(result.router.p99, MAX_RATIO_TO_BEST_BASELINE * lowestBaseline(result, 'p99')),
    ),
    checkTarget('fail-fast server receives under 2% of calls after 1 s', failFastResults(results), (result) =>
      describeExcess(result.router.failFastShare, MAX_FAIL_FAST_SHARE),
    ),
    checkTarget('goodput at 150% at least 95% of capacity', overloadResults(results), (result) =>
      describeExcess(MIN_GOODPUT, result.router.goodput),
    ),
    checkTarget('measuring budget exceeded in no window', results, (result) =>
      describeExcess(result.router.windowsOverBudget, 0),
    ),
  ]
}

export function scenarioLabel(scenario: Scenario): string {
  const load = Math.round(scenario.load * 100)
  return `${scenario.caseName}, ${scenario.workload.name}, ${scenario.distribution}, ${load}%`
}

/** Returns `undefined` if the value is within the limit, otherwise a text with both. */
function describeExcess(value: number, limit: number): string | undefined {
  return value <= limit ? undefined : `${formatValue(value)} against ${formatValue(limit)}`
}

function formatValue(value: number): string {
  return value >= 10 ? value.toFixed(1) : value.toFixed(4)
}

function checkTarget(
  target: string,
  results: readonly ScenarioResult[],
  describeMiss: (result: ScenarioResult) => string | undefined,
): TargetResult {
  const misses: string[] = []
  for (const result of results) {
    const reason = describeMiss(result)
    if (reason !== undefined) misses.push(`${scenarioLabel(result.scenario)}: ${reason}`)
  }
  return { target, scenarioCount: results.length, misses }
}

function steadyStateResults(results: readonly ScenarioResult[]): readonly ScenarioResult[] {
  return results.filter(({ scenario }) => scenario.caseName === 'steady state' && scenario.load === TARGET_LOAD)
}

function slowServerResults(results: readonly ScenarioResult[]): readonly ScenarioResult[] {
  return results.filter(
    ({ scenario }) => scenario.caseName === 'one server 10 times slower' && scenario.load === TARGET_LOAD,
  )
}

function failFastResults(results: readonly ScenarioResult[]): readonly ScenarioResult[] {
  return results.filter(({ scenario }) => scenario.caseName === 'fail-fast server')
}

function overloadResults(results: readonly ScenarioResult[]): readonly ScenarioResult[] {
  return results.filter(({ scenario }) => scenario.load === OVERLOAD_LOAD)
}

function powerOfTwoStatistics(result: ScenarioResult): RunStatistics {
  return result.baselines['power of two choices'] ?? result.bound
}

function lowestBaseline(result: ScenarioResult, quantile: TailQuantile): number {
  return Math.min(...Object.values(result.baselines).map((statistics) => statistics[quantile]))
}
