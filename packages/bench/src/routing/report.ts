/** Renders the tables and text of `docs/ROUTING.md`. */
import { POLICIES } from './comparison'
import { FAULT_AT_MS, MEASURE_FROM_MS, RUN_DURATION_MS } from './case'
import type { RunStatistics } from './measurements'
import { scenarioLabel, type ScenarioResult, type TargetResult } from './targets'

export interface VariantResult {
  readonly name: string
  readonly statistics: readonly RunStatistics[]
}

export interface Report {
  readonly seed: number
  readonly command: string
  readonly results: readonly ScenarioResult[]
  readonly targetResults: readonly TargetResult[]
  readonly variantScenarios: readonly string[]
  readonly variants: readonly VariantResult[]
  /** Microseconds per call. */
  readonly microsecondsPerCall: number
}

export function renderTargetResults(targetResults: readonly TargetResult[]): string {
  const rows = targetResults.map(({ target, scenarioCount, misses }) => {
    const outcome = misses.length === 0 ? 'met' : `**MISSED** in ${misses.length}`
    return `| ${target} | ${scenarioCount} | ${outcome} |`
  })
  const missLines = targetResults.flatMap(({ target, misses }) =>
    misses.length === 0 ? [] : [`MISSED: ${target}:`, '', ...misses.map((line) => `- ${line}`), ''],
  )
  return [...tableHeader(['Target', 'Scenarios', 'Result']), ...rows, '', ...missLines].join('\n')
}

export function renderScenario(result: ScenarioResult): string {
  const header = ['Policy', 'p50', 'p99', 'p99.9', 'Urgent p99', 'Urgent in time', 'Queued while free', 'Goodput']
  const statisticsByPolicy: Record<string, RunStatistics> = {
    ...result.baselines,
    router: result.router,
    bound: result.bound,
  }
  const rows = POLICIES.map((policy) => {
    const statistics = statisticsByPolicy[policy]
    return statistics === undefined ? '' : `| ${policy} | ${formatCells(statistics).join(' | ')} |`
  })
  const { probeTimeReserved, probeTimeBudget, failFastShare } = result.router
  const shares = Object.entries(statisticsByPolicy).map(
    ([name, statistics]) => `${name} ${formatPercent(statistics.failFastShare, 2)}`,
  )
  const failFast = Number.isNaN(failFastShare) ? '' : ` Share of calls at the failing server: ${shares.join(', ')}.`
  const spent = `Router: ${probeTimeReserved} ms of ${probeTimeBudget} ms slot time reserved for probes.`
  return [
    `### ${scenarioLabel(result.scenario)}`,
    '',
    ...tableHeader(header),
    ...rows,
    '',
    `${spent}${failFast}`,
    '',
  ].join('\n')
}

function formatCells(statistics: RunStatistics): string[] {
  const { p50, p99, p999, urgentP99, urgentInTimeShare, queuedWhileFreeShare, goodput } = statistics
  const times = [p50, p99, p999, urgentP99].map((time) => time.toFixed(1))
  return [
    ...times,
    formatPercent(urgentInTimeShare, 2),
    formatPercent(queuedWhileFreeShare, 1),
    formatPercent(goodput, 1),
  ]
}

function formatPercent(share: number, digits: number): string {
  return `${(share * 100).toFixed(digits)}%`
}

function tableHeader(header: readonly string[]): string[] {
  return [`| ${header.join(' | ')} |`, `| ${header.map(() => '---').join(' | ')} |`]
}

function renderVariants(report: Report): string {
  const rows = report.variants.map(({ name, statistics }) => {
    const tails = statistics.map(
      (scenarioStatistics) => `${scenarioStatistics.urgentP99.toFixed(1)} / ${scenarioStatistics.p99.toFixed(1)}`,
    )
    return `| ${name} | ${tails.join(' | ')} | ${formatPercent(statistics.at(-1)?.goodput ?? 0, 1)} |`
  })
  return [...tableHeader(['Policy', ...report.variantScenarios, 'Goodput at 150%']), ...rows, ''].join('\n')
}

export function renderReport(report: Report): string {
  return [
    INTRODUCTION_TEXT,
    `Command: \`${report.command}\` (seed ${report.seed}; another seed as argument). A run lasts ${RUN_DURATION_MS / 1000} s of`,
    `simulated time, faults happen at ${FAULT_AT_MS / 1000} s, and calls that arrive from ${MEASURE_FROM_MS / 1000} s on are counted.`,
    '',
    '## Targets',
    '',
    renderTargetResults(report.targetResults),
    '![p99 of urgent calls per case, booking](routing-booking.svg)',
    '',
    '![p99 of urgent calls per case, site history](routing-site-history.svg)',
    '',
    `Cost per call from submit to finished, 24 servers and 30 calls in flight: ${report.microsecondsPerCall.toFixed(1)} µs (this run).`,
    '',
    VARIANTS_TEXT,
    renderVariants(report),
    CONCLUSIONS_TEXT,
    ALL_FIGURES_TEXT,
    ...renderSummary(report.results),
    '',
  ].join('\n')
}

/** Renders one row per scenario; the statistics of every policy are only printed by the command. */
function renderSummary(results: readonly ScenarioResult[]): string[] {
  const header = [
    'Scenario',
    'Router',
    'Power of two',
    'Best baseline',
    'Bound',
    'In time',
    'Queued',
    'Goodput',
    'Probes',
  ]
  const rows = results.map((result) => {
    const { router, bound, baselines } = result
    const powerOfTwo = baselines['power of two choices']
    const best = Object.values(baselines).reduce((left, right) => (right.urgentP99 < left.urgentP99 ? right : left))
    const tails = [router, powerOfTwo ?? bound, best, bound].map(formatLatencies)
    const shares = [
      formatPercent(router.urgentInTimeShare, 2),
      formatPercent(router.queuedWhileFreeShare, 1),
      formatPercent(router.goodput, 1),
    ]
    const spent = `${router.probeTimeReserved}/${router.probeTimeBudget}`
    return `| ${[scenarioLabel(result.scenario), ...tails, ...shares, spent].join(' | ')} |`
  })
  return [...tableHeader(header), ...rows]
}

function formatLatencies(statistics: RunStatistics): string {
  const { p50, p99, p999, urgentP99 } = statistics
  return [p50, p99, p999, urgentP99].map((time) => time.toFixed(0)).join(' / ')
}

const INTRODUCTION_TEXT = `# Routing

This page is generated by the comparison of routing policies. Several routers share servers with 3 slots and a FIFO
queue. Every policy handles the same arrivals with the same service times. The service time belongs to the call, so that
sending a call again does not make it shorter.

- Service times have a mean of 20 ms: a probe takes 6 ms on these servers and a call a few times as long. They are
  exponential (independent small steps, coefficient of variation 1) or lognormal with sigma 1.2, cut off at 600 ms (most
  calls short, a few long photo or route downloads, coefficient of variation about 1.8).
- The one-way delay is 1 ms or 1.5 ms between failure domains and 0.25 ms within one. Latency is measured at the entry.
- 20% of calls are deferrable (4 s to the deadline), the others urgent (1 s). 20% are not repeatable.
- The latency of a call without a complete response is its whole time to the deadline, so that shedding cannot improve
  the tail.
- The bound is one central queue with complete knowledge: no delay before a slot is taken, speeds and faults known
  immediately, urgent calls first. At 95% load its p99 of all calls can exceed that of a baseline, because deferrable
  calls wait longest.
- Measuring budget: 2 permille of slot time, in probes of at most 12 ms.
`

const ALL_FIGURES_TEXT = `## All figures

Times in ms as p50 / p99 / p99.9 of all calls / p99 of urgent calls. The best baseline is the one with the lowest p99 of
urgent calls. In time: urgent calls of the router with a complete response before their deadline. Queued: calls of the
router that arrived at a server without a free slot while another server had one. Probes: ms of slot time reserved, and
budget. At 95% load a slow, cold or lost server makes the load exceed the capacity.
`

const VARIANTS_TEXT = `## Alternatives

Urgent p99 / p99 of all calls in ms, service booking (6 servers, 11 entries), exponential.
`

const CONCLUSIONS_TEXT = `- **Least load by own counts and load on responses** with a queue in the entry and refusals by full servers is the
  policy. A call is sent to the server with the lowest estimated load if that is below a limit which rises with the
  wait of the call; otherwise it waits in the entry and takes the next slot that becomes free.
- **Refusals**: while retry tokens last, a first attempt asks a server without a free slot to refuse the call as not
  run, and the call is then sent to another server. The token for that is taken in advance, so a refused call never
  fails for lack of one.
- **Counting to idle**, that is, queueing a call until a slot is believed free, leaves slots idle for a round trip after
  each call. Entries with few calls in flight learn too late that a slot is free.
- **Own counts alone** come close: with 6 to 16 servers and 7 to 11 entries, most of the improvement over power of two
  choices comes from comparing all servers and from the queue. Reports and refusals add a few percent in steady state.
- **Leased slots** never queue at a server, but with 18 slots and 11 entries most calls wait for a lease. The model is
  optimistic: it finds idle leases immediately.
- **Hedged and tied requests** were considered but not simulated: the service time belongs to the call here, so a second
  request can only avoid the wait in a queue, which refusals avoid without a second request. A slow server is detected
  within a few calls by the age of its calls. Hedging would also spend the retry budget that refusals use.
- **Deferrable calls** leave the last free slots to urgent calls for only 0.5% of their time (20 ms of 4 s). An eighth
  of their time lowers the tail of urgent calls slightly but misses the target for all calls at 80%.
- **Reports** lose weight with age and when refusals contradict them, for each server and for the whole service.
`
