/** Metrics of a process, rendered in the Prometheus text exposition format. */
import type { Histogram } from 'hdr-histogram-js'
import { build } from 'hdr-histogram-js'
import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client'

const QUANTILES = [0.5, 0.9, 0.99, 0.999]
const MAX_LATENCY_US = 3_600_000_000
/** The default of 10 ms wakes up an idle process a hundred times a second. */
const EVENT_LOOP_SAMPLING_MS = 1_000

export interface Total<Label extends string> {
  readonly labels: Record<Label, string>
  readonly total: number
}

export interface Value<Label extends string> {
  readonly labels: Record<Label, string>
  readonly value: number
}

export class Metrics {
  readonly #registry = new Registry()

  constructor() {
    collectDefaultMetrics({
      register: this.#registry,
      prefix: 'bilberrystall_',
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_MS,
    })
  }

  counter<Label extends string>(name: string, help: string, labelNames: readonly Label[] = []): Counter<Label> {
    return new Counter({ name: `bilberrystall_${name}`, help, labelNames, registers: [this.#registry] })
  }

  /** Registers a gauge whose value is read when the metrics are rendered. */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `bilberrystall_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read())
      },
    })
  }

  /** Registers a gauge with labels whose values are read when the metrics are rendered. */
  gauges<Label extends string>(
    name: string,
    help: string,
    options: { readonly labelNames: readonly Label[]; readonly read: () => readonly Value<Label>[] },
  ): void {
    const { labelNames, read } = options
    new Gauge({
      name: `bilberrystall_${name}`,
      help,
      labelNames,
      registers: [this.#registry],
      collect() {
        this.reset()
        for (const { labels, value } of read()) this.set(labels, value)
      },
    })
  }

  /** Registers a counter whose totals are kept elsewhere and read when the metrics are rendered. */
  totals<Label extends string>(
    name: string,
    help: string,
    options: { readonly labelNames: readonly Label[]; readonly read: () => readonly Total<Label>[] },
  ): void {
    const { labelNames, read } = options
    new Counter({
      name: `bilberrystall_${name}`,
      help,
      labelNames,
      registers: [this.#registry],
      collect() {
        this.reset()
        for (const { labels, total } of read()) this.inc(labels, total)
      },
    })
  }

  /** Registers a latency in microseconds, recorded with three significant digits and exported as quantiles. */
  latency(name: string, help: string): Histogram {
    const histogram = build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })
    new Gauge({
      name: `bilberrystall_${name}_microseconds`,
      help,
      labelNames: ['quantile'],
      registers: [this.#registry],
      collect() {
        for (const quantile of QUANTILES) {
          this.set({ quantile: String(quantile) }, histogram.getValueAtPercentile(quantile * 100))
        }
      },
    })
    return histogram
  }

  render(): Promise<string> {
    return this.#registry.metrics()
  }
}
