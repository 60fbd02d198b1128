import { failureDomain, seededRandom, serverId, serviceName, type ServerId } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { callId, Router, type Call, type Effect, type LoadQueryResult, type Load } from '../src/index'

const SERVICE = serviceName('slots')

function makeRouter(count: number, perServerPerSecond = 100): Router {
  const loadQueries = { perServerPerSecond: () => perServerPerSecond, entry: 'entry-1', domain: 'domain-1' }
  const router = new Router({ random: seededRandom(7), loadQueries })
  for (let index = 0; index < count; index += 1) {
    const rest = { service: SERVICE, domain: failureDomain('domain-1'), slots: 3, state: 'ready' as const }
    router.updateServer({ id: serverId(`s${index}`), firstSeen: -60_000, ...rest }, 0)
  }
  return router
}

function call(id: number, rest: Partial<Call> = {}): Call {
  return { id: callId(id), service: SERVICE, urgency: 'urgent', deadline: 1000, target: 400, repeatable: true, ...rest }
}

const load = (rest: Partial<Load> = {}): LoadQueryResult => ({
  kind: 'load',
  load: { inflight: 0, queue: 0, slots: 3, slowness: 1, ...rest },
})

function queried(effects: readonly Effect[]): readonly ServerId[] {
  return effects.flatMap((effect) => (effect.kind === 'query-load' ? effect.servers : []))
}

function dispatched(effects: readonly Effect[]): ServerId | undefined {
  return effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.server] : []))[0]
}

/** Answers every load query with the same result and ticks each ms until the call is sent or shed. */
function answerAll(router: Router, first: readonly Effect[], result: LoadQueryResult, until: number): Effect[] {
  const outcomes: Effect[] = []
  let pending = [...queried(first)]
  for (let now = 1; now <= until && outcomes.length === 0; now += 1) {
    const effects: Effect[] = []
    for (const server of pending.splice(0)) effects.push(...router.answered(callId(1), server, result, now))
    effects.push(...router.tick(now))
    pending = [...queried(effects)]
    outcomes.push(...effects.filter(({ kind }) => kind === 'dispatch' || kind === 'shed'))
  }
  return outcomes
}

test('a call is sent to the first server that reports to be free and fast, without waiting for the others', () => {
  const router = makeRouter(9)
  const servers = queried(router.submit(call(1), 0))
  expect(servers).toHaveLength(3)
  const [slow, free] = servers
  expect(router.answered(callId(1), slow!, load({ slowness: 7 }), 1)).toEqual([])
  expect(dispatched(router.answered(callId(1), free!, load(), 2))).toBe(free)
})

test('when all queried servers are slow, others are queried before one is chosen', () => {
  const router = makeRouter(9)
  const first = queried(router.submit(call(1), 0))
  const effects = first.flatMap((server) => router.answered(callId(1), server, load({ slowness: 7 }), 1))
  const second = queried(effects)
  expect(second).toHaveLength(3)
  expect(second.some((server) => first.includes(server))).toBe(false)
})

test('a server that does not answer delays a call for one round only', () => {
  const router = makeRouter(3)
  const servers = queried(router.submit(call(1), 0))
  router.answered(callId(1), servers[0]!, load({ slowness: 1.5 }), 1)
  expect(dispatched(router.tick(router.nextWake()))).toBe(servers[0])
})

test('a call is shed within an eighth of its target when every server reports a full queue', () => {
  const router = makeRouter(3)
  const effects = router.submit(call(1), 0)
  const outcomes = answerAll(router, effects, load({ inflight: 3, queue: 9 }), 100)
  expect(outcomes).toEqual([{ kind: 'shed', call: callId(1), code: 'overloaded' }])
})

test('a call is sent to the best server when all are slow but not full', () => {
  const router = makeRouter(3)
  const outcomes = answerAll(router, router.submit(call(1), 0), load({ slowness: 7 }), 100)
  expect(outcomes).toMatchObject([{ kind: 'dispatch' }])
})

test('load queries to one server stay within the rate, and calls beyond it are sent by estimates', () => {
  const router = makeRouter(1, 1)
  let queries = 0
  let sent = 0
  for (let id = 1; id <= 60; id += 1) {
    const effects = router.submit(call(id), 0)
    const servers = queried(effects)
    queries += servers.length
    const after = servers.flatMap((server) => router.answered(callId(id), server, load(), 0))
    if (dispatched([...effects, ...after]) !== undefined) sent += 1
    router.finished(callId(id), 'ok', 10, undefined, 0)
  }
  expect(queries).toBeLessThanOrEqual(20)
  expect(sent).toBe(60)
})

test('a service whose servers report no load is no longer queried', () => {
  const router = makeRouter(3)
  for (let id = 1; id <= 3; id += 1) {
    for (const server of queried(router.submit(call(id), id))) {
      router.answered(callId(id), server, { kind: 'no-load' }, id)
    }
    router.tick(id + 20)
    router.finished(callId(id), 'ok', 10, undefined, id + 20)
  }
  expect(queried(router.submit(call(9), 200))).toEqual([])
})

test('a server that leaves during a load query does not get the call', () => {
  const router = makeRouter(2)
  const [leaving, other] = queried(router.submit(call(1), 0))
  router.removeServer(leaving!, 1)
  expect(router.answered(callId(1), leaving!, load(), 2)).toEqual([])
  expect(dispatched(router.answered(callId(1), other!, load(), 3))).toBe(other)
})

// Guards against calls, also those that must not repeat, that are sent unseen to a server that is still slow.
test('a server that returns from an ejection gets a call only if it reports to be fast', () => {
  const router = makeRouter(3)
  let now = 0
  let id = 0
  const runCall = (slowness: (server: ServerId) => number, outcome: 'ok' | 'error'): ServerId | undefined => {
    id += 1
    now += 100
    const first = router.submit(call(id, { repeatable: false, deadline: now + 1000 }), now)
    const chosen = [dispatched(first)].filter((server) => server !== undefined)
    let pending = [...queried(first)]
    while (pending.length > 0 && chosen.length === 0) {
      const effects = pending.flatMap((server) =>
        router.answered(callId(id), server, load({ slowness: slowness(server) }), now),
      )
      chosen.push(...effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.server] : [])))
      pending = [...queried(effects)]
    }
    router.finished(callId(id), outcome, 10, undefined, now + 10)
    router.tick(now + 50)
    return chosen[0]
  }
  const preferred = serverId('s0')
  for (let failures = 0; failures < 3; failures += 1) runCall((server) => (server === preferred ? 1 : 1.5), 'error')
  now += 1_100
  router.tick(now)
  const whileSlow = Array.from({ length: 10 }, () => runCall((server) => (server === preferred ? 7 : 1), 'ok'))
  expect(whileSlow).not.toContain(preferred)
  const afterwards = Array.from({ length: 10 }, () => runCall((server) => (server === preferred ? 1 : 7), 'ok'))
  expect(afterwards).toContain(preferred)
})
