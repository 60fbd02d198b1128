/** Statistics of one run. The latency of a call without a complete response is its whole time to the deadline. */
import { FAULT_AT_MS, MEASURE_FROM_MS, RUN_DURATION_MS, type CaseName } from './case'
import { SLOTS, type Arrival, type Workload } from './workload'

export interface RunStatistics {
  /** Number of measured calls. */
  readonly calls: number
  /** Latency quantiles of all calls in ms. */
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** 99th percentile of the latency of urgent calls in ms. */
  readonly urgentP99: number
  /** Share of urgent calls with a complete response before the deadline. */
  readonly urgentInTimeShare: number
  /** Share of calls that arrived at a server without a free slot while another server had one. */
  readonly queuedWhileFreeShare: number
  /** Share of the calls sent later than 1 s after the fault that went to the fail-fast server; NaN in other cases. */
  readonly failFastShare: number
  /** Service time of calls completed before their deadline as a share of all slot time. */
  readonly goodput: number
  /** Slot time reserved for probes in ms, and the budget for the run. */
  readonly probeTimeReserved: number
  readonly probeTimeBudget: number
  /** Number of windows in which probes reserved more than the budget. */
  readonly windowsOverBudget: number
}

/** Time that a policy has to detect the fail-fast server before its share of calls is counted. */
const FAIL_FAST_REACTION_TIME_MS = 1000

export class Measurements {
  probeTimeBudget = 0
  readonly #spentPerWindow = new Map<number, number>()
  readonly #budgetPerWindow = new Map<number, number>()
  readonly #latencies: number[] = []
  readonly #urgentLatencies: number[] = []
  readonly #workload: Workload
  readonly #hasFailFast: boolean
  #urgentInTime = 0
  #queuedWhileFree = 0
  #dispatches = 0
  #failFastDispatches = 0
  #completedServiceTime = 0

  constructor(workload: Workload, caseName: CaseName) {
    this.#workload = workload
    this.#hasFailFast = caseName === 'fail-fast server'
  }

  recordDispatch(now: number, server: number): void {
    if (now < FAULT_AT_MS + FAIL_FAST_REACTION_TIME_MS) return
    this.#dispatches += 1
    if (server === 0) this.#failFastDispatches += 1
  }

  recordQueuedWhileFree(now: number): void {
    if (now >= MEASURE_FROM_MS) this.#queuedWhileFree += 1
  }

  recordGrant(window: number, budget: number): void {
    this.#budgetPerWindow.set(window, budget)
  }

  recordProbe(window: number, cost: number): void {
    this.#spentPerWindow.set(window, (this.#spentPerWindow.get(window) ?? 0) + cost)
  }

  recordEnd(call: Arrival, hasResponse: boolean, now: number): void {
    if (hasResponse && now >= MEASURE_FROM_MS) this.#completedServiceTime += call.serviceTime
    if (call.time < MEASURE_FROM_MS) return
    const latency = (hasResponse ? now : call.deadline) - call.time
    this.#latencies.push(latency)
    if (!call.isUrgent) return
    this.#urgentLatencies.push(latency)
    if (hasResponse) this.#urgentInTime += 1
  }

  computeStatistics(): RunStatistics {
    const allLatencies = Float64Array.from(this.#latencies).sort()
    const urgentLatencies = Float64Array.from(this.#urgentLatencies).sort()
    const totalSlotTime = this.#workload.servers * SLOTS * (RUN_DURATION_MS - MEASURE_FROM_MS)
    const spentPerWindow = [...this.#spentPerWindow]
    return {
      calls: allLatencies.length,
      p50: quantile(allLatencies, 0.5),
      p99: quantile(allLatencies, 0.99),
      p999: quantile(allLatencies, 0.999),
      urgentP99: quantile(urgentLatencies, 0.99),
      urgentInTimeShare: this.#urgentInTime / Math.max(1, urgentLatencies.length),
      queuedWhileFreeShare: this.#queuedWhileFree / Math.max(1, allLatencies.length),
      failFastShare: this.#hasFailFast ? this.#failFastDispatches / Math.max(1, this.#dispatches) : Number.NaN,
      goodput: this.#completedServiceTime / totalSlotTime,
      probeTimeReserved: spentPerWindow.reduce((sum, [, cost]) => sum + cost, 0),
      probeTimeBudget: [...this.#budgetPerWindow.values()].reduce((sum, budget) => sum + budget, 0),
      windowsOverBudget: spentPerWindow.filter(([window, cost]) => cost > (this.#budgetPerWindow.get(window) ?? 0))
        .length,
    }
  }
}

function quantile(sorted: Float64Array, fraction: number): number {
  if (sorted.length === 0) return Number.NaN
  return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)] ?? Number.NaN
}
