/** Baselines: each entry sends a call at once to a server chosen by a simple rule. */
import { required } from './required'
import { randomBelow, seededRandom, type Random } from '@bilberrystall/base'
import { RetryBudget, type ExchangeOutcome, type Load } from '@bilberrystall/routing'
import type { Exchange, Policy, SimulatedCall, Simulation } from './simulation'

export type Baseline = 'random' | 'round robin' | 'least reported load' | 'power of two choices'

interface EntryView {
  readonly inFlight: Int32Array
  readonly reported: Float64Array
  readonly retries: RetryBudget
  next: number
}

export class BaselinePolicy implements Policy {
  readonly #simulation: Simulation
  readonly #kind: Baseline
  readonly #random: Random
  readonly #entries: readonly EntryView[]
  #present: number[]

  constructor(simulation: Simulation, kind: Baseline) {
    const count = simulation.workload.servers
    this.#simulation = simulation
    this.#kind = kind
    this.#random = seededRandom(simulation.seed + 2)
    this.#present = simulation.servers.map((server) => server.index)
    this.#entries = Array.from({ length: simulation.workload.entries }, () => ({
      inFlight: new Int32Array(count),
      reported: new Float64Array(count),
      retries: new RetryBudget({}, 0),
      next: randomBelow(this.#random, count),
    }))
  }

  submit(call: SimulatedCall): void {
    const view = this.#view(call)
    if (call.tried.length === 0) view.retries.credit(this.#simulation.events.now)
    const candidates =
      call.tried.length === 0 ? this.#present : this.#present.filter((index) => !call.tried.includes(index))
    const chosen = candidates.length === 0 ? undefined : this.#choose(view, candidates)
    const server = chosen === undefined ? undefined : this.#simulation.servers[chosen]
    if (server === undefined) {
      this.#simulation.fail(call)
      return
    }
    view.inFlight[server.index] = (view.inFlight[server.index] ?? 0) + 1
    this.#simulation.send(call, server)
  }

  ended(exchange: Exchange, _outcome: ExchangeOutcome, _latency: number, load: Load | undefined): void {
    const view = this.#view(exchange.call)
    const index = exchange.server.index
    view.inFlight[index] = (view.inFlight[index] ?? 1) - 1
    if (load !== undefined) view.reported[index] = load.inflight + load.queue
  }

  cancelled(): void {
    // Calls never wait in the entry.
  }

  mayRetry(call: SimulatedCall): boolean {
    return this.#view(call).retries.take(this.#simulation.events.now)
  }

  restarted(): void {
    // These rules know no ramp.
  }

  removed(server: number): void {
    this.#present = this.#present.filter((index) => index !== server)
  }

  #view(call: SimulatedCall): EntryView {
    return required(this.#entries[call.home])
  }

  #choose(view: EntryView, candidates: readonly number[]): number | undefined {
    switch (this.#kind) {
      case 'random':
        return candidates[randomBelow(this.#random, candidates.length)]
      case 'round robin':
        return candidates[view.next++ % candidates.length]
      case 'least reported load':
        return this.#least(view.reported, candidates)
      case 'power of two choices': {
        const first = candidates[randomBelow(this.#random, candidates.length)] ?? 0
        const second = candidates[randomBelow(this.#random, candidates.length)] ?? 0
        return (view.inFlight[second] ?? 0) < (view.inFlight[first] ?? 0) ? second : first
      }
    }
  }

  #least(values: Float64Array, candidates: readonly number[]): number | undefined {
    const offset = randomBelow(this.#random, candidates.length)
    let best: number | undefined
    let bestValue = Number.POSITIVE_INFINITY
    for (let step = 0; step < candidates.length; step += 1) {
      const index = candidates[(offset + step) % candidates.length] ?? 0
      const value = values[index] ?? 0
      if (value >= bestValue) continue
      best = index
      bestValue = value
    }
    return best
  }
}
