/**
 * Compares the router with the baseline policies and the bound in a simulation. Prints the results and writes
 * `docs/ROUTING.md` with its plots. Argument: the seed.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { POLICIES, type PolicyName, type Scenario } from './routing/comparison'
import { measureCostPerCall } from './routing/cost'
import type { RunStatistics } from './routing/measurements'
import { runInChildProcesses, serveIfChildProcess, type PolicyRun } from './routing/parallel'
import { planScenarios, planVariantScenarios, VARIANTS } from './routing/plan'
import { plotTailLatency } from './routing/plot'
import { renderReport, renderScenario, renderTargetResults, type VariantResult } from './routing/report'
import { requireDefined } from './routing/require-defined'
import { checkTargets, type ScenarioResult } from './routing/targets'

const COMMAND = 'npx tsx packages/bench/src/routing-comparison.ts'
const DEFAULT_SEED = 1
const DOCS_FOLDER = fileURLToPath(new URL('../../../docs/', import.meta.url))

async function main(): Promise<void> {
  const seed = Number(process.argv[2] ?? DEFAULT_SEED)
  const scenarios = planScenarios(seed)
  const variantScenarios = planVariantScenarios(seed)
  const runs = [...scenarios.flatMap(runsOfAllPolicies), ...runsOfVariants(variantScenarios)]
  const statistics = await runInChildProcesses(runs, import.meta.url)
  const results = scenarios.map((scenario, index) => collectResult(scenario, statistics, index * POLICIES.length))
  const variantStatistics = statistics.slice(scenarios.length * POLICIES.length)
  const report = {
    seed,
    command: COMMAND,
    results,
    targetResults: checkTargets(results),
    variantScenarios: variantScenarios.map(({ caseName, load }) => `${caseName}, ${Math.round(load * 100)}%`),
    variants: groupStatisticsByVariant(variantStatistics, variantScenarios.length),
    microsecondsPerCall: measureCostPerCall(),
  }
  for (const result of results) console.log(renderScenario(result))
  console.log(renderTargetResults(report.targetResults))
  console.log(`cost per call: ${report.microsecondsPerCall.toFixed(1)} µs`)
  mkdirSync(DOCS_FOLDER, { recursive: true })
  writeFileSync(join(DOCS_FOLDER, 'ROUTING.md'), renderReport(report))
  writeFileSync(join(DOCS_FOLDER, 'routing-booking.svg'), plotTailLatency(results, 'booking'))
  writeFileSync(join(DOCS_FOLDER, 'routing-site-history.svg'), plotTailLatency(results, 'site history'))
}

function runsOfAllPolicies(scenario: Scenario): PolicyRun[] {
  return POLICIES.map((policy) => ({ scenario, policy }))
}

function runsOfVariants(scenarios: readonly Scenario[]): PolicyRun[] {
  const tunedRuns = VARIANTS.flatMap((variant) =>
    scenarios.map((scenario): PolicyRun => ({ scenario, policy: 'router', variant })),
  )
  const leasedSlotRuns = scenarios.map((scenario): PolicyRun => ({ scenario, policy: 'leased slots' }))
  return [...tunedRuns, ...leasedSlotRuns]
}

function collectResult(scenario: Scenario, statistics: readonly RunStatistics[], firstIndex: number): ScenarioResult {
  const statisticsOf = (policy: PolicyName): RunStatistics =>
    requireDefined(statistics[firstIndex + POLICIES.indexOf(policy as 'router')])
  const baselineNames = POLICIES.filter((policy) => policy !== 'router' && policy !== 'bound')
  const baselines = Object.fromEntries(baselineNames.map((policy) => [policy, statisticsOf(policy)]))
  return { scenario, router: statisticsOf('router'), bound: statisticsOf('bound'), baselines }
}

function groupStatisticsByVariant(statistics: readonly RunStatistics[], scenarioCount: number): VariantResult[] {
  const variantNames = [...VARIANTS.map((variant) => variant.name), 'leased slots, optimistic']
  return variantNames.map((name, index) => ({
    name,
    statistics: statistics.slice(index * scenarioCount, (index + 1) * scenarioCount),
  }))
}

if (!serveIfChildProcess()) await main()
