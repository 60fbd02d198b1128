/**
 * Slots leased to entries: an entry sends only to slots that it holds, so that no call ever queues at a server. A lease
 * that is idle moves to an entry with a waiting call. This model is optimistic: the holder of an idle lease is known at
 * once and the move costs one round trip.
 */
import type { Exchange, Policy, SimulatedCall, Simulation } from './simulation'
import type { StandInServer } from './stand-in-server'
import { required } from './required'
import { SLOTS } from './workload'

interface Holder {
  readonly idle: StandInServer[]
  readonly waiting: SimulatedCall[]
  /** Leases on their way to this entry. */
  coming: number
}

export class LeasePolicy implements Policy {
  readonly #simulation: Simulation
  readonly #holders: readonly Holder[]

  constructor(simulation: Simulation) {
    this.#simulation = simulation
    const entries = simulation.workload.entries
    this.#holders = Array.from({ length: entries }, () => ({ idle: [], waiting: [], coming: 0 }))
    for (let slot = 0; slot < simulation.servers.length * SLOTS; slot += 1) {
      const server = required(simulation.servers[slot % simulation.servers.length])
      required(this.#holders[slot % entries]).idle.push(server)
    }
  }

  submit(call: SimulatedCall): void {
    const holder = this.#holder(call)
    holder.waiting.push(call)
    this.#send(holder)
    if (holder.waiting.length > holder.coming) this.#fetch(holder)
  }

  ended(exchange: Exchange): void {
    const holder = this.#holder(exchange.call)
    holder.idle.push(exchange.server)
    this.#send(holder)
    const needy = this.#holders.find((other) => other.waiting.length > other.coming)
    if (needy !== undefined && holder.idle.length > 0) this.#fetch(needy)
  }

  cancelled(call: SimulatedCall): void {
    const { waiting } = this.#holder(call)
    waiting.splice(waiting.indexOf(call), 1)
  }

  mayRetry(): boolean {
    return false
  }

  restarted(): void {
    // Leases outlive a restart.
  }

  removed(): void {
    // Only cases without lost servers are run.
  }

  #holder(call: SimulatedCall): Holder {
    return required(this.#holders[call.home])
  }

  #send(holder: Holder): void {
    while (holder.waiting.length > 0 && holder.idle.length > 0) {
      this.#simulation.send(required(holder.waiting.shift()), required(holder.idle.shift()))
    }
  }

  #fetch(holder: Holder): void {
    const giver = this.#holders.find((other) => other !== holder && other.idle.length > 0)
    const server = giver?.idle.shift()
    if (server === undefined) return
    holder.coming += 1
    this.#simulation.events.after(2 * this.#simulation.workload.domainDelay, () => {
      holder.coming -= 1
      holder.idle.push(server)
      this.#send(holder)
    })
  }
}
