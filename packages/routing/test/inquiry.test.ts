import { failureDomain, seededRandom, serverId, serviceName, type ServerId } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { callId, Router, type Call, type Effect, type InquiryResult, type Load } from '../src/index'

const SERVICE = serviceName('slots')

function routerOf(count: number, perServerPerSecond = 100): Router {
  const inquiries = { perServerPerSecond: () => perServerPerSecond, domain: 'domain-1' }
  const router = new Router({ random: seededRandom(7), inquiries })
  for (let index = 0; index < count; index += 1) {
    const place = { service: SERVICE, domain: failureDomain('domain-1'), slots: 3, state: 'ready' as const }
    router.updateServer({ id: serverId(`s${index}`), firstSeen: -60_000, ...place }, 0)
  }
  return router
}

function call(id: number, rest: Partial<Call> = {}): Call {
  return { id: callId(id), service: SERVICE, urgency: 'urgent', deadline: 1000, target: 400, repeatable: true, ...rest }
}

const load = (rest: Partial<Load> = {}): InquiryResult => ({
  kind: 'load',
  load: { inflight: 0, queue: 0, slots: 3, slowness: 1, ...rest },
})

function asked(effects: readonly Effect[]): readonly ServerId[] {
  return effects.flatMap((effect) => (effect.kind === 'inquire' ? effect.servers : []))
}

function dispatched(effects: readonly Effect[]): ServerId | undefined {
  return effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.server] : []))[0]
}

/** Answers every question alike, round after round and tick after tick, until the call is sent or refused. */
function answerAll(router: Router, first: readonly Effect[], result: InquiryResult, until: number): Effect[] {
  const ends: Effect[] = []
  let open = [...asked(first)]
  for (let now = 1; now <= until && ends.length === 0; now += 1) {
    const effects: Effect[] = []
    for (const server of open.splice(0)) effects.push(...router.answered(callId(1), server, result, now))
    effects.push(...router.tick(now))
    open = [...asked(effects)]
    ends.push(...effects.filter(({ kind }) => kind === 'dispatch' || kind === 'shed'))
  }
  return ends
}

test('a call goes to the first server that says it is free and fast, without waiting for the others', () => {
  const router = routerOf(9)
  const servers = asked(router.submit(call(1), 0))
  expect(servers).toHaveLength(3)
  const [slow, free] = servers
  expect(router.answered(callId(1), slow!, load({ slowness: 7 }), 1)).toEqual([])
  expect(dispatched(router.answered(callId(1), free!, load(), 2))).toBe(free)
})

test('when all servers asked are slow, others are asked before one is taken', () => {
  const router = routerOf(9)
  const first = asked(router.submit(call(1), 0))
  const effects = first.flatMap((server) => router.answered(callId(1), server, load({ slowness: 7 }), 1))
  const second = asked(effects)
  expect(second).toHaveLength(3)
  expect(second.some((server) => first.includes(server))).toBe(false)
})

test('a server that does not answer holds a call up for one round only', () => {
  const router = routerOf(3)
  const servers = asked(router.submit(call(1), 0))
  router.answered(callId(1), servers[0]!, load({ slowness: 1.5 }), 1)
  expect(dispatched(router.tick(router.nextWake()))).toBe(servers[0])
})

test('a call is refused within an eighth of its target when every server says that its queue is full', () => {
  const router = routerOf(3)
  const effects = router.submit(call(1), 0)
  const ends = answerAll(router, effects, load({ inflight: 3, queue: 9 }), 100)
  expect(ends).toEqual([{ kind: 'shed', call: callId(1), code: 'overloaded' }])
})

test('a call still goes to the best server when all are slow but not full', () => {
  const router = routerOf(3)
  const ends = answerAll(router, router.submit(call(1), 0), load({ slowness: 7 }), 100)
  expect(ends).toMatchObject([{ kind: 'dispatch' }])
})

test('questions to one server stay within the rate, and calls beyond it are sent by estimates', () => {
  const router = routerOf(1, 1)
  let questions = 0
  let sent = 0
  for (let id = 1; id <= 60; id += 1) {
    const effects = router.submit(call(id), 0)
    const servers = asked(effects)
    questions += servers.length
    const after = servers.flatMap((server) => router.answered(callId(id), server, load(), 0))
    if (dispatched([...effects, ...after]) !== undefined) sent += 1
    router.finished(callId(id), 'ok', 10, undefined, 0)
  }
  expect(questions).toBeLessThanOrEqual(20)
  expect(sent).toBe(60)
})

test('a service whose servers report no load is no longer asked', () => {
  const router = routerOf(3)
  for (let id = 1; id <= 3; id += 1) {
    for (const server of asked(router.submit(call(id), id))) {
      router.answered(callId(id), server, { kind: 'no-load' }, id)
    }
    router.tick(id + 20)
    router.finished(callId(id), 'ok', 10, undefined, id + 20)
  }
  expect(asked(router.submit(call(9), 200))).toEqual([])
})

test('a server that leaves while it is asked does not get the call', () => {
  const router = routerOf(2)
  const [leaving, other] = asked(router.submit(call(1), 0))
  router.removeServer(leaving!, 1)
  expect(router.answered(callId(1), leaving!, load(), 2)).toEqual([])
  expect(dispatched(router.answered(callId(1), other!, load(), 3))).toBe(other)
})
