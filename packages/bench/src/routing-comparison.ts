/** Compares the router with baselines and the bound, prints the result and writes `docs/ROUTING.md` with plots. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { POLICIES, type PolicyName, type Scenario } from './routing/comparison'
import { measureCost } from './routing/cost'
import type { Figures } from './routing/measurements'
import { runAll, serveAsChild, type Work } from './routing/parallel'
import { planScenarios, planVariantScenarios, VARIANTS } from './routing/plan'
import { plotTails } from './routing/plot'
import { renderReport, renderScenario, renderVerdicts, type VariantResult } from './routing/report'
import { required } from './routing/required'
import { judge, type Result } from './routing/targets'

const COMMAND = 'npx tsx packages/bench/src/routing-comparison.ts'
const DEFAULT_SEED = 1
const DOCS = fileURLToPath(new URL('../../../docs/', import.meta.url))

async function main(): Promise<void> {
  const seed = Number(process.argv[2] ?? DEFAULT_SEED)
  const scenarios = planScenarios(seed)
  const variantScenarios = planVariantScenarios(seed)
  const jobs = [...scenarios.flatMap(policyJobs), ...variantJobs(variantScenarios)]
  const figures = await runAll(jobs, import.meta.url)
  const results = scenarios.map((scenario, index) => collect(scenario, figures, index * POLICIES.length))
  const variantFigures = figures.slice(scenarios.length * POLICIES.length)
  const report = {
    seed,
    command: COMMAND,
    results,
    verdicts: judge(results),
    variantScenarios: variantScenarios.map(({ caseName, load }) => `${caseName}, ${Math.round(load * 100)}%`),
    variants: splitVariants(variantFigures, variantScenarios.length),
    cost: measureCost(),
  }
  for (const result of results) console.log(renderScenario(result))
  console.log(renderVerdicts(report.verdicts))
  console.log(`cost per call: ${report.cost.toFixed(1)} µs`)
  mkdirSync(DOCS, { recursive: true })
  writeFileSync(join(DOCS, 'ROUTING.md'), renderReport(report))
  writeFileSync(join(DOCS, 'routing-booking.svg'), plotTails(results, 'booking'))
  writeFileSync(join(DOCS, 'routing-site-history.svg'), plotTails(results, 'site history'))
}

function policyJobs(scenario: Scenario): Work[] {
  return POLICIES.map((policy) => ({ scenario, policy }))
}

function variantJobs(scenarios: readonly Scenario[]): Work[] {
  const tuned = VARIANTS.flatMap((variant) =>
    scenarios.map((scenario): Work => ({ scenario, policy: 'router', variant })),
  )
  const leased = scenarios.map((scenario): Work => ({ scenario, policy: 'leased slots' }))
  return [...tuned, ...leased]
}

function collect(scenario: Scenario, figures: readonly Figures[], start: number): Result {
  const of = (policy: PolicyName): Figures => required(figures[start + POLICIES.indexOf(policy as 'router')])
  const names = POLICIES.filter((policy) => policy !== 'router' && policy !== 'bound')
  const baselines = Object.fromEntries(names.map((policy) => [policy, of(policy)]))
  return { scenario, router: of('router'), bound: of('bound'), baselines }
}

function splitVariants(figures: readonly Figures[], perVariant: number): VariantResult[] {
  const names = [...VARIANTS.map((variant) => variant.name), 'leased slots, optimistic']
  return names.map((name, index) => ({ name, figures: figures.slice(index * perVariant, (index + 1) * perVariant) }))
}

if (!serveAsChild()) await main()
