/** Tables and text of `docs/ROUTING.md`. */
import { POLICIES } from './comparison'
import { FAULT_AT, MEASURE_FROM, RUN_LENGTH } from './case'
import type { Figures } from './measurements'
import { label, type Result, type Verdict } from './targets'

export interface VariantResult {
  readonly name: string
  readonly figures: readonly Figures[]
}

export interface Report {
  readonly seed: number
  readonly command: string
  readonly results: readonly Result[]
  readonly verdicts: readonly Verdict[]
  readonly variantScenarios: readonly string[]
  readonly variants: readonly VariantResult[]
  /** Microseconds per call. */
  readonly cost: number
}

export function renderVerdicts(verdicts: readonly Verdict[]): string {
  const rows = verdicts.map(({ target, checked, missed }) => {
    const state = missed.length === 0 ? 'met' : `**MISSED** in ${missed.length}`
    return `| ${target} | ${checked} | ${state} |`
  })
  const misses = verdicts.flatMap(({ target, missed }) =>
    missed.length === 0 ? [] : [`MISSED: ${target}:`, '', ...missed.map((miss) => `- ${miss}`), ''],
  )
  return [...table(['Target', 'Scenarios', 'Result']), ...rows, '', ...misses].join('\n')
}

export function renderScenario(result: Result): string {
  const header = ['Policy', 'p50', 'p99', 'p99.9', 'Urgent p99', 'Urgent in time', 'Queued while free', 'Goodput']
  const all: Record<string, Figures> = { ...result.baselines, router: result.router, bound: result.bound }
  const rows = POLICIES.map((policy) => {
    const figures = all[policy]
    return figures === undefined ? '' : `| ${policy} | ${cells(figures).join(' | ')} |`
  })
  const { measuringSpent, measuringBudget, failFastShare } = result.router
  const shares = Object.entries(all).map(([name, figures]) => `${name} ${percent(figures.failFastShare, 2)}`)
  const failFast = Number.isNaN(failFastShare) ? '' : ` Share of calls at the failing server: ${shares.join(', ')}.`
  const spent = `Router: ${measuringSpent} ms of ${measuringBudget} ms slot time reserved for probes.`
  return [`### ${label(result.scenario)}`, '', ...table(header), ...rows, '', `${spent}${failFast}`, ''].join('\n')
}

function cells(figures: Figures): string[] {
  const { p50, p99, p999, urgentP99, inTime, queuedWhileFree, goodput } = figures
  const times = [p50, p99, p999, urgentP99].map((time) => time.toFixed(1))
  return [...times, percent(inTime, 2), percent(queuedWhileFree, 1), percent(goodput, 1)]
}

function percent(share: number, digits: number): string {
  return `${(share * 100).toFixed(digits)}%`
}

function table(header: readonly string[]): string[] {
  return [`| ${header.join(' | ')} |`, `| ${header.map(() => '---').join(' | ')} |`]
}

function renderVariants(report: Report): string {
  const rows = report.variants.map(({ name, figures }) => {
    const tails = figures.map((one) => `${one.urgentP99.toFixed(1)} / ${one.p99.toFixed(1)}`)
    return `| ${name} | ${tails.join(' | ')} | ${percent(figures.at(-1)?.goodput ?? 0, 1)} |`
  })
  return [...table(['Policy', ...report.variantScenarios, 'Goodput at 150%']), ...rows, ''].join('\n')
}

export function renderReport(report: Report): string {
  return [
    INTRODUCTION,
    `Command: \`${report.command}\` (seed ${report.seed}; another seed as argument). A run lasts ${RUN_LENGTH / 1000} s of`,
    `simulated time, faults happen at ${FAULT_AT / 1000} s, and calls that arrive from ${MEASURE_FROM / 1000} s on are counted.`,
    '',
    '## Targets',
    '',
    renderVerdicts(report.verdicts),
    '![p99 of urgent calls per case, booking](routing-booking.svg)',
    '',
    '![p99 of urgent calls per case, site history](routing-site-history.svg)',
    '',
    `Cost per call from submit to finished, 24 servers and 30 calls in flight: ${report.cost.toFixed(1)} µs (this run).`,
    '',
    WAYS,
    renderVariants(report),
    JUDGEMENT,
    FIGURES,
    ...summary(report.results),
    '',
  ].join('\n')
}

/** One row per scenario; the command prints all policies. */
function summary(results: readonly Result[]): string[] {
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
    const tails = [router, powerOfTwo ?? bound, best, bound].map(tailsOf)
    const shares = [percent(router.inTime, 2), percent(router.queuedWhileFree, 1), percent(router.goodput, 1)]
    const spent = `${router.measuringSpent}/${router.measuringBudget}`
    return `| ${[label(result.scenario), ...tails, ...shares, spent].join(' | ')} |`
  })
  return [...table(header), ...rows]
}

function tailsOf(figures: Figures): string {
  const { p50, p99, p999, urgentP99 } = figures
  return [p50, p99, p999, urgentP99].map((time) => time.toFixed(0)).join(' / ')
}

const INTRODUCTION = `# Routing

This page is written by the comparison of routing policies. Several routers share servers with 3 slots and a FIFO queue;
every policy meets the same arrivals with the same work. The work belongs to the call, so that sending it again does not
make it shorter.

- Service times have a mean of 20 ms: a probe takes 6 ms on these servers and a call does a few times its work. They are
  exponential (independent small steps, coefficient of variation 1) or lognormal with sigma 1.2, cut off at 600 ms (most
  calls short, a few long photo or route downloads, coefficient of variation about 1.8).
- One-way delay between failure domains 1 ms or 1.5 ms, within one 0.25 ms. Latency is counted at the entry.
- 20% of calls are deferrable (4 s to the deadline), the others urgent (1 s). 20% may not run twice.
- A call without a complete response counts with its whole time to the deadline, so that shedding cannot improve a tail.
- The bound is one queue that sees everything: no delay before a slot is taken, speeds and faults known at once, urgent
  calls first. At 95% load its p99 over all calls can exceed a baseline's, because deferrable calls wait longest.
- Measuring budget: 2 permille of slot time, in probes of at most 12 ms.
`

const FIGURES = `## All figures

Times in ms as p50 / p99 / p99.9 of all calls / p99 of urgent calls. The best baseline is the one with the lowest p99 of
urgent calls. In time: urgent calls of the router with a complete response before their deadline. Queued: calls of the
router that met a server without a free slot while another server had one. Probes: ms of slot time reserved, and budget.
At 95% load a slow, cold or lost server makes the load exceed the capacity.
`

const WAYS = `## Ways weighed

Urgent p99 / p99 of all calls in ms, service booking (6 servers, 11 entries), exponential.
`

const JUDGEMENT = `- **Least load by own counts and load on responses** with a queue in the entry and refusals by full servers is the
  policy. A call is sent to the server with the lowest estimated load if that is below a limit which rises with the
  wait of the call; otherwise it waits in the entry and takes the next place that opens.
- **Refusals**: while retry tokens last, a first attempt asks a server without a free slot to refuse it as not run, and
  goes elsewhere. The token for that is taken in advance, so a refused call is never lost for lack of one.
- **Counting to idle**, that is waiting until a slot is believed free, leaves slots idle for a round trip after each
  call; entries with few calls in flight learn too late of free slots.
- **Own counts alone** come close: with 6 to 16 servers and 7 to 11 entries most of the gain over power of two comes
  from looking at all servers and from the queue; reports and refusals add a few percent in steady state.
- **Leased slots** never queue at a server, but with 18 slots and 11 entries most calls wait for a lease. The model is
  optimistic: it finds idle leases at once.
- **Hedged and tied requests** were weighed but not run: work belongs to the call here, so a second request can only
  save the wait in a queue, which refusals save without a second request; against a slow server the age of calls acts
  within a few calls. They would also spend the retry budget that refusals use.
- **Deferrable calls** leave the last free slots to urgent ones for 0.5% of their time only (20 ms of 4 s). An eighth
  lowers the tail of urgent calls a little but misses the target for all calls at 80%.
- **Reports** lose weight with age, and with refusals that contradict them, per server and for the whole service.
`
