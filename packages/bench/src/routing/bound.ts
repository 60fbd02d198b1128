/**
 * Policy of the bound, the reference for the router's p99: one central queue with complete knowledge of all servers. A
 * call takes a free slot without delay, and the network delay only adds to its latency. Changes of speed and faults of
 * servers are known immediately.
 */
import type { Policy, SimulatedCall, Simulation } from './simulation'
import type { SimulatedServer } from './simulated-server'

/** Servers with a larger slowdown receive no calls; calls wait for other servers instead. */
const MAX_USABLE_SLOWDOWN = 3

export class BoundPolicy implements Policy {
  readonly #simulation: Simulation
  readonly #urgent: SimulatedCall[] = []
  readonly #deferrable: SimulatedCall[] = []

  constructor(simulation: Simulation) {
    this.#simulation = simulation
  }

  submit(call: SimulatedCall): void {
    ;(call.isUrgent ? this.#urgent : this.#deferrable).push(call)
    this.#dispatchWaiting()
  }

  onExchangeEnded(): void {
    this.#dispatchWaiting()
  }

  onCallCancelled(call: SimulatedCall): void {
    const queue = call.isUrgent ? this.#urgent : this.#deferrable
    const position = queue.indexOf(call)
    if (position >= 0) queue.splice(position, 1)
  }

  mayRetry(): boolean {
    return true
  }

  onServerRestarted(): void {
    this.#dispatchWaiting()
  }

  onServerRemoved(): void {
    this.#dispatchWaiting()
  }

  onSlotFreed(): void {
    this.#dispatchWaiting()
  }

  #dispatchWaiting(): void {
    for (;;) {
      const queue = this.#urgent.length > 0 ? this.#urgent : this.#deferrable
      const call = queue[0]
      if (call === undefined) return
      const server = this.#choose(call)
      if (server === undefined) return
      queue.shift()
      const end = this.#simulation.events.now + call.serviceTime * server.slowdown + 2 * this.#delay(call, server)
      if (end > call.deadline) this.#simulation.fail(call)
      else this.#simulation.send(call, server, 0, true)
    }
  }

  #choose(call: SimulatedCall): SimulatedServer | undefined {
    let best: SimulatedServer | undefined
    for (const server of this.#simulation.servers) {
      if (server.freeSlots === 0 || server.isFailingFast || server.slowdown > MAX_USABLE_SLOWDOWN) continue
      if (best === undefined || this.#completionTime(call, server) < this.#completionTime(call, best)) best = server
    }
    return best
  }

  #completionTime(call: SimulatedCall, server: SimulatedServer): number {
    return call.serviceTime * server.slowdown + 2 * this.#delay(call, server)
  }

  #delay(call: SimulatedCall, server: SimulatedServer): number {
    return this.#simulation.delay(call.handlingEntry, server)
  }
}
