import { serviceName } from '@bilberrystall/base'
import { describe, expect, test } from 'vitest'
import { callId, type Call, type Effect, type ExchangeOutcome, type Load, type Router } from '../src/index'
import { makeCall, makeRouter, makeServer, serverIdAt, SERVICE } from './driver'

/** Sends calls one after another. `reply` determines how servers answer; every probe succeeds. */
class Traffic {
  now = 0
  readonly counts = new Map<string, number>()
  readonly effects: Effect[] = []
  readonly #router: Router
  #next = 0

  constructor(router: Router) {
    this.#router = router
  }

  submit(change: Partial<Call> = {}): readonly Effect[] {
    const id = this.#next++
    const effects = this.#router.submit(makeCall(id, { deadline: this.now + 1000, ...change }), this.now)
    for (const effect of effects) {
      if (effect.kind === 'dispatch') this.counts.set(effect.server, (this.counts.get(effect.server) ?? 0) + 1)
    }
    return effects
  }

  /** Runs calls of 10 ms each; `reply` returns the outcome and the load report of a server. */
  run(calls: number, reply: (server: string) => { outcome: ExchangeOutcome; load?: Load }): void {
    for (let call = 0; call < calls; call += 1) {
      const sent = this.submit().filter((effect) => effect.kind === 'dispatch')
      this.advance(10)
      for (const { call: id, server } of sent) {
        const { outcome, load } = reply(server)
        this.effects.push(...this.#router.finished(id, outcome, 10, load, this.now))
      }
    }
  }

  advance(time: number): void {
    const end = this.now + time
    for (let wake = this.#router.nextWake(); wake <= end; wake = this.#router.nextWake()) {
      this.now = wake
      const effects = this.#router.tick(this.now)
      this.effects.push(...effects)
      for (const effect of effects) {
        if (effect.kind === 'probe') this.#router.probed(effect.server, 'ok', 6, idle, this.now)
      }
    }
    this.now = end
  }
}

const idle: Load = { inflight: 0, slots: 3, queue: 0 }
const full: Load = { inflight: 3, slots: 3, queue: 0 }
const ok = (): { outcome: ExchangeOutcome; load: Load } => ({ outcome: 'ok', load: idle })

function dispatched(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.server] : []))
}

describe('selection', () => {
  // Guards against sending to a server that its own report shows as full.
  test('a server that reports free slots is preferred to a full one', () => {
    const router = makeRouter(2)
    const traffic = new Traffic(router)
    traffic.run(40, (server) => ({ outcome: 'ok', load: server === serverIdAt(0) ? full : idle }))
    traffic.counts.clear()
    traffic.run(40, (server) => ({ outcome: 'ok', load: server === serverIdAt(0) ? full : idle }))
    expect(traffic.counts.get(serverIdAt(1))).toBeGreaterThan(30)
  })

  // Guards against a server that always reports itself idle and therefore receives every call.
  test('load reports that contradict refusals lose weight', () => {
    const router = makeRouter(2)
    const traffic = new Traffic(router)
    const reply = (server: string): { outcome: ExchangeOutcome; load: Load } =>
      server === serverIdAt(0) ? { outcome: 'shed', load: idle } : { outcome: 'ok', load: { ...full, inflight: 2 } }
    traffic.run(100, reply)
    traffic.counts.clear()
    traffic.run(100, reply)
    expect(traffic.counts.get(serverIdAt(0)) ?? 0).toBeLessThan(70)
  })

  // Guards against a new, still slow server that receives a full share of calls at once.
  test('a new server ramps up', () => {
    const router = makeRouter(3)
    router.updateServer(makeServer(3, { firstSeen: 0 }), 0)
    const traffic = new Traffic(router)
    for (let call = 0; call < 12; call += 1) traffic.submit()
    expect(traffic.counts.get(serverIdAt(3)) ?? 0).toBeLessThanOrEqual(1)
  })
})

describe('refusals', () => {
  // Guards against a call that a full server sheds and that the driver cannot send again.
  test('only a call that can be sent again has a queue limit', () => {
    const traffic = new Traffic(makeRouter(6))
    traffic.run(100, ok)
    expect(traffic.submit()).toMatchObject([{ kind: 'dispatch', queueLimit: 0 }])
    expect(traffic.submit({ resendable: false })[0]).not.toHaveProperty('queueLimit')
    expect(traffic.submit({ triedServers: [serverIdAt(0)] })[0]).not.toHaveProperty('queueLimit')
  })

  // Guards against a shed call that cannot be sent again because other calls used up the retry budget.
  test('a call that was shed because of its queue limit can always be sent again', () => {
    const router = makeRouter(6)
    const traffic = new Traffic(router)
    traffic.run(100, ok)
    const sent = Array.from({ length: 12 }, () => traffic.submit()).flat()
    const withQueueLimit = sent.filter((effect) => effect.kind === 'dispatch' && effect.queueLimit === 0)
    expect(withQueueLimit.length).toBeGreaterThan(7)
    for (const effect of withQueueLimit) {
      if (effect.kind !== 'dispatch') continue
      router.finished(effect.call, 'shed', 1, full, traffic.now)
      expect(router.mayRetry(SERVICE, traffic.now)).toBe(true)
    }
  })
})

describe('outliers', () => {
  // Guards against a server that fails at once, looks idle and therefore attracts calls. Target: under 2% after 1 s.
  test('a server that fails fast receives under 2% of calls after 1 s', () => {
    const traffic = new Traffic(makeRouter(6))
    const reply = (server: string): { outcome: ExchangeOutcome; load: Load } => ({
      outcome: server === serverIdAt(0) ? 'error' : 'ok',
      load: idle,
    })
    traffic.run(100, reply)
    traffic.counts.clear()
    traffic.run(2000, reply)
    expect(traffic.counts.get(serverIdAt(0)) ?? 0).toBeLessThan(2000 * 0.02)
    expect(traffic.effects).toContainEqual({ kind: 'ejected', server: serverIdAt(0), reason: 'failing' })
  })

  // Guards against a slow server that is only detected when its first response arrives.
  test('a server is ejected by the age of calls before any of them returns', () => {
    const router = makeRouter(4)
    const traffic = new Traffic(router)
    traffic.run(200, ok)
    traffic.counts.clear()
    for (let burst = 0; burst < 30; burst += 1) {
      const sent = Array.from({ length: 16 }, () => traffic.submit({ deadline: 10_000 })).flat()
      traffic.advance(10)
      for (const effect of sent) {
        if (effect.kind !== 'dispatch' || effect.server === serverIdAt(0)) continue
        router.finished(effect.call, 'ok', 10, idle, traffic.now)
      }
    }
    expect(traffic.effects).toContainEqual({ kind: 'ejected', server: serverIdAt(0), reason: 'stuck' })
  })

  // Guards against ejecting all servers when the whole service fails.
  test('at most a third of the servers is ejected', () => {
    const traffic = new Traffic(makeRouter(6))
    traffic.run(1000, () => ({ outcome: 'error' }))
    const ejected = traffic.effects.filter((effect) => effect.kind === 'ejected')
    expect(new Set(ejected.map((effect) => effect.server)).size).toBeLessThanOrEqual(2)
  })

  // Guards against probes that are not covered by the measuring budget.
  test('an ejected server is probed only with tokens and returns to trial without them', () => {
    const router = makeRouter(4)
    const traffic = new Traffic(router)
    router.tokens.add({ service: SERVICE, tokens: 12, validFor: 10_000 }, 0)
    traffic.run(3000, (server) => ({ outcome: server === serverIdAt(0) ? 'error' : 'ok', load: idle }))
    expect(traffic.effects.filter((effect) => effect.kind === 'probe')).toHaveLength(1)
    expect(traffic.counts.get(serverIdAt(0))).toBeGreaterThan(4)
  })
})

describe('queue', () => {
  const submitMany = (traffic: Traffic, change: Partial<Call>): void => {
    for (let call = 0; call < 30; call += 1) traffic.submit(change)
  }

  // Guards against deferrable calls that delay urgent ones.
  test('urgent calls leave the queue before deferrable ones', () => {
    const router = makeRouter(1)
    const traffic = new Traffic(router)
    for (let call = 0; call < 5; call += 1) traffic.submit()
    expect(traffic.submit({ urgency: 'deferrable', deadline: 100_000 })).toEqual([])
    expect(traffic.submit({ urgency: 'urgent', deadline: 200_000 })).toEqual([])
    const next = router.finished(callId(0), 'ok', 10, { inflight: 3, slots: 3, queue: 1 }, 10)
    expect(next).toMatchObject([{ kind: 'dispatch', call: 6 }])
  })

  // Guards against deferrable calls that take the last free slot while urgent ones arrive.
  test('a deferrable call does not take the last free slots', () => {
    const traffic = new Traffic(makeRouter(1))
    traffic.submit()
    traffic.submit()
    expect(dispatched(traffic.submit({ urgency: 'deferrable', deadline: 100_000 }))).toEqual([])
    expect(dispatched(traffic.submit())).toEqual([serverIdAt(0)])
  })

  // Guards against running calls that cannot meet their deadline, and against shedding calls that still can.
  test('a queued call is shed when it can no longer meet its deadline, not before', () => {
    const router = makeRouter(1)
    const traffic = new Traffic(router)
    submitMany(traffic, { deadline: 500 })
    traffic.advance(200)
    expect(traffic.effects.filter((effect) => effect.kind === 'shed')).toEqual([])
    traffic.advance(299)
    const shed = traffic.effects.filter((effect) => effect.kind === 'shed')
    expect(shed.length).toBeGreaterThan(0)
    expect(shed.every((effect) => effect.code === 'overloaded')).toBe(true)
  })

  // Guards against a call that waits until its deadline for a service without servers.
  test('a call without any server ends at once', () => {
    const router = makeRouter(1)
    const effects = router.submit(makeCall(1, { service: serviceName('nowhere') }), 0)
    expect(effects).toEqual([{ kind: 'shed', call: 1, code: 'noServer' }])
  })
})

describe('servers that leave', () => {
  // Guards against shedding calls while servers announce themselves to another entry after theirs failed.
  test('calls wait for a service whose last server has just left and are sent to the first that returns', () => {
    const router = makeRouter(1)
    const traffic = new Traffic(router)
    router.removeServer(serverIdAt(0), traffic.now)
    expect(traffic.submit({ deadline: 10_000 })).toEqual([])
    traffic.advance(1000)
    expect(dispatched(router.updateServer(makeServer(0), traffic.now))).toEqual([serverIdAt(0)])
  })

  // Guards against a call that is shed by the only usable server and can then not be sent to any other.
  test('a call to the only usable server has no queue limit', () => {
    const router = makeRouter(2)
    const traffic = new Traffic(router)
    traffic.run(40, ok)
    expect(traffic.submit()).toMatchObject([{ kind: 'dispatch', queueLimit: 0 }])
    router.updateServer({ ...makeServer(1), state: 'draining' }, traffic.now)
    const [effect] = traffic.submit()
    expect(effect).toMatchObject({ kind: 'dispatch', server: serverIdAt(0) })
    expect(effect).not.toHaveProperty('queueLimit')
  })

  // Guards against calls that wait until their deadline for servers that do not return.
  test('calls are shed when no server has returned', () => {
    const router = makeRouter(1)
    const traffic = new Traffic(router)
    router.removeServer(serverIdAt(0), traffic.now)
    traffic.submit({ deadline: 10_000 })
    traffic.advance(2000)
    expect(traffic.effects).toEqual([{ kind: 'shed', call: callId(0), code: 'noServer' }])
    expect(traffic.submit({ deadline: 10_000 })).toMatchObject([{ kind: 'shed', code: 'noServer' }])
  })
})

describe('service limits', () => {
  // Guards against sending more concurrent calls to a service than its document allows.
  test('calls beyond the concurrency of the service wait until one ends', () => {
    const router = makeRouter(2)
    router.configure(SERVICE, { concurrency: 1 }, 0)
    const traffic = new Traffic(router)
    const [first] = traffic.submit().filter((effect) => effect.kind === 'dispatch')
    expect(first).toBeDefined()
    expect(dispatched(traffic.submit())).toEqual([])
    traffic.advance(100)
    expect(dispatched(traffic.effects)).toEqual([])
    expect(dispatched(router.finished(callId(0), 'ok', 10, idle, traffic.now))).toHaveLength(1)
  })
})
