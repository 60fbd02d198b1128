/**
 * Discrete-event run of one policy: entries, stand-in servers, fixed one-way delays and given arrivals. It fakes what
 * lies around the router's interface, and nothing of control or membership beyond the expiry of a server's lease.
 */
import { seededRandom } from '@bilberrystall/base'
import type { ExchangeOutcome, Load } from '@bilberrystall/routing'
import { applyCase, RUN_LENGTH, type CaseName } from './case'
import { EventQueue, type Timer } from './event-queue'
import { Measurements } from './measurements'
import { StandInServer, type Job } from './stand-in-server'
import { LOCAL_DELAY, PROBE_WORK, type Arrival, type Workload } from './workload'

export interface SimulatedCall extends Arrival {
  readonly id: number
  readonly tried: number[]
  /** Entry that handles the call; differs from the arrival's when that entry was lost. */
  home: number
  exchange: Exchange | undefined
  timer: Timer | undefined
  hasEnded: boolean
}

export interface Exchange {
  readonly call: SimulatedCall
  readonly server: StandInServer
  readonly sentAt: number
  isOver: boolean
  job: Job | undefined
}

export interface Policy {
  submit(call: SimulatedCall): void
  /** The exchange ended; called before any retry. */
  ended(exchange: Exchange, outcome: ExchangeOutcome, latency: number, load: Load | undefined): void
  /** A call without an exchange ended. */
  cancelled(call: SimulatedCall): void
  mayRetry(call: SimulatedCall): boolean
  restarted(server: number): void
  removed(server: number): void
  /** A slot became free at a server: only the bound looks at this. */
  slotFreed?(): void
}

export interface RunOptions {
  readonly workload: Workload
  readonly caseName: CaseName
  readonly arrivals: readonly Arrival[]
  readonly seed: number
}

/** Time after which a connection without progress is given up in ms: a quarter of the deadline of urgent calls. */
const SILENCE_LIMIT = 250
/** Lease of a server in ms. */
const SERVER_LEASE = 2500
const MAX_ATTEMPTS = 4

export class Simulation {
  readonly events = new EventQueue()
  readonly servers: readonly StandInServer[]
  readonly measurements: Measurements
  readonly workload: Workload
  readonly seed: number
  readonly #arrivals: readonly Arrival[]
  readonly #exchanges = new Set<Exchange>()
  readonly #lostEntries = new Set<number>()
  readonly #policy: Policy
  #lossAt = Number.POSITIVE_INFINITY
  #nextArrival = 0

  constructor(options: RunOptions, policy: (simulation: Simulation) => Policy) {
    this.workload = options.workload
    this.seed = options.seed
    this.#arrivals = options.arrivals
    this.servers = Array.from(
      { length: options.workload.servers },
      (_, index) => new StandInServer(index, index % options.workload.domains, this.events),
    )
    this.measurements = new Measurements(options.workload, options.caseName)
    this.#policy = policy(this)
    applyCase(options.caseName, {
      events: this.events,
      servers: this.servers,
      random: seededRandom(options.seed + 1),
      restarted: (server) => {
        this.#policy.restarted(server)
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
    this.events.runUntil(RUN_LENGTH)
    return this.measurements
  }

  delay(entry: number, server: StandInServer): number {
    return entry % this.workload.domains === server.domain ? LOCAL_DELAY : this.workload.domainDelay
  }

  isEntryLost(entry: number): boolean {
    return this.#lostEntries.has(entry)
  }

  /** Sends a call to a server. `isInstant` is the bound's: the call takes its slot without delay. */
  send(call: SimulatedCall, server: StandInServer, queueLimit = Number.POSITIVE_INFINITY, isInstant = false): void {
    const exchange: Exchange = { call, server, sentAt: this.events.now, isOver: false, job: undefined }
    call.exchange = exchange
    call.tried.push(server.index)
    this.#exchanges.add(exchange)
    this.measurements.dispatched(this.events.now, server.index)
    const delay = this.delay(call.home, server)
    const back = isInstant ? 2 * delay : delay
    const arrive = (): void => {
      if (!exchange.isOver) this.#arriveAtServer(exchange, queueLimit, back)
    }
    if (isInstant) arrive()
    else this.events.after(delay, arrive)
  }

  /** Runs a probe and reports its latency, or `undefined` when it was cancelled at the limit. */
  probe(entry: number, server: StandInServer, limit: number, done: (latency?: number, load?: Load) => void): void {
    const sentAt = this.events.now
    const delay = this.delay(entry, server)
    let isOver = false
    const job: Job = {
      remaining: PROBE_WORK,
      done: () => {
        const load = server.report()
        this.events.after(delay, () => {
          if (isOver) return
          isOver = true
          done(this.events.now - sentAt, load)
        })
      },
    }
    this.events.after(delay, () => {
      if (!server.isDead) server.accept(job, Number.POSITIVE_INFINITY)
    })
    this.events.after(limit, () => {
      if (isOver) return
      isOver = true
      this.events.after(delay, () => {
        server.cancel(job)
      })
      done()
    })
  }

  /** Ends a call without a complete response. */
  fail(call: SimulatedCall): void {
    this.#end(call, false)
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
    let home = arrival.entry
    while (this.#lostEntries.has(home)) home = (home + 1 + (id % 5)) % this.workload.entries
    const call: SimulatedCall = {
      ...arrival,
      id,
      home,
      tried: [],
      exchange: undefined,
      timer: undefined,
      hasEnded: false,
    }
    call.timer = this.events.at(arrival.deadline, () => {
      this.#abandon(call)
    })
    this.#policy.submit(call)
  }

  #arriveAtServer(exchange: Exchange, queueLimit: number, back: number): void {
    const { call, server } = exchange
    if (server.isDead) {
      const isOld = this.events.now > this.#lossAt + SILENCE_LIMIT
      this.events.at(exchange.sentAt + SILENCE_LIMIT, () => {
        this.#finish(exchange, isOld ? 'connect-failed' : 'lost')
      })
      return
    }
    const job: Job = {
      remaining: call.work,
      done: (isOk) => {
        const load = server.report()
        this.events.after(back, () => {
          this.#finish(exchange, isOk ? 'ok' : 'error', load)
        })
        this.#policy.slotFreed?.()
      },
    }
    exchange.job = job
    this.#countQueueing(server)
    if (server.accept(job, queueLimit)) return
    const load = server.report()
    this.events.after(back, () => {
      this.#finish(exchange, 'shed', load)
    })
  }

  #countQueueing(server: StandInServer): void {
    if (server.freeSlots > 0) return
    const isOtherFree = this.servers.some((other) => other.freeSlots > 0 && other.slowness <= 1 && !other.isFailing)
    if (isOtherFree) this.measurements.queuedWhileFree(this.events.now)
  }

  #finish(exchange: Exchange, outcome: ExchangeOutcome, load?: Load): void {
    if (exchange.isOver) return
    this.#close(exchange, outcome, load)
    const call = exchange.call
    if (outcome === 'ok') {
      this.#end(call, true)
      return
    }
    const isSafe = outcome === 'shed' || outcome === 'connect-failed' || (outcome === 'lost' && call.isRepeatable)
    if (isSafe && call.tried.length < MAX_ATTEMPTS && this.#policy.mayRetry(call)) this.#policy.submit(call)
    else this.#end(call, false)
  }

  #close(exchange: Exchange, outcome: ExchangeOutcome, load?: Load): void {
    exchange.isOver = true
    exchange.call.exchange = undefined
    this.#exchanges.delete(exchange)
    this.#policy.ended(exchange, outcome, this.events.now - exchange.sentAt, load)
  }

  /** The deadline passed: the exchange is cancelled at the server. */
  #abandon(call: SimulatedCall): void {
    if (call.hasEnded) return
    const exchange = call.exchange
    if (exchange === undefined) this.#policy.cancelled(call)
    else this.#cancelExchange(exchange, 'timeout')
    this.#end(call, false)
  }

  #cancelExchange(exchange: Exchange, outcome: ExchangeOutcome): void {
    this.events.after(this.delay(exchange.call.home, exchange.server), () => {
      if (exchange.job === undefined) return
      exchange.server.cancel(exchange.job)
      this.#policy.slotFreed?.()
    })
    this.#close(exchange, outcome)
  }

  #end(call: SimulatedCall, isComplete: boolean): void {
    if (call.hasEnded) throw new Error(`call ${call.id} ended twice`)
    call.hasEnded = true
    if (call.timer !== undefined) call.timer.run = undefined
    this.measurements.ended(call, isComplete, this.events.now)
  }

  #loseDomain(domain: number): void {
    this.#lossAt = this.events.now
    for (let entry = 0; entry < this.workload.entries; entry += 1) {
      if (entry % this.workload.domains === domain) this.#loseEntry(entry)
    }
    for (const server of this.servers) if (server.domain === domain) this.#loseServer(server)
  }

  #loseServer(server: StandInServer): void {
    server.die()
    for (const exchange of this.#exchanges) {
      if (exchange.server !== server) continue
      this.events.after(SILENCE_LIMIT, () => {
        this.#finish(exchange, 'lost')
      })
    }
    this.events.after(SERVER_LEASE, () => {
      this.#policy.removed(server.index)
    })
  }

  #loseEntry(entry: number): void {
    this.#lostEntries.add(entry)
    for (const exchange of [...this.#exchanges]) {
      if (exchange.call.home !== entry) continue
      this.#cancelExchange(exchange, 'unattributed')
      this.#end(exchange.call, false)
    }
  }
}
