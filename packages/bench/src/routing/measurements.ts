/** Figures of one run. A call without a complete response counts with its whole time to the deadline as latency. */
import { FAULT_AT, MEASURE_FROM, RUN_LENGTH, type CaseName } from './case'
import { SLOTS, type Arrival, type Workload } from './workload'

export interface Figures {
  readonly calls: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
  readonly urgentP99: number
  /** Share of urgent calls with a complete response before the deadline. */
  readonly inTime: number
  /** Share of calls that met a server without a free slot while another server had one. */
  readonly queuedWhileFree: number
  /** Share of dispatches from 1 s after the fault that went to the fail-fast server. */
  readonly failFastShare: number
  /** Slot time of calls completed in time as a share of all slot time. */
  readonly goodput: number
  /** Slot time reserved for probes in ms, and the budget for the run. */
  readonly measuringSpent: number
  readonly measuringBudget: number
  /** Windows in which probes took more than the budget. */
  readonly budgetExceeded: number
}

const SETTLED_AFTER = 1000

export class Measurements {
  measuringBudget = 0
  readonly #spentPerWindow = new Map<number, number>()
  readonly #budgetPerWindow = new Map<number, number>()
  readonly #latencies: number[] = []
  readonly #urgentLatencies: number[] = []
  readonly #workload: Workload
  readonly #hasFailFast: boolean
  #urgentInTime = 0
  #queued = 0
  #dispatches = 0
  #failFastDispatches = 0
  #workInTime = 0

  constructor(workload: Workload, caseName: CaseName) {
    this.#workload = workload
    this.#hasFailFast = caseName === 'fail-fast server'
  }

  dispatched(now: number, server: number): void {
    if (now < FAULT_AT + SETTLED_AFTER) return
    this.#dispatches += 1
    if (server === 0) this.#failFastDispatches += 1
  }

  queuedWhileFree(now: number): void {
    if (now >= MEASURE_FROM) this.#queued += 1
  }

  granted(window: number, budget: number): void {
    this.#budgetPerWindow.set(window, budget)
  }

  probed(window: number, cost: number): void {
    this.#spentPerWindow.set(window, (this.#spentPerWindow.get(window) ?? 0) + cost)
  }

  ended(call: Arrival, isComplete: boolean, now: number): void {
    if (isComplete && now >= MEASURE_FROM) this.#workInTime += call.work
    if (call.time < MEASURE_FROM) return
    const latency = (isComplete ? now : call.deadline) - call.time
    this.#latencies.push(latency)
    if (!call.isUrgent) return
    this.#urgentLatencies.push(latency)
    if (isComplete) this.#urgentInTime += 1
  }

  figures(): Figures {
    const all = Float64Array.from(this.#latencies).sort()
    const urgent = Float64Array.from(this.#urgentLatencies).sort()
    const slotTime = this.#workload.servers * SLOTS * (RUN_LENGTH - MEASURE_FROM)
    const spent = [...this.#spentPerWindow]
    return {
      calls: all.length,
      p50: quantile(all, 0.5),
      p99: quantile(all, 0.99),
      p999: quantile(all, 0.999),
      urgentP99: quantile(urgent, 0.99),
      inTime: this.#urgentInTime / Math.max(1, urgent.length),
      queuedWhileFree: this.#queued / Math.max(1, all.length),
      failFastShare: this.#hasFailFast ? this.#failFastDispatches / Math.max(1, this.#dispatches) : Number.NaN,
      goodput: this.#workInTime / slotTime,
      measuringSpent: spent.reduce((sum, [, cost]) => sum + cost, 0),
      measuringBudget: [...this.#budgetPerWindow.values()].reduce((sum, budget) => sum + budget, 0),
      budgetExceeded: spent.filter(([window, cost]) => cost > (this.#budgetPerWindow.get(window) ?? 0)).length,
    }
  }
}

function quantile(sorted: Float64Array, share: number): number {
  if (sorted.length === 0) return Number.NaN
  return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN
}
