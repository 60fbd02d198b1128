/**
 * Discrete-event simulation of one policy: entries, simulated servers, fixed one-way delays and given arrivals. Of
 * control and membership, it simulates only the expiry of a server's lease.
 */
import { seededRandom } from '@bilberrystall/base'
import type { ExchangeOutcome, Load } from '@bilberrystall/routing'
import { applyCase, RUN_DURATION_MS, type CaseName } from './case'
import { EventQueue, type Timer } from './event-queue'
import { Measurements } from './measurements'
import { SimulatedServer, type Job } from './simulated-server'
import { LOCAL_DELAY_MS, PROBE_SERVICE_TIME_MS, type Arrival, type Workload } from './workload'

export interface SimulatedCall extends Arrival {
  readonly id: number
  readonly triedServers: number[]
  /** Entry that handles the call; differs from `entry` if that entry was lost. */
  handlingEntry: number
  exchange: SimulatedExchange | undefined
  deadlineTimer: Timer | undefined
  hasEnded: boolean
}

/** One attempt of a call at one server, from sending it until its response, failure or cancellation. */
export interface SimulatedExchange {
  readonly call: SimulatedCall
  readonly server: SimulatedServer
  readonly sentAt: number
  hasEnded: boolean
  job: Job | undefined
}

/** Selects the server of each call. The simulation reports the events that the selection depends on. */
export interface Policy {
  submit(call: SimulatedCall): void
  /** Called when an exchange ends, before the call is retried. */
  onExchangeEnded(exchange: SimulatedExchange, outcome: ExchangeOutcome, latency: number, load: Load | undefined): void
  /** Called when a call without an exchange reaches its deadline. */
  onCallCancelled(call: SimulatedCall): void
  mayRetry(call: SimulatedCall): boolean
  onServerRestarted(server: number): void
  onServerRemoved(server: number): void
  /** Called when a slot becomes free at a server; only `BoundPolicy` uses it. */
  onSlotFreed?(): void
}

export interface RunOptions {
  readonly workload: Workload
  readonly caseName: CaseName
  readonly arrivals: readonly Arrival[]
  readonly seed: number
}

/** Time after which a connection without progress is closed: a quarter of the deadline of urgent calls. */
const SILENCE_TIMEOUT_MS = 250
/** Duration of a server's lease. */
const SERVER_LEASE_DURATION_MS = 2500
const MAX_ATTEMPTS = 4

export class Simulation {
  readonly events = new EventQueue()
  readonly servers: readonly SimulatedServer[]
  readonly measurements: Measurements
  readonly workload: Workload
  readonly seed: number
  readonly #arrivals: readonly Arrival[]
  readonly #exchanges = new Set<SimulatedExchange>()
  readonly #lostEntries = new Set<number>()
  readonly #policy: Policy
  #domainLostAt = Number.POSITIVE_INFINITY
  #nextArrival = 0

  constructor(options: RunOptions, policy: (simulation: Simulation) => Policy) {
    this.workload = options.workload
    this.seed = options.seed
    this.#arrivals = options.arrivals
    this.servers = Array.from(
      { length: options.workload.servers },
      (_, index) => new SimulatedServer(index, index % options.workload.domains, this.events),
    )
    this.measurements = new Measurements(options.workload, options.caseName)
    this.#policy = policy(this)
    applyCase(options.caseName, {
      events: this.events,
      servers: this.servers,
      random: seededRandom(options.seed + 1),
      notifyServerRestarted: (server) => {
        this.#policy.onServerRestarted(server)
      },
      loseDomain: (domain) => {
        this.#loseDomain(domain)
      },
      loseEntry: (entry) => {
        this.#loseEntry(entry)
      },
    })
  }

  run(): Measurements {
    this.#scheduleArrival()
    this.events.runUntil(RUN_DURATION_MS)
    return this.measurements
  }

  delay(entry: number, server: SimulatedServer): number {
    return entry % this.workload.domains === server.domain ? LOCAL_DELAY_MS : this.workload.domainDelay
  }

  isEntryLost(entry: number): boolean {
    return this.#lostEntries.has(entry)
  }

  /** Sends a call to a server. `BoundPolicy` sets `hasNoDelay`: the call then takes its slot without network delay. */
  send(call: SimulatedCall, server: SimulatedServer, queueLimit = Number.POSITIVE_INFINITY, hasNoDelay = false): void {
    const exchange: SimulatedExchange = { call, server, sentAt: this.events.now, hasEnded: false, job: undefined }
    call.exchange = exchange
    call.triedServers.push(server.index)
    this.#exchanges.add(exchange)
    this.measurements.recordDispatch(this.events.now, server.index)
    const delay = this.delay(call.handlingEntry, server)
    const returnDelay = hasNoDelay ? 2 * delay : delay
    const arrive = (): void => {
      if (!exchange.hasEnded) this.#arriveAtServer(exchange, queueLimit, returnDelay)
    }
    if (hasNoDelay) arrive()
    else this.events.after(delay, arrive)
  }

  /** Runs a probe and passes its latency to `onDone`, or `undefined` if the probe was cancelled after the timeout. */
  probe(
    entry: number,
    server: SimulatedServer,
    timeout: number,
    onDone: (latency?: number, load?: Load) => void,
  ): void {
    const sentAt = this.events.now
    const delay = this.delay(entry, server)
    let hasEnded = false
    const job: Job = {
      remainingServiceTime: PROBE_SERVICE_TIME_MS,
      onDone: () => {
        const load = server.report()
        this.events.after(delay, () => {
          if (hasEnded) return
          hasEnded = true
          onDone(this.events.now - sentAt, load)
        })
      },
    }
    this.events.after(delay, () => {
      if (!server.hasCrashed) server.accept(job, Number.POSITIVE_INFINITY)
    })
    this.events.after(timeout, () => {
      if (hasEnded) return
      hasEnded = true
      this.events.after(delay, () => {
        server.cancel(job)
      })
      onDone()
    })
  }

  /** Ends a call that received no complete response. */
  fail(call: SimulatedCall): void {
    this.#endCall(call, false)
  }

  #scheduleArrival(): void {
    const arrival = this.#arrivals[this.#nextArrival]
    if (arrival === undefined) return
    const id = this.#nextArrival++
    this.events.at(arrival.time, () => {
      this.#scheduleArrival()
      this.#arriveAtEntry(arrival, id)
    })
  }

  #arriveAtEntry(arrival: Arrival, id: number): void {
    let handlingEntry = arrival.entry
    while (this.#lostEntries.has(handlingEntry)) handlingEntry = (handlingEntry + 1 + (id % 5)) % this.workload.entries
    const call: SimulatedCall = {
      ...arrival,
      id,
      handlingEntry,
      triedServers: [],
      exchange: undefined,
      deadlineTimer: undefined,
      hasEnded: false,
    }
    call.deadlineTimer = this.events.at(arrival.deadline, () => {
      this.#expire(call)
    })
    this.#policy.submit(call)
  }

  #arriveAtServer(exchange: SimulatedExchange, queueLimit: number, returnDelay: number): void {
    const { call, server } = exchange
    if (server.hasCrashed) {
      const hasConnectionTimedOut = this.events.now > this.#domainLostAt + SILENCE_TIMEOUT_MS
      this.events.at(exchange.sentAt + SILENCE_TIMEOUT_MS, () => {
        this.#finishExchange(exchange, hasConnectionTimedOut ? 'connect-failed' : 'lost')
      })
      return
    }
    const job: Job = {
      remainingServiceTime: call.serviceTime,
      onDone: (isSuccessful) => {
        const load = server.report()
        this.events.after(returnDelay, () => {
          this.#finishExchange(exchange, isSuccessful ? 'ok' : 'error', load)
        })
        this.#policy.onSlotFreed?.()
      },
    }
    exchange.job = job
    this.#recordAvoidableQueueing(server)
    if (server.accept(job, queueLimit)) return
    const load = server.report()
    this.events.after(returnDelay, () => {
      this.#finishExchange(exchange, 'shed', load)
    })
  }

  #recordAvoidableQueueing(server: SimulatedServer): void {
    if (server.freeSlots > 0) return
    const hasFreeServer = this.servers.some(
      (other) => other.freeSlots > 0 && other.slowdown <= 1 && !other.isFailingFast,
    )
    if (hasFreeServer) this.measurements.recordQueuedWhileFree(this.events.now)
  }

  /** Ends an exchange, then ends its call or sends it again if that is safe and the policy allows a retry. */
  #finishExchange(exchange: SimulatedExchange, outcome: ExchangeOutcome, load?: Load): void {
    if (exchange.hasEnded) return
    this.#closeExchange(exchange, outcome, load)
    const call = exchange.call
    if (outcome === 'ok') {
      this.#endCall(call, true)
      return
    }
    const isRetryable = outcome === 'shed' || outcome === 'connect-failed' || (outcome === 'lost' && call.isRepeatable)
    if (isRetryable && call.triedServers.length < MAX_ATTEMPTS && this.#policy.mayRetry(call)) this.#policy.submit(call)
    else this.#endCall(call, false)
  }

  #closeExchange(exchange: SimulatedExchange, outcome: ExchangeOutcome, load?: Load): void {
    exchange.hasEnded = true
    exchange.call.exchange = undefined
    this.#exchanges.delete(exchange)
    this.#policy.onExchangeEnded(exchange, outcome, this.events.now - exchange.sentAt, load)
  }

  /** Ends a call at its deadline and cancels its exchange at the server. */
  #expire(call: SimulatedCall): void {
    if (call.hasEnded) return
    const exchange = call.exchange
    if (exchange === undefined) this.#policy.onCallCancelled(call)
    else this.#cancelExchange(exchange, 'timeout')
    this.#endCall(call, false)
  }

  #cancelExchange(exchange: SimulatedExchange, outcome: ExchangeOutcome): void {
    this.events.after(this.delay(exchange.call.handlingEntry, exchange.server), () => {
      if (exchange.job === undefined) return
      exchange.server.cancel(exchange.job)
      this.#policy.onSlotFreed?.()
    })
    this.#closeExchange(exchange, outcome)
  }

  #endCall(call: SimulatedCall, hasResponse: boolean): void {
    if (call.hasEnded) throw new Error(`call ${call.id} ended twice`)
    call.hasEnded = true
    if (call.deadlineTimer !== undefined) call.deadlineTimer.run = undefined
    this.measurements.recordEnd(call, hasResponse, this.events.now)
  }

  #loseDomain(domain: number): void {
    this.#domainLostAt = this.events.now
    for (let entry = 0; entry < this.workload.entries; entry += 1) {
      if (entry % this.workload.domains === domain) this.#loseEntry(entry)
    }
    for (const server of this.servers) if (server.domain === domain) this.#loseServer(server)
  }

  #loseServer(server: SimulatedServer): void {
    server.crash()
    for (const exchange of this.#exchanges) {
      if (exchange.server !== server) continue
      this.events.after(SILENCE_TIMEOUT_MS, () => {
        this.#finishExchange(exchange, 'lost')
      })
    }
    this.events.after(SERVER_LEASE_DURATION_MS, () => {
      this.#policy.onServerRemoved(server.index)
    })
  }

  #loseEntry(entry: number): void {
    this.#lostEntries.add(entry)
    for (const exchange of [...this.#exchanges]) {
      if (exchange.call.handlingEntry !== entry) continue
      this.#cancelExchange(exchange, 'unattributed')
      this.#endCall(exchange.call, false)
    }
  }
}
