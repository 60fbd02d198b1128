/** Baseline policies: each entry sends a call immediately to a server that a simple rule selects. */
import { requireDefined } from './require-defined'
import { randomInt, seededRandom, type RandomSource } from '@bilberrystall/base'
import { TokenRetryBudget, type ExchangeOutcome, type Load } from '@bilberrystall/routing'
import type { SimulatedExchange, Policy, SimulatedCall, Simulation } from './simulation'

export type Baseline = 'random' | 'round robin' | 'least reported load' | 'power of two choices'

interface EntryView {
  readonly inFlight: Int32Array
  readonly reportedLoad: Float64Array
  readonly retries: TokenRetryBudget
  nextCandidate: number
}

export class BaselinePolicy implements Policy {
  readonly #simulation: Simulation
  readonly #kind: Baseline
  readonly #random: RandomSource
  readonly #entries: readonly EntryView[]
  #available: number[]

  constructor(simulation: Simulation, kind: Baseline) {
    const serverCount = simulation.workload.servers
    this.#simulation = simulation
    this.#kind = kind
    this.#random = seededRandom(simulation.seed + 2)
    this.#available = simulation.servers.map((server) => server.index)
    this.#entries = Array.from({ length: simulation.workload.entries }, () => ({
      inFlight: new Int32Array(serverCount),
      reportedLoad: new Float64Array(serverCount),
      retries: new TokenRetryBudget({}, 0),
      nextCandidate: randomInt(this.#random, serverCount),
    }))
  }

  submit(call: SimulatedCall): void {
    const view = this.#view(call)
    if (call.triedServers.length === 0) view.retries.credit(this.#simulation.events.now)
    const candidates =
      call.triedServers.length === 0
        ? this.#available
        : this.#available.filter((index) => !call.triedServers.includes(index))
    const chosen = candidates.length === 0 ? undefined : this.#choose(view, candidates)
    const server = chosen === undefined ? undefined : this.#simulation.servers[chosen]
    if (server === undefined) {
      this.#simulation.fail(call)
      return
    }
    view.inFlight[server.index] = (view.inFlight[server.index] ?? 0) + 1
    this.#simulation.send(call, server)
  }

  onExchangeEnded(
    exchange: SimulatedExchange,
    _outcome: ExchangeOutcome,
    _latency: number,
    load: Load | undefined,
  ): void {
    const view = this.#view(exchange.call)
    const index = exchange.server.index
    view.inFlight[index] = (view.inFlight[index] ?? 1) - 1
    if (load !== undefined) view.reportedLoad[index] = load.inflight + load.queue
  }

  onCallCancelled(): void {
    // Calls never wait in an entry.
  }

  mayRetry(call: SimulatedCall): boolean {
    return this.#view(call).retries.take(this.#simulation.events.now)
  }

  onServerRestarted(): void {
    // The baselines do not ramp up the load of a restarted server.
  }

  onServerRemoved(server: number): void {
    this.#available = this.#available.filter((index) => index !== server)
  }

  #view(call: SimulatedCall): EntryView {
    return requireDefined(this.#entries[call.handlingEntry])
  }

  #choose(view: EntryView, candidates: readonly number[]): number | undefined {
    switch (this.#kind) {
      case 'random':
        return candidates[randomInt(this.#random, candidates.length)]
      case 'round robin':
        return candidates[view.nextCandidate++ % candidates.length]
      case 'least reported load':
        return this.#leastLoaded(view.reportedLoad, candidates)
      case 'power of two choices': {
        const first = candidates[randomInt(this.#random, candidates.length)] ?? 0
        const second = candidates[randomInt(this.#random, candidates.length)] ?? 0
        return (view.inFlight[second] ?? 0) < (view.inFlight[first] ?? 0) ? second : first
      }
    }
  }

  #leastLoaded(values: Float64Array, candidates: readonly number[]): number | undefined {
    const start = randomInt(this.#random, candidates.length)
    let best: number | undefined
    let bestValue = Number.POSITIVE_INFINITY
    for (let offset = 0; offset < candidates.length; offset += 1) {
      const index = candidates[(start + offset) % candidates.length] ?? 0
      const value = values[index] ?? 0
      if (value >= bestValue) continue
      best = index
      bestValue = value
    }
    return best
  }
}
