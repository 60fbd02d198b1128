/** Drives a router with arbitrary steps and checks its invariants after each step. */
import { failureDomain, seededRandom, serverId, serviceName, type ServerId } from '@bilberrystall/base'
import { expect } from 'vitest'
import {
  callId,
  Router,
  type Call,
  type Effect,
  type ExchangeOutcome,
  type Load,
  type Server,
  type ServerState,
} from '../src/index'

export const SERVICE = serviceName('orders')
export const serverIdAt = (index: number): ServerId => serverId(`server-${index}`)

export function makeServer(index: number, change: Partial<Server> = {}): Server {
  const base = {
    id: serverIdAt(index),
    service: SERVICE,
    domain: failureDomain('one'),
    slots: 3,
    state: 'ready' as const,
  }
  return { ...base, firstSeen: -1e6, ...change }
}

export function makeCall(id: number, change: Partial<Call> = {}): Call {
  return { id: callId(id), service: SERVICE, urgency: 'urgent', deadline: 1000, repeatable: true, ...change }
}

export function makeRouter(servers: number, slots = 3, seed = 1): Router {
  const router = new Router({ random: seededRandom(seed) })
  for (let index = 0; index < servers; index += 1) router.updateServer(makeServer(index, { slots }), 0)
  return router
}

export type Step =
  | { kind: 'submit'; count: number; urgent: boolean; time: number }
  | { kind: 'finish'; pick: number; outcome: ExchangeOutcome; load: number }
  | { kind: 'cancel'; pick: number }
  | { kind: 'state'; server: number; state: ServerState }
  | { kind: 'remove'; server: number }
  | { kind: 'wait'; time: number }

interface TrackedCall {
  call: Call
  server: ServerId | undefined
  sentAt: number
}

export const QUEUE_LIMIT = 20
const SERVERS = 3

/** Tracks every call until it ends. Fails the test if a call ends twice or a dispatch violates an invariant. */
export class Driver {
  now = 0
  readonly live = new Map<number, TrackedCall>()
  submitted = 0
  ended = 0
  readonly #router = makeRouter(SERVERS, 1)
  readonly #states = new Map<ServerId, ServerState>()

  constructor() {
    this.#router.configure(SERVICE, { queue: QUEUE_LIMIT }, 0)
    for (let index = 0; index < SERVERS; index += 1) this.#states.set(serverIdAt(index), 'ready')
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'submit':
        for (let added = 0; added < step.count; added += 1) this.#submit(step.urgent, step.time + added)
        break
      case 'finish':
        this.#finish(step.pick, step.outcome, step.load)
        break
      case 'cancel':
        this.#cancel(step.pick)
        break
      case 'state':
        this.#states.set(serverIdAt(step.server), step.state)
        this.#apply(this.#router.updateServer(makeServer(step.server, { state: step.state, slots: 1 }), this.now))
        break
      case 'remove':
        this.#states.delete(serverIdAt(step.server))
        this.#apply(this.#router.removeServer(serverIdAt(step.server), this.now))
        break
      case 'wait':
        this.advance(step.time)
        break
    }
    const waiting = [...this.live.values()].filter((tracked) => tracked.server === undefined)
    expect(waiting.length).toBeLessThanOrEqual(QUEUE_LIMIT)
    const inFlight = this.live.size - waiting.length
    expect(this.#router.gauges(SERVICE)).toEqual({ waiting: waiting.length, inFlight })
    expect(this.submitted).toBe(this.ended + this.live.size)
  }

  /** Advances the time and ticks the router whenever it is due, as the timer of an entry does. */
  advance(time: number): void {
    const end = this.now + time
    for (let wake = this.#router.nextWake(); wake <= end; wake = this.#router.nextWake()) {
      expect(wake).toBeGreaterThanOrEqual(this.now)
      this.now = wake
      this.#apply(this.#router.tick(this.now))
      expect(this.#router.nextWake()).toBeGreaterThan(this.now)
    }
    this.now = end
  }

  /** Ends all exchanges. Every waiting call must then be sent or shed without further steps. */
  finishAll(): void {
    for (let round = 0; round < 100 && this.live.size > 0; round += 1) {
      while (this.#atServers().length > 0) this.#finish(0, 'ok', 0)
      this.advance(50)
    }
  }

  #submit(urgent: boolean, time: number): void {
    const id = this.submitted++
    const call = makeCall(id, { urgency: urgent ? 'urgent' : 'deferrable', deadline: this.now + time })
    this.#send(call)
  }

  #send(call: Call): void {
    this.live.set(call.id, { call, server: undefined, sentAt: 0 })
    this.#apply(this.#router.submit(call, this.now))
  }

  #atServers(): TrackedCall[] {
    return [...this.live.values()].filter((tracked) => tracked.server !== undefined)
  }

  #finish(pick: number, outcome: ExchangeOutcome, inflight: number): void {
    const tracked = this.#pick(pick, this.#atServers())
    if (tracked?.server === undefined) return
    const { call, server } = tracked
    const load: Load = { inflight, slots: 1, queue: 0 }
    this.live.delete(call.id)
    this.#apply(this.#router.finished(call.id, outcome, this.now - tracked.sentAt, load, this.now))
    expect(this.#router.finished(call.id, outcome, 0, undefined, this.now)).toEqual([])
    const isRetried = outcome === 'shed' && this.#router.mayRetry(SERVICE, this.now)
    if (isRetried) this.#send({ ...call, triedServers: [...(call.triedServers ?? []), server] })
    else this.ended += 1
  }

  #cancel(pick: number): void {
    const tracked = this.#pick(pick, [...this.live.values()])
    if (tracked === undefined) return
    this.live.delete(tracked.call.id)
    this.ended += 1
    this.#apply(this.#router.cancelled(tracked.call.id, this.now))
  }

  #pick(pick: number, from: readonly TrackedCall[]): TrackedCall | undefined {
    return from[pick % Math.max(1, from.length)]
  }

  #apply(effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') this.#dispatched(effect.call, effect.server)
      if (effect.kind === 'shed') this.#shed(effect.call)
      // Without measuring tokens, no server may be probed.
      expect(effect.kind).not.toBe('probe')
    }
  }

  #dispatched(call: number, server: ServerId): void {
    const tracked = this.live.get(call)
    if (tracked === undefined) throw new Error(`dispatch of call ${call}, which is not live`)
    expect(tracked.server).toBeUndefined()
    expect(this.#states.get(server)).toBe('ready')
    expect(tracked.call.triedServers ?? []).not.toContain(server)
    expect(this.now).toBeLessThan(tracked.call.deadline)
    tracked.server = server
    tracked.sentAt = this.now
    this.#router.started(tracked.call.id, this.now)
  }

  #shed(call: number): void {
    expect(this.live.get(call)?.server).toBeUndefined()
    expect(this.live.delete(call)).toBe(true)
    this.ended += 1
  }
}
