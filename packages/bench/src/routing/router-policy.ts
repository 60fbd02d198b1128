/** Policy that runs one router per entry and simulates its timers, gossip of observations and measuring grants. */
import { requireDefined } from './require-defined'
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
import { RUN_DURATION_MS } from './case'
import type { Timer } from './event-queue'
import type { SimulatedExchange, Policy, SimulatedCall, Simulation } from './simulation'
import type { SimulatedServer } from './simulated-server'
import { SLOTS } from './workload'

const SERVICE = serviceName('measured')
const GOSSIP_INTERVAL_MS = 200
/** Time until the observations that an entry gossips reach all other entries. */
const GOSSIP_DELAY_MS = 100
const BUDGET_WINDOW_MS = 10_000
/** Measuring budget in permille of slot time. */
const BUDGET_PERMILLE = 2
const PROBE_TIMEOUT_MS = 12

interface EntryState {
  readonly router: Router
  readonly calls: Map<number, SimulatedCall>
  wakeTimer: Timer | undefined
}

export class RouterPolicy implements Policy {
  readonly #simulation: Simulation
  readonly #states: readonly EntryState[]
  readonly #ledger = new MeasuringLedger()
  readonly #budget: number
  readonly #tuning: Partial<Tuning>

  constructor(simulation: Simulation, tuning: Partial<Tuning> = {}) {
    this.#simulation = simulation
    this.#tuning = tuning
    this.#budget = (simulation.workload.servers * SLOTS * BUDGET_WINDOW_MS * BUDGET_PERMILLE) / 1000
    this.#states = Array.from({ length: simulation.workload.entries }, (_, entry) => this.#createState(entry))
    this.#ledger.setBudget(SERVICE, this.#budget)
    // The leader was elected before the run, so the first window starts with the run.
    this.#ledger.becomeLeader(-BUDGET_WINDOW_MS - 1000)
    for (let windowStart = 0; windowStart < RUN_DURATION_MS; windowStart += BUDGET_WINDOW_MS)
      this.#scheduleGrants(windowStart)
    this.#scheduleGossip()
  }

  submit(call: SimulatedCall): void {
    const state = this.#state(call.handlingEntry)
    state.calls.set(call.id, call)
    this.#apply(call.handlingEntry, state.router.submit(toRouterCall(call), this.#now))
  }

  onExchangeEnded(
    exchange: SimulatedExchange,
    outcome: ExchangeOutcome,
    latency: number,
    load: Load | undefined,
  ): void {
    const { call } = exchange
    const state = this.#state(call.handlingEntry)
    this.#apply(call.handlingEntry, state.router.finished(callId(call.id), outcome, latency, load, this.#now))
  }

  onCallCancelled(call: SimulatedCall): void {
    this.#apply(call.handlingEntry, this.#state(call.handlingEntry).router.cancelled(callId(call.id), this.#now))
  }

  mayRetry(call: SimulatedCall): boolean {
    return this.#state(call.handlingEntry).router.mayRetry(SERVICE, this.#now)
  }

  onServerRestarted(server: number): void {
    this.#states.forEach((state, entry) => {
      this.#apply(entry, state.router.updateServer(this.#server(server, this.#now), this.#now))
    })
  }

  onServerRemoved(server: number): void {
    this.#states.forEach((state, entry) => {
      this.#apply(entry, state.router.removeServer(toServerId(server), this.#now))
    })
  }

  get #now(): number {
    return this.#simulation.events.now
  }

  #state(entry: number): EntryState {
    return requireDefined(this.#states[entry])
  }

  #createState(entry: number): EntryState {
    const router = new Router({
      random: seededRandom(this.#simulation.seed + 100 + entry),
      roundTrip: 2 * this.#simulation.workload.domainDelay,
      probeTimeout: PROBE_TIMEOUT_MS,
      tuning: this.#tuning,
    })
    // The servers were first seen long before the run, so none of them is warming up.
    for (const server of this.#simulation.servers) router.updateServer(this.#server(server.index, -1e6), 0)
    return { router, calls: new Map(), wakeTimer: undefined }
  }

  #server(index: number, firstSeen: number): Server {
    const domain = failureDomain(`domain-${this.#simulation.servers[index]?.domain ?? 0}`)
    return { id: toServerId(index), service: SERVICE, domain, slots: SLOTS, state: 'ready', firstSeen }
  }

  #apply(entry: number, effects: readonly Effect[]): void {
    for (const effect of effects) this.#execute(entry, effect)
    this.#scheduleWake(entry)
  }

  #execute(entry: number, effect: Effect): void {
    const state = this.#state(entry)
    switch (effect.kind) {
      case 'dispatch': {
        const call = requireDefined(state.calls.get(effect.call))
        state.calls.delete(effect.call)
        this.#simulation.send(call, this.#simulatedServer(effect.server), effect.queueLimit)
        state.router.started(effect.call, this.#now)
        return
      }
      case 'query-load':
        throw new Error('a simulated router must not query servers for their load')
      case 'shed': {
        const call = requireDefined(state.calls.get(effect.call))
        state.calls.delete(effect.call)
        this.#simulation.fail(call)
        return
      }
      case 'probe':
        this.#probe(entry, effect.server, effect.timeout)
        return
      case 'ejected':
      case 'restored':
      case 'limited':
      case 'unlimited':
      case 'cold':
      case 'warm':
      case 'leaving':
      case 'paused':
        return
    }
  }

  #probe(entry: number, server: ServerId, limit: number): void {
    const state = this.#state(entry)
    this.#simulation.measurements.recordProbe(Math.floor(this.#now / BUDGET_WINDOW_MS), limit)
    this.#simulation.probe(entry, this.#simulatedServer(server), limit, (latency, load) => {
      const outcome: ExchangeOutcome = latency === undefined ? 'timeout' : 'ok'
      this.#apply(entry, state.router.probed(server, outcome, latency ?? limit, load, this.#now))
    })
  }

  #simulatedServer(server: ServerId): SimulatedServer {
    const index = Number(server.slice('server-'.length))
    return requireDefined(this.#simulation.servers[index])
  }

  #scheduleWake(entry: number): void {
    const state = this.#state(entry)
    const time = state.router.nextWake()
    if (state.wakeTimer?.run !== undefined && state.wakeTimer.time <= time) return
    if (state.wakeTimer !== undefined) state.wakeTimer.run = undefined
    if (time === Number.POSITIVE_INFINITY) return
    state.wakeTimer = this.#simulation.events.at(time, () => {
      if (state.wakeTimer !== undefined) state.wakeTimer.run = undefined
      if (!this.#simulation.isEntryLost(entry)) this.#apply(entry, state.router.tick(this.#now))
    })
  }

  #scheduleGrants(windowStart: number): void {
    this.#simulation.events.at(windowStart, () => {
      this.#simulation.measurements.recordGrant(Math.floor(windowStart / BUDGET_WINDOW_MS), this.#budget)
      this.#ledger.confirmed(this.#now)
      this.#states.forEach((state, entry) => {
        const grantRequest = {
          entry: nodeId(`entry-${entry}`),
          service: SERVICE,
          wanted: this.#budget,
          unit: PROBE_TIMEOUT_MS,
        }
        const grant = this.#ledger.request({ ...grantRequest, liveEntries: this.#states.length }, this.#now)
        state.router.tokens.add(grant, this.#now)
      })
    })
  }

  #scheduleGossip(): void {
    this.#simulation.events.after(GOSSIP_INTERVAL_MS, () => {
      this.#states.forEach((state, entry) => {
        if (!this.#simulation.isEntryLost(entry)) this.#gossip(state, entry)
      })
      this.#scheduleGossip()
    })
  }

  #gossip(state: EntryState, sender: number): void {
    const observations = state.router.observations(this.#now)
    this.#simulation.events.after(GOSSIP_DELAY_MS, () => {
      this.#states.forEach((receiver, entry) => {
        if (entry === sender) return
        for (const observation of observations) {
          this.#apply(
            entry,
            receiver.router.observe({ ...observation, age: observation.age + GOSSIP_DELAY_MS }, this.#now),
          )
        }
      })
    })
  }
}

function toServerId(index: number): ServerId {
  return serverId(`server-${index}`)
}

function toRouterCall(call: SimulatedCall): Call {
  return {
    id: callId(call.id),
    service: SERVICE,
    urgency: call.isUrgent ? 'urgent' : 'deferrable',
    deadline: call.deadline,
    repeatable: call.isRepeatable,
    triedServers: call.triedServers.map(toServerId),
  }
}
