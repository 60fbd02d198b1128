/** Adapter that runs one router per entry, with timers, gossip of observations and grants of measuring tokens. */
import { required } from './required'
import { failureDomain, nodeId, seededRandom, serverId, serviceName, type ServerId } from '@bilberrystall/base'
import {
  callId,
  MeasuringLedger,
  Router,
  type Call,
  type Effect,
  type ExchangeOutcome,
  type Load,
  type Server,
  type Tuning,
} from '@bilberrystall/routing'
import { RUN_LENGTH } from './case'
import type { Timer } from './event-queue'
import type { Exchange, Policy, SimulatedCall, Simulation } from './simulation'
import type { StandInServer } from './stand-in-server'
import { SLOTS } from './workload'

const SERVICE = serviceName('measured')
const GOSSIP_INTERVAL = 200
const GOSSIP_DELAY = 100
const WINDOW = 10_000
/** Measuring budget as permille of slot time. */
const BUDGET_PERMILLE = 2
const PROBE_LIMIT = 12

interface Seat {
  readonly router: Router
  readonly calls: Map<number, SimulatedCall>
  wake: Timer | undefined
}

export class RouterPolicy implements Policy {
  readonly #simulation: Simulation
  readonly #seats: readonly Seat[]
  readonly #ledger = new MeasuringLedger()
  readonly #budget: number
  readonly #tuning: Partial<Tuning>

  constructor(simulation: Simulation, tuning: Partial<Tuning> = {}) {
    this.#simulation = simulation
    this.#tuning = tuning
    this.#budget = (simulation.workload.servers * SLOTS * WINDOW * BUDGET_PERMILLE) / 1000
    this.#seats = Array.from({ length: simulation.workload.entries }, (_, entry) => this.#createSeat(entry))
    this.#ledger.setBudget(SERVICE, this.#budget)
    // The leader is older than the run, so the first window opens with the run.
    this.#ledger.lead(-WINDOW - 1000)
    for (let start = 0; start < RUN_LENGTH; start += WINDOW) this.#scheduleGrants(start)
    this.#scheduleGossip()
  }

  submit(call: SimulatedCall): void {
    const seat = this.#seat(call.home)
    seat.calls.set(call.id, call)
    this.#apply(call.home, seat.router.submit(routerCall(call), this.#now))
  }

  ended(exchange: Exchange, outcome: ExchangeOutcome, latency: number, load: Load | undefined): void {
    const { call } = exchange
    const seat = this.#seat(call.home)
    this.#apply(call.home, seat.router.finished(callId(call.id), outcome, latency, load, this.#now))
  }

  cancelled(call: SimulatedCall): void {
    this.#apply(call.home, this.#seat(call.home).router.cancelled(callId(call.id), this.#now))
  }

  mayRetry(call: SimulatedCall): boolean {
    return this.#seat(call.home).router.mayRetry(SERVICE, this.#now)
  }

  restarted(server: number): void {
    this.#seats.forEach((seat, entry) => {
      this.#apply(entry, seat.router.updateServer(this.#server(server, this.#now), this.#now))
    })
  }

  removed(server: number): void {
    this.#seats.forEach((seat, entry) => {
      this.#apply(entry, seat.router.removeServer(name(server), this.#now))
    })
  }

  get #now(): number {
    return this.#simulation.events.now
  }

  #seat(entry: number): Seat {
    return required(this.#seats[entry])
  }

  #createSeat(entry: number): Seat {
    const router = new Router({
      random: seededRandom(this.#simulation.seed + 100 + entry),
      roundTrip: 2 * this.#simulation.workload.domainDelay,
      probeLimit: PROBE_LIMIT,
      tuning: this.#tuning,
    })
    // Servers were first seen long before the run.
    for (const server of this.#simulation.servers) router.updateServer(this.#server(server.index, -1e6), 0)
    return { router, calls: new Map(), wake: undefined }
  }

  #server(index: number, firstSeen: number): Server {
    const domain = failureDomain(`domain-${this.#simulation.servers[index]?.domain ?? 0}`)
    return { id: name(index), service: SERVICE, domain, slots: SLOTS, state: 'ready', firstSeen }
  }

  #apply(entry: number, effects: readonly Effect[]): void {
    for (const effect of effects) this.#carryOut(entry, effect)
    this.#scheduleWake(entry)
  }

  #carryOut(entry: number, effect: Effect): void {
    const seat = this.#seat(entry)
    switch (effect.kind) {
      case 'dispatch': {
        const call = required(seat.calls.get(effect.call))
        seat.calls.delete(effect.call)
        this.#simulation.send(call, this.#standIn(effect.server), effect.queueLimit)
        seat.router.started(effect.call, this.#now)
        return
      }
      case 'inquire':
        throw new Error('the compared routers ask no servers')
      case 'shed': {
        const call = required(seat.calls.get(effect.call))
        seat.calls.delete(effect.call)
        this.#simulation.fail(call)
        return
      }
      case 'probe':
        this.#probe(entry, effect.server, effect.limit)
        return
      case 'ejected':
      case 'restored':
        return
    }
  }

  #probe(entry: number, server: ServerId, limit: number): void {
    const seat = this.#seat(entry)
    this.#simulation.measurements.probed(Math.floor(this.#now / WINDOW), limit)
    this.#simulation.probe(entry, this.#standIn(server), limit, (latency, load) => {
      const outcome: ExchangeOutcome = latency === undefined ? 'timeout' : 'ok'
      this.#apply(entry, seat.router.probed(server, outcome, latency ?? limit, load, this.#now))
    })
  }

  #standIn(server: ServerId): StandInServer {
    const index = Number(server.slice('server-'.length))
    return required(this.#simulation.servers[index])
  }

  #scheduleWake(entry: number): void {
    const seat = this.#seat(entry)
    const time = seat.router.nextWake()
    if (seat.wake?.run !== undefined && seat.wake.time <= time) return
    if (seat.wake !== undefined) seat.wake.run = undefined
    if (time === Number.POSITIVE_INFINITY) return
    seat.wake = this.#simulation.events.at(time, () => {
      if (seat.wake !== undefined) seat.wake.run = undefined
      if (!this.#simulation.isEntryLost(entry)) this.#apply(entry, seat.router.tick(this.#now))
    })
  }

  #scheduleGrants(start: number): void {
    this.#simulation.events.at(start, () => {
      this.#simulation.measurements.granted(Math.floor(start / WINDOW), this.#budget)
      this.#ledger.confirmed(this.#now)
      this.#seats.forEach((seat, entry) => {
        const ask = { entry: nodeId(`entry-${entry}`), service: SERVICE, wanted: this.#budget, unit: PROBE_LIMIT }
        const grant = this.#ledger.request({ ...ask, liveEntries: this.#seats.length }, this.#now)
        seat.router.tokens.add(grant, this.#now)
      })
    })
  }

  #scheduleGossip(): void {
    this.#simulation.events.after(GOSSIP_INTERVAL, () => {
      this.#seats.forEach((seat, entry) => {
        if (!this.#simulation.isEntryLost(entry)) this.#gossip(seat, entry)
      })
      this.#scheduleGossip()
    })
  }

  #gossip(seat: Seat, sender: number): void {
    const observations = seat.router.observations(this.#now)
    this.#simulation.events.after(GOSSIP_DELAY, () => {
      this.#seats.forEach((other, entry) => {
        if (entry === sender) return
        for (const seen of observations) {
          this.#apply(entry, other.router.observe({ ...seen, age: seen.age + GOSSIP_DELAY }, this.#now))
        }
      })
    })
  }
}

function name(index: number): ServerId {
  return serverId(`server-${index}`)
}

function routerCall(call: SimulatedCall): Call {
  return {
    id: callId(call.id),
    service: SERVICE,
    urgency: call.isUrgent ? 'urgent' : 'deferrable',
    deadline: call.deadline,
    repeatable: call.isRepeatable,
    tried: call.tried.map(name),
  }
}
