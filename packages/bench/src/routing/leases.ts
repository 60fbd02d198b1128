/**
 * Policy that leases slots to entries: an entry sends calls only to slots that it holds, so no call queues at a server.
 * An idle lease moves to an entry with a waiting call. The model is optimistic: the holder of an idle lease is known
 * immediately, and moving the lease takes one round trip.
 */
import type { SimulatedExchange, Policy, SimulatedCall, Simulation } from './simulation'
import type { SimulatedServer } from './simulated-server'
import { requireDefined } from './require-defined'
import { SLOTS } from './workload'

interface LeaseHolder {
  readonly idleSlots: SimulatedServer[]
  readonly waitingCalls: SimulatedCall[]
  /** Number of leases that are being moved to this entry. */
  incomingLeases: number
}

export class LeasePolicy implements Policy {
  readonly #simulation: Simulation
  readonly #holders: readonly LeaseHolder[]

  constructor(simulation: Simulation) {
    this.#simulation = simulation
    const entries = simulation.workload.entries
    this.#holders = Array.from({ length: entries }, () => ({ idleSlots: [], waitingCalls: [], incomingLeases: 0 }))
    for (let slot = 0; slot < simulation.servers.length * SLOTS; slot += 1) {
      const server = requireDefined(simulation.servers[slot % simulation.servers.length])
      requireDefined(this.#holders[slot % entries]).idleSlots.push(server)
    }
  }

  submit(call: SimulatedCall): void {
    const holder = this.#holder(call)
    holder.waitingCalls.push(call)
    this.#sendWaiting(holder)
    if (holder.waitingCalls.length > holder.incomingLeases) this.#requestLease(holder)
  }

  onExchangeEnded(exchange: SimulatedExchange): void {
    const holder = this.#holder(exchange.call)
    holder.idleSlots.push(exchange.server)
    this.#sendWaiting(holder)
    const nextHolder = this.#holders.find((other) => other.waitingCalls.length > other.incomingLeases)
    if (nextHolder !== undefined && holder.idleSlots.length > 0) this.#requestLease(nextHolder)
  }

  onCallCancelled(call: SimulatedCall): void {
    const { waitingCalls } = this.#holder(call)
    waitingCalls.splice(waitingCalls.indexOf(call), 1)
  }

  mayRetry(): boolean {
    return false
  }

  onServerRestarted(): void {
    // Leases remain valid when a server restarts.
  }

  onServerRemoved(): void {
    // This policy runs only in cases without lost servers.
  }

  #holder(call: SimulatedCall): LeaseHolder {
    return requireDefined(this.#holders[call.handlingEntry])
  }

  #sendWaiting(holder: LeaseHolder): void {
    while (holder.waitingCalls.length > 0 && holder.idleSlots.length > 0) {
      this.#simulation.send(requireDefined(holder.waitingCalls.shift()), requireDefined(holder.idleSlots.shift()))
    }
  }

  #requestLease(holder: LeaseHolder): void {
    const lender = this.#holders.find((other) => other !== holder && other.idleSlots.length > 0)
    const server = lender?.idleSlots.shift()
    if (server === undefined) return
    holder.incomingLeases += 1
    this.#simulation.events.after(2 * this.#simulation.workload.domainDelay, () => {
      holder.incomingLeases -= 1
      holder.idleSlots.push(server)
      this.#sendWaiting(holder)
    })
  }
}
