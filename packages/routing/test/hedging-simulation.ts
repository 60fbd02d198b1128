/**
 * Plays a service with hedged attempts in virtual time: calls arrive at random, go to the less loaded of two servers and
 * wait there in order. A hedged attempt starts only at a server with a free slot; the loser of two attempts is cancelled.
 */
import { seededRandom, type RandomSource } from '@bilberrystall/base'
import { TokenRetryBudget, ServiceHedging, unansweredAfterMs, type HedgeDenial } from '../src/index'

export interface Scenario {
  readonly servers: number
  readonly slots: number
  readonly callsPerSecond: number
  readonly seconds: number
  readonly target: number
  readonly limit: number | undefined
  /** Time in ms that a request takes at a server of usual speed, drawn for each attempt. */
  readonly work: (random: RandomSource, now: number) => number
  /** Factor on the work at a server. */
  readonly slowness?: (server: number, now: number) => number
  /** Factor on the arrival rate. */
  readonly rate?: (now: number) => number
  /** Whether a server discards a request that finds as many as this waiting; it never answers it. */
  readonly muteQueue?: number
  /** Whether unanswered requests are sent to another server, within the default retry budget. */
  readonly retriesUnanswered?: boolean
  readonly hedging?: ServiceHedging
}

export interface Outcome {
  readonly calls: number
  readonly p99: number
  /** Times in ms at which hedged attempts started. */
  readonly hedgedAt: readonly number[]
  readonly arrivedAt: readonly number[]
  readonly denials: Readonly<Record<HedgeDenial, number>>
  readonly won: number
  /** Requests that a server discarded. */
  readonly discarded: number
  /** Attempts because a request was not answered. */
  readonly repeated: number
}

interface SimulatedCall {
  readonly acceptedAt: number
  readonly attempts: SimulatedAttempt[]
  isDone: boolean
}

interface SimulatedAttempt {
  readonly call: SimulatedCall
  readonly server: SimulatedServer
  readonly startedAt: number
  isRunning: boolean
  isOver: boolean
}

interface SimulatedServer {
  readonly index: number
  inflight: number
  readonly queue: SimulatedAttempt[]
}

interface Event {
  readonly at: number
  readonly order: number
  readonly run: (now: number) => void
}

const DEADLINE_MS = 3_000
const SILENCE_MS = 750

/** Exponential with a minimum, so that the tail is some times the median. */
export function exponentialWork(floor: number, mean: number) {
  return (random: RandomSource): number => floor - mean * Math.log(1 - random())
}

export function simulate(scenario: Scenario, seed = 11): Outcome {
  return new Simulation(scenario, seed).run()
}

class Simulation {
  readonly #scenario: Scenario
  readonly #random: RandomSource
  readonly #servers: readonly SimulatedServer[]
  readonly #hedging: ServiceHedging
  readonly #latencies: number[] = []
  readonly #hedgedAt: number[] = []
  readonly #arrivedAt: number[] = []
  #events: Event[] = []
  #order = 0
  #won = 0
  #discarded = 0
  #repeated = 0
  readonly #budget = new TokenRetryBudget({}, 0)

  constructor(scenario: Scenario, seed: number) {
    this.#scenario = scenario
    this.#random = seededRandom(seed)
    this.#hedging = scenario.hedging ?? new ServiceHedging(scenario.limit)
    this.#servers = Array.from({ length: scenario.servers }, (_, index) => ({ index, inflight: 0, queue: [] }))
  }

  run(): Outcome {
    this.#at(0, (now) => {
      this.#arrive(now)
    })
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) event.run(event.at)
    const sorted = this.#latencies.toSorted((left, right) => left - right)
    return {
      calls: this.#arrivedAt.length,
      p99: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      hedgedAt: this.#hedgedAt,
      arrivedAt: this.#arrivedAt,
      denials: this.#hedging.totals.denials,
      won: this.#won,
      discarded: this.#discarded,
      repeated: this.#repeated,
    }
  }

  #arrive(now: number): void {
    const { seconds, callsPerSecond, rate = () => 1 } = this.#scenario
    const gap = (-Math.log(1 - this.#random()) * 1000) / (callsPerSecond * rate(now))
    if (now + gap < seconds * 1000) {
      this.#at(now + gap, (next) => {
        this.#arrive(next)
      })
    }
    const call: SimulatedCall = { acceptedAt: now, attempts: [], isDone: false }
    this.#arrivedAt.push(now)
    this.#hedging.callSent(now)
    this.#budget.credit(now)
    this.#send(call, this.#lessLoaded(), now)
    this.#decide(call, now)
    this.#at(now + DEADLINE_MS, () => {
      if (!call.isDone) this.#finish(call, undefined, now + DEADLINE_MS)
    })
  }

  #lessLoaded(): SimulatedServer {
    const [left, right] = [this.#anyServer(), this.#anyServer()]
    return left.inflight + left.queue.length <= right.inflight + right.queue.length ? left : right
  }

  #anyServer(): SimulatedServer {
    return this.#servers[Math.floor(this.#random() * this.#servers.length)]!
  }

  #send(call: SimulatedCall, server: SimulatedServer, now: number): void {
    const attempt: SimulatedAttempt = { call, server, startedAt: now, isRunning: false, isOver: false }
    call.attempts.push(attempt)
    const { slots, muteQueue = Infinity } = this.#scenario
    if (this.#scenario.retriesUnanswered === true) this.#watch(attempt, now)
    if (server.inflight < slots) this.#work(attempt, now)
    else if (server.queue.length < muteQueue) server.queue.push(attempt)
    else this.#discarded += 1
  }

  /** The server reports its load right before the request arrives. */
  #watch({ call, server }: SimulatedAttempt, now: number): void {
    const { slots, target } = this.#scenario
    const report = { load: { inflight: server.inflight, queue: server.queue.length, slots }, ageMs: 0 }
    const tailLatency = this.#hedging.tailLatency(now)
    const afterMs = unansweredAfterMs({ tailLatency, target, silenceMs: SILENCE_MS, report })
    this.#at(now + afterMs, (later) => {
      this.#repeat(call, later, afterMs)
    })
  }

  #repeat(call: SimulatedCall, now: number, afterMs: number): void {
    if (call.isDone || call.attempts.length > 2) return
    const server = this.#freeServer(call)
    if (server !== undefined && this.#budget.take(now)) {
      this.#repeated += 1
      this.#send(call, server, now)
    } else {
      this.#at(now + afterMs, (later) => {
        this.#repeat(call, later, 2 * afterMs)
      })
    }
  }

  #freeServer(call: SimulatedCall): SimulatedServer | undefined {
    const tried = call.attempts.map(({ server }) => server)
    const free = this.#servers.filter((server) => !tried.includes(server) && server.inflight < this.#scenario.slots)
    return free[Math.floor(this.#random() * free.length)]
  }

  #work(attempt: SimulatedAttempt, now: number): void {
    const { work, slowness = () => 1 } = this.#scenario
    attempt.isRunning = true
    attempt.server.inflight += 1
    const takes = work(this.#random, now) * slowness(attempt.server.index, now)
    this.#at(now + takes, (end) => {
      if (!attempt.isOver) this.#finish(attempt.call, attempt, end)
    })
  }

  #finish(call: SimulatedCall, winner: SimulatedAttempt | undefined, now: number): void {
    call.isDone = true
    this.#latencies.push(now - call.acceptedAt)
    const [first] = call.attempts
    if (first !== undefined && winner === first) this.#hedging.responded(now - first.startedAt, now)
    else if (first !== undefined) this.#hedging.abandoned(now - first.startedAt, now)
    if (winner !== first && winner !== undefined) this.#won += 1
    for (const attempt of call.attempts) this.#release(attempt, now)
  }

  #release(attempt: SimulatedAttempt, now: number): void {
    attempt.isOver = true
    const { server } = attempt
    if (!attempt.isRunning) {
      const index = server.queue.indexOf(attempt)
      if (index >= 0) server.queue.splice(index, 1)
      return
    }
    server.inflight -= 1
    const next = server.queue.shift()
    if (next !== undefined) this.#work(next, now)
  }

  #decide(call: SimulatedCall, now: number): void {
    const [first] = call.attempts
    if (call.isDone || call.attempts.length > 1 || first === undefined) return
    const { target } = this.#scenario
    const { acceptedAt } = call
    const candidate = { acceptedAt, sentAt: first.startedAt, target, deadline: acceptedAt + DEADLINE_MS }
    const decision = this.#hedging.decide(candidate, now)
    switch (decision.kind) {
      case 'hedge':
        this.#hedge(call, now)
        return
      case 'wait':
        this.#at(Math.max(now + 1, decision.until), (next) => {
          this.#decide(call, next)
        })
        return
      case 'denied':
        this.#hedging.totals.denials[decision.reason] += 1
        return
      case 'never':
    }
  }

  #hedge(call: SimulatedCall, now: number): void {
    const server = this.#freeServer(call)
    if (server === undefined) {
      this.#hedging.totals.denials['no-free-server'] += 1
      return
    }
    this.#hedging.hedgeSent(now)
    this.#hedgedAt.push(now)
    this.#send(call, server, now)
  }

  /** The events are sorted with the next one last. */
  #at(at: number, run: (now: number) => void): void {
    const event = { at, order: this.#order++, run }
    let low = 0
    let high = this.#events.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.#events[middle]!
      if (other.at > at || (other.at === at && other.order > event.order)) low = middle + 1
      else high = middle
    }
    this.#events.splice(low, 0, event)
  }
}
