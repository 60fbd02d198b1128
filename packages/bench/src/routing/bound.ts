/**
 * The bound: one queue that sees everything. A call takes a free slot without delay and pays the network delay only in
 * its latency; speeds and faults of servers are known at once.
 */
import type { Policy, SimulatedCall, Simulation } from './simulation'
import type { StandInServer } from './stand-in-server'

/** Servers slower than this are left idle while calls can wait for others. */
const USABLE_SLOWNESS = 3

export class BoundPolicy implements Policy {
  readonly #simulation: Simulation
  readonly #urgent: SimulatedCall[] = []
  readonly #deferrable: SimulatedCall[] = []

  constructor(simulation: Simulation) {
    this.#simulation = simulation
  }

  submit(call: SimulatedCall): void {
    ;(call.isUrgent ? this.#urgent : this.#deferrable).push(call)
    this.#drain()
  }

  ended(): void {
    this.#drain()
  }

  cancelled(call: SimulatedCall): void {
    const queue = call.isUrgent ? this.#urgent : this.#deferrable
    const place = queue.indexOf(call)
    if (place >= 0) queue.splice(place, 1)
  }

  mayRetry(): boolean {
    return true
  }

  restarted(): void {
    this.#drain()
  }

  removed(): void {
    this.#drain()
  }

  slotFreed(): void {
    this.#drain()
  }

  #drain(): void {
    for (;;) {
      const queue = this.#urgent.length > 0 ? this.#urgent : this.#deferrable
      const call = queue[0]
      if (call === undefined) return
      const server = this.#choose(call)
      if (server === undefined) return
      queue.shift()
      const end = this.#simulation.events.now + call.work * server.slowness + 2 * this.#delay(call, server)
      if (end > call.deadline) this.#simulation.fail(call)
      else this.#simulation.send(call, server, 0, true)
    }
  }

  #choose(call: SimulatedCall): StandInServer | undefined {
    let best: StandInServer | undefined
    for (const server of this.#simulation.servers) {
      if (server.freeSlots === 0 || server.isFailing || server.slowness > USABLE_SLOWNESS) continue
      if (best === undefined || this.#cost(call, server) < this.#cost(call, best)) best = server
    }
    return best
  }

  #cost(call: SimulatedCall, server: StandInServer): number {
    return call.work * server.slowness + 2 * this.#delay(call, server)
  }

  #delay(call: SimulatedCall, server: StandInServer): number {
    return this.#simulation.delay(call.home, server)
  }
}
