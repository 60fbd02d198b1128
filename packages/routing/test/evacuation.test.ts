/** Guards against any request to a server of an evacuated failure domain, and against calls that fail beside others. */
import { failureDomain, seededRandom, serverId, type FailureDomain, type ServerId } from '@bilberrystall/base'
import fc from 'fast-check'
import { expect, test, vi } from 'vitest'
import { Router, type Effect } from '../src/index'
import { makeCall, makeServer, serverIdAt } from './driver'

const DOMAINS = ['one', 'two', 'three'].map(failureDomain)
const [ONE, TWO] = [DOMAINS[0]!, DOMAINS[1]!]

interface RouterSetup {
  readonly servers?: number
  readonly slots?: number
  readonly seed?: number
  readonly queriesLoad?: boolean
  readonly domainOf?: (index: number) => FailureDomain
}

/** Servers of the domains in turn. */
const inTurn = (index: number): FailureDomain => DOMAINS[index % DOMAINS.length]!

function startRouter({ servers = 3, slots = 1, seed = 1, queriesLoad = false, domainOf = inTurn }: RouterSetup = {}) {
  const loadQueries = { entry: 'e', domain: ONE, perServerPerSecond: () => 1e6 }
  const router = new Router({ random: seededRandom(seed), ...(queriesLoad ? { loadQueries } : {}) })
  for (let index = 0; index < servers; index += 1) {
    router.updateServer(makeServer(index, { slots, domain: domainOf(index) }), 0)
  }
  return router
}

/** Servers that the effects send anything to. */
function receivers(effects: readonly Effect[]): readonly ServerId[] {
  return effects.flatMap((effect) => {
    if (effect.kind === 'dispatch' || effect.kind === 'probe') return [effect.server]
    return effect.kind === 'query-load' ? effect.servers : []
  })
}

const shedCodes = (effects: readonly Effect[]) =>
  effects.flatMap((effect) => (effect.kind === 'shed' ? [effect.code] : []))

test('calls that wait when the order arrives go to the servers of the other domains', () => {
  const router = startRouter()
  for (const id of [1, 2, 3, 4, 5, 6]) router.submit(makeCall(id), 0)
  const effects = [...router.evacuate([ONE], 1)]
  for (const id of [1, 2, 3]) effects.push(...router.finished(makeCall(id).id, 'ok', 1, undefined, 2))
  for (let at = 3; at < 400; at += 1) effects.push(...router.tick(at))
  expect(receivers(effects)).not.toContain(serverIdAt(0))
  expect(new Set(receivers(effects))).toEqual(new Set([serverIdAt(1), serverIdAt(2)]))
})

test('without another server, waiting calls and new ones are rejected at once', () => {
  const router = startRouter({ servers: 1 })
  for (const id of [1, 2, 3]) router.submit(makeCall(id), 0)
  expect(shedCodes(router.evacuate([ONE], 1))).toEqual(['noServer', 'noServer'])
  expect(shedCodes(router.submit(makeCall(4), 2))).toEqual(['noServer'])
})

// Guards against the wait for servers that return after the loss of an entry: an evacuated server does not come back.
test('a server that leaves while it is evacuated makes no call wait for it', () => {
  const router = startRouter({ servers: 2, domainOf: () => ONE })
  router.evacuate([ONE], 1)
  router.updateServer(makeServer(0, { state: 'draining', domain: ONE }), 2)
  router.removeServer(serverIdAt(1), 2)
  expect(shedCodes(router.submit(makeCall(1), 3))).toEqual(['noServer'])
})

test('a retry is rejected if only evacuated servers have not been tried', () => {
  const router = startRouter({ servers: 2 })
  router.evacuate([TWO], 1)
  const retry = makeCall(1, { triedServers: [serverIdAt(0)] })
  expect(shedCodes(router.submit(retry, 2))).toEqual(['noServer'])
})

test('a call whose load queries are under way is not sent to an evacuated server', () => {
  const router = startRouter({ servers: 2, queriesLoad: true })
  expect(receivers(router.submit(makeCall(1), 0))).toHaveLength(2)
  router.evacuate([ONE], 1)
  const load = { inflight: 0, slots: 1, queue: 0 }
  expect(router.answered(makeCall(1).id, serverIdAt(0), { kind: 'load', load }, 2)).toEqual([])
  expect(receivers(router.answered(makeCall(1).id, serverIdAt(1), { kind: 'load', load }, 3))).toEqual([serverIdAt(1)])
})

test('a request that waits for its connection is not sent to an evacuated server', () => {
  const router = startRouter()
  router.evacuate([ONE], 1)
  expect([0, 1].map((index) => router.accepts(serverIdAt(index), 2))).toEqual([false, true])
  router.evacuate([], 3)
  expect(router.accepts(serverIdAt(0), 4)).toBe(true)
})

test('a server that joins an evacuated domain, or moves into one, is excluded as well', () => {
  const router = startRouter({ servers: 2 })
  router.evacuate([TWO], 1)
  router.updateServer(makeServer(7, { domain: TWO }), 2)
  router.updateServer(makeServer(0, { domain: TWO }), 2)
  router.updateServer(makeServer(1, { domain: ONE }), 2)
  expect([7, 0, 1].map((index) => router.accepts(serverIdAt(index), 3))).toEqual([false, false, true])
})

// Guards against a sample of neighbouring servers that contains none that may be used.
test.each([false, true])(
  'a call finds a server at once beside many evacuated ones (load queries: %s)',
  (queriesLoad) => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const domainOf = (index: number) => (index < 90 ? ONE : TWO)
        const router = startRouter({ servers: 100, slots: 3, seed, queriesLoad, domainOf })
        router.evacuate([ONE], 1)
        expect(receivers(router.submit(makeCall(1), 2)).length).toBeGreaterThan(0)
      }),
      { seed: 3, numRuns: 50 },
    )
  },
)

// Guards against ejections of all servers that are left, whose limit is a share of the servers.
test('evacuated servers do not count for the share of servers that may be ejected', () => {
  const router = startRouter({ servers: 20, domainOf: (index) => (index < 18 ? ONE : TWO) })
  router.evacuate([ONE], 0)
  const ejected = new Set<ServerId>()
  const note = (effects: readonly Effect[]) => {
    for (const effect of effects) if (effect.kind === 'ejected') ejected.add(effect.server)
    return effects
  }
  for (let id = 1; id <= 200; id += 1) {
    const at = id * 100
    const dispatched = receivers(note(router.submit(makeCall(id, { deadline: at + 1_000 }), at)))
    if (dispatched.length > 0) note(router.finished(makeCall(id).id, 'lost', 1, undefined, at + 1))
    else router.cancelled(makeCall(id).id, at + 1)
    if (ejected.size > 0) break
  }
  for (let at = 0; at < 40; at += 1) {
    const id = 1_000 + at
    if (receivers(note(router.submit(makeCall(id, { deadline: 1e6 }), 20_100))).length > 0)
      note(router.finished(makeCall(id).id, 'lost', 1, undefined, 20_101))
    else router.cancelled(makeCall(id).id, 20_101)
  }
  expect(ejected.size).toBe(1)
})

test('the router records the return of a domain before its servers get calls', () => {
  const router = startRouter({ servers: 2 })
  const returned = vi.spyOn(router, 'domainReturned')
  router.evacuate([ONE, TWO], 1)
  router.evacuate([ONE], 2)
  router.evacuate([ONE], 3)
  expect(returned.mock.calls).toEqual([[TWO, 2]])
})

const step = fc.oneof(
  fc.record({ kind: fc.constant('submit' as const), urgent: fc.boolean(), tried: fc.subarray([0, 1, 2]) }),
  fc.record({ kind: fc.constant('finish' as const), isLost: fc.boolean() }),
  fc.record({ kind: fc.constant('evacuate' as const), domains: fc.subarray(DOMAINS) }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 300 }) }),
)

test.each([false, true])('no effect names a server that is evacuated (load queries: %s)', (queriesLoad) => {
  fc.assert(
    fc.property(fc.integer(), fc.array(step, { maxLength: 60 }), (seed, steps) => {
      const router = startRouter({ servers: 6, seed, queriesLoad })
      let evacuated: readonly FailureDomain[] = []
      let now = 1
      let id = 0
      const running: number[] = []
      const check = (effects: readonly Effect[]) => {
        for (const server of receivers(effects)) {
          const index = Array.from({ length: 6 }, (_, each) => serverIdAt(each)).indexOf(serverId(server))
          expect(evacuated).not.toContain(inTurn(index))
        }
        for (const effect of effects) if (effect.kind === 'dispatch') running.push(effect.call)
      }
      for (const next of steps) {
        switch (next.kind) {
          case 'submit': {
            id += 1
            const triedServers = next.tried.map(serverIdAt)
            const urgency = next.urgent ? 'urgent' : 'deferrable'
            check(router.submit(makeCall(id, { deadline: now + 1_000, urgency, triedServers }), now))
            break
          }
          case 'finish': {
            const call = running.shift()
            if (call === undefined) break
            check(router.finished(makeCall(call).id, next.isLost ? 'lost' : 'ok', 5, undefined, now))
            break
          }
          case 'evacuate':
            evacuated = next.domains
            check(router.evacuate(evacuated, now))
            break
          case 'wait':
            for (const end = now + next.ms; now < end; now += 1) check(router.tick(now))
        }
      }
    }),
    { seed: 5, numRuns: 100 },
  )
})
