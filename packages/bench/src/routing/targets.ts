/** The routing targets of section 1.4, checked against measured figures. */
import type { Scenario } from './comparison'
import type { Figures } from './measurements'
import { OVERLOAD, STATED_LOAD } from './plan'

export interface Result {
  readonly scenario: Scenario
  readonly router: Figures
  readonly bound: Figures
  /** Baselines by name. */
  readonly baselines: Readonly<Record<string, Figures>>
}

export interface Verdict {
  readonly target: string
  readonly checked: number
  /** One line per miss. */
  readonly missed: readonly string[]
}

type Tail = 'p99' | 'urgentP99'

const STEADY_FACTOR = 1.25
const SLOW_FACTOR = 0.5
const BASELINE_FACTOR = 1.05
const FAIL_FAST_SHARE = 0.02
const GOODPUT_SHARE = 0.95

export function judge(results: readonly Result[]): readonly Verdict[] {
  return [
    check('p99 of all calls at 80%, steady state, at most 1.25 times the bound', steady(results), (result) =>
      atMost(result.router.p99, STEADY_FACTOR * result.bound.p99),
    ),
    check(
      'p99 of all calls with one server 10 times slower (80%) at most half of power of two',
      slow(results),
      (result) => atMost(result.router.p99, SLOW_FACTOR * powerOfTwo(result).p99),
    ),
    check('The same for urgent calls', slow(results), (result) =>
      atMost(result.router.urgentP99, SLOW_FACTOR * powerOfTwo(result).urgentP99),
    ),
    check('p99 of urgent calls never worse than 1.05 times the best baseline', results, (result) =>
      atMost(result.router.urgentP99, BASELINE_FACTOR * best(result, 'urgentP99')),
    ),
    check('p99 of all calls never worse than 1.05 times the best baseline', results, (result) =>
      atMost(result.router.p99, BASELINE_FACTOR * best(result, 'p99')),
    ),
    check('fail-fast server receives under 2% of calls after 1 s', failFast(results), (result) =>
      atMost(result.router.failFastShare, FAIL_FAST_SHARE),
    ),
    check('goodput at 150% at least 95% of capacity', overload(results), (result) =>
      atMost(GOODPUT_SHARE, result.router.goodput),
    ),
    check('measuring budget exceeded in no window', results, (result) => atMost(result.router.budgetExceeded, 0)),
  ]
}

export function label(scenario: Scenario): string {
  const load = Math.round(scenario.load * 100)
  return `${scenario.caseName}, ${scenario.workload.name}, ${scenario.distribution}, ${load}%`
}

/** `undefined` when the target is met, otherwise the two sides of the comparison. */
function atMost(value: number, limit: number): string | undefined {
  return value <= limit ? undefined : `${round(value)} against ${round(limit)}`
}

function round(value: number): string {
  return value >= 10 ? value.toFixed(1) : value.toFixed(4)
}

function check(target: string, results: readonly Result[], miss: (result: Result) => string | undefined): Verdict {
  const missed: string[] = []
  for (const result of results) {
    const reason = miss(result)
    if (reason !== undefined) missed.push(`${label(result.scenario)}: ${reason}`)
  }
  return { target, checked: results.length, missed }
}

function steady(results: readonly Result[]): readonly Result[] {
  return results.filter(({ scenario }) => scenario.caseName === 'steady state' && scenario.load === STATED_LOAD)
}

function slow(results: readonly Result[]): readonly Result[] {
  return results.filter(
    ({ scenario }) => scenario.caseName === 'one server 10 times slower' && scenario.load === STATED_LOAD,
  )
}

function failFast(results: readonly Result[]): readonly Result[] {
  return results.filter(({ scenario }) => scenario.caseName === 'fail-fast server')
}

function overload(results: readonly Result[]): readonly Result[] {
  return results.filter(({ scenario }) => scenario.load === OVERLOAD)
}

function powerOfTwo(result: Result): Figures {
  return result.baselines['power of two choices'] ?? result.bound
}

function best(result: Result, tail: Tail): number {
  return Math.min(...Object.values(result.baselines).map((figures) => figures[tail]))
}
