/** Metrics of hedged attempts, by service. */
import type { HedgingPolicies } from '@bilberrystall/routing'
import type { Metrics } from './metrics'

export interface HedgingMetricsOptions {
  readonly hedging: HedgingPolicies
  /** Monotonic ms. */
  readonly now: () => number
}

export function registerHedgingMetrics(metrics: Metrics, { hedging, now }: HedgingMetricsOptions): void {
  metrics.totals('hedged_attempts_total', 'Hedged attempts by result, with the reason if they were denied', {
    labelNames: ['service', 'result', 'reason'],
    read: () =>
      [...hedging.entries()].flatMap(([service, { totals }]) => [
        ...Object.entries(totals.results).map(([result, total]) => ({
          labels: { service, result, reason: '' },
          total,
        })),
        ...Object.entries(totals.denials).map(([reason, total]) => ({
          labels: { service, result: 'denied', reason },
          total,
        })),
      ]),
  })
  metrics.gauges('hedged_work_percent', 'Hedged attempts of the last 10 s in percent of the calls', {
    labelNames: ['service'],
    read: () =>
      [...hedging.entries()].map(([service, policy]) => ({
        labels: { service },
        value: policy.extraWorkPercent(now()),
      })),
  })
}
