/** Guards against a misread statement of a server: one that is used too early, or that is kept from calls for too long. */
import { failureDomain, seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { isEligible } from '../src/eligibility'
import { Router, type Effect, type Server } from '../src/index'
import { ServerRecord } from '../src/server-record'
import { makeServer, serverIdAt, SERVICE } from './driver'

const WARM_UP = { lengthMs: 5000, rate: 4 }
const NOW = 20_000

function makeRouter(change: Partial<Server> = {}): Router {
  const router = new Router({ random: seededRandom(1) })
  router.configure(SERVICE, { warmUp: WARM_UP }, 0)
  router.updateServer(makeServer(0, { start: 1, ...change }), 0)
  return router
}

/** Whole seconds from `NOW` on in which the server is cold. */
function coldSeconds(router: Router): number {
  let seconds = 0
  while (router.coldServers(NOW + seconds * 1000) > 0) seconds += 1
  return seconds
}

test('the cold time of an announcement counts from its receipt', () => {
  const router = makeRouter()
  router.updateServer(makeServer(0, { start: 1, coldMs: 3000 }), NOW)
  expect(coldSeconds(router)).toBe(3)
})

test.each(['announcement', 'response'])('a server is warm at once when a newer %s says so', (source) => {
  const router = makeRouter()
  router.updateServer(makeServer(0, { start: 1, coldMs: 3000 }), NOW)
  if (source === 'response') router.warmUpReported(serverIdAt(0), 0, NOW)
  else router.updateServer(makeServer(0, { start: 1, coldMs: 0 }), NOW)
  expect(coldSeconds(router)).toBe(0)
})

test('an announcement that may be older than a response does not end the cold time that the response stated', () => {
  const router = makeRouter({ coldMs: 1000 })
  router.warmUpReported(serverIdAt(0), 4000, NOW)
  router.updateServer(makeServer(0, { start: 1, coldMs: 0 }), NOW)
  expect(coldSeconds(router)).toBe(4)
})

test('a record without a cold time, as a node of an earlier build passes it on, says nothing', () => {
  const router = makeRouter()
  router.warmUpReported(serverIdAt(0), 4000, NOW - 2000)
  router.updateServer(makeServer(0, { start: 1, slots: 2 }), NOW)
  expect(coldSeconds(router)).toBe(2)
})

test('a process that starts while the entry serves counts as cold until it says otherwise', () => {
  const router = makeRouter()
  router.updateServer(makeServer(0, { start: 2, firstSeen: NOW }), NOW)
  router.updateServer(makeServer(1, { start: 2, firstSeen: NOW }), NOW)
  expect(router.coldServers(NOW)).toBe(2)
  router.warmUpReported(serverIdAt(1), 0, NOW)
  expect(router.coldServers(NOW)).toBe(1)
  expect(coldSeconds(router)).toBe(5)
})

test('a process that the entry finds at its own start, or finds again after a partition, does not count as cold', () => {
  const router = makeRouter()
  router.updateServer(makeServer(1, { start: 1 }), 4000)
  router.removeServer(serverIdAt(0), 10_000)
  router.updateServer(makeServer(0, { start: 1, firstSeen: NOW }), NOW)
  expect(router.coldServers(NOW)).toBe(0)
})

test('what a cold server said holds while its record is gone', () => {
  const router = makeRouter()
  router.warmUpReported(serverIdAt(0), 3000, NOW)
  router.removeServer(serverIdAt(0), NOW)
  router.updateServer(makeServer(0, { start: 1, firstSeen: NOW }), NOW)
  expect(coldSeconds(router)).toBe(3)
})

test('the ready servers of a domain that returns count as cold until they say otherwise', () => {
  const router = makeRouter()
  router.updateServer(makeServer(1, { start: 1 }), 0)
  router.updateServer(makeServer(2, { start: 1, state: 'draining' }), 0)
  router.updateServer(makeServer(3, { start: 1, domain: failureDomain('two') }), 0)
  router.domainReturned(failureDomain('one'), NOW)
  expect(router.coldServers(NOW)).toBe(2)
  router.warmUpReported(serverIdAt(1), 0, NOW + 1)
  expect(coldSeconds(router)).toBe(5)
  expect(router.coldServers(NOW + 1)).toBe(1)
})

test('a server without a warm-up rate in the document is never treated as cold, and is once the document has one', () => {
  const router = makeRouter()
  router.configure(SERVICE, {}, 0)
  router.updateServer(makeServer(0, { start: 2, firstSeen: NOW, coldMs: 3000 }), NOW)
  router.domainReturned(failureDomain('one'), NOW)
  expect(router.coldServers(NOW)).toBe(0)
  router.configure(SERVICE, { warmUp: WARM_UP }, NOW)
  expect(coldSeconds(router)).toBe(3)
})

test('a cold server is used and queried as far as its limit allows, and asked at times whether it is warm', () => {
  const record = new ServerRecord(makeServer(0))
  record.warmth.setInterval(1500, false, NOW)
  record.warmth.responded(10_000, NOW)
  record.addInFlight(NOW)
  const uses = [0, 999, 1000, 1499, 1500].map((at) => [
    at,
    ...(['call', 'load-query', 'limit-query'] as const).filter((use) => isEligible(record, use, NOW + at)),
  ])
  expect(uses).toEqual([[0], [999], [1000, 'limit-query'], [1499, 'limit-query'], [1500, 'call', 'load-query']])
})

test('a part of a server that moves to this entry is used only once other entries know that it moved', () => {
  const record = new ServerRecord(makeServer(0))
  record.warmth.setInterval(Infinity, false, NOW)
  record.warmth.responded(10_000, NOW)
  record.warmth.setInterval(1500, true, NOW + 100)
  expect([2099, 2100].map((at) => isEligible(record, 'call', NOW + at))).toEqual([false, true])
})

test('each change is reported once, also the end that no statement brings', () => {
  const router = makeRouter()
  router.warmUpReported(serverIdAt(0), 3000, NOW)
  const effects: [number, Effect][] = []
  for (let wake = router.nextWake(); wake <= NOW + 10_000; wake = router.nextWake()) {
    for (const effect of router.tick(wake)) effects.push([wake - NOW, effect])
  }
  expect(effects).toMatchInlineSnapshot(`
    [
      [
        50,
        {
          "coldMs": 2950,
          "kind": "cold",
          "server": "server-0",
        },
      ],
      [
        3000,
        {
          "kind": "warm",
          "server": "server-0",
        },
      ],
    ]
  `)
})
