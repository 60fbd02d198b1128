/** Guards against calls that were placed behind the others of an overloaded service and take its last free slots. */
import { failureDomain, seededRandom, serverId, serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { callId, Router, type Call, type Effect, type Load } from '../src/index'
import { makeCall, makeRouter, SERVICE } from './driver'

const QUERIED = serviceName('slots')
const TARGET_MS = 400
const MAX_WAIT_MS = TARGET_MS / 8

/** Sends a call through load queries that all servers answer with `load`, and returns how it ended and when. */
function runQueried(load: Load, change: Partial<Call>): string {
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: 'domain-1' }
  const router = new Router({ random: seededRandom(7), loadQueries })
  for (let index = 0; index < 9; index += 1) {
    const rest = { service: QUERIED, domain: failureDomain('domain-1'), slots: load.slots, state: 'ready' as const }
    router.updateServer({ id: serverId(`s${index}`), firstSeen: -60_000, ...rest }, 0)
  }
  const call = { ...makeCall(1, change), service: QUERIED, target: TARGET_MS }
  let effects: readonly Effect[] = router.submit(call, 0)
  for (let now = 0; now <= 2 * MAX_WAIT_MS; now += 1) {
    const next: Effect[] = []
    for (const effect of effects) {
      if (effect.kind === 'dispatch' || effect.kind === 'shed') return `${effect.kind} after ${now} ms`
      if (effect.kind !== 'query-load') continue
      for (const server of effect.servers) next.push(...router.answered(callId(1), server, { kind: 'load', load }, now))
    }
    effects = next.length > 0 ? next : router.tick(now + 1)
  }
  return 'waits'
}

test('a call that yields leaves the last free slot to others while it waits, and does not queue at a server', () => {
  const loads = {
    idle: { inflight: 0, slots: 3, queue: 0 },
    'two free slots': { inflight: 1, slots: 3, queue: 0 },
    'one free slot': { inflight: 2, slots: 3, queue: 0 },
    'no free slot': { inflight: 3, slots: 3, queue: 0 },
    full: { inflight: 3, slots: 3, queue: 1 },
  }
  const results = Object.entries(loads).map(([name, load]) => [
    name,
    { usual: runQueried(load, {}), yields: runQueried(load, { yields: true }) },
  ])
  expect(Object.fromEntries(results)).toMatchInlineSnapshot(`
    {
      "full": {
        "usual": "shed after 54 ms",
        "yields": "shed after 54 ms",
      },
      "idle": {
        "usual": "dispatch after 1 ms",
        "yields": "dispatch after 1 ms",
      },
      "no free slot": {
        "usual": "dispatch after 2 ms",
        "yields": "shed after 54 ms",
      },
      "one free slot": {
        "usual": "dispatch after 2 ms",
        "yields": "dispatch after 54 ms",
      },
      "two free slots": {
        "usual": "dispatch after 1 ms",
        "yields": "dispatch after 1 ms",
      },
    }
  `)
})

test('waiting calls of equal urgency leave the queue by rank, then by deadline', () => {
  const router = makeRouter(1, 1)
  router.configure(SERVICE, { concurrency: 1 }, 0)
  const sent: number[] = []
  const apply = (effects: readonly Effect[]) => {
    for (const effect of effects) if (effect.kind === 'dispatch') sent.push(effect.call)
  }
  apply(router.submit(makeCall(0, { deadline: 5_000 }), 0))
  const ranks: [number, Partial<Call>][] = [
    [1, { rank: 1001, deadline: 5_000 }],
    [2, { rank: 1, deadline: 5_000 }],
    [3, { rank: 1, deadline: 4_000 }],
    [4, { rank: 0, deadline: 6_000 }],
    [5, { deadline: 5_500 }],
    [6, { rank: 0, deadline: 4_500, urgency: 'deferrable' }],
  ]
  for (const [id, change] of ranks) apply(router.submit(makeCall(id, change), 0))
  for (let now = 100; sent.length < 7; now += 10) {
    apply(router.finished(callId(sent.at(-1)!), 'ok', 10, { inflight: 0, slots: 1, queue: 0 }, now))
    apply(router.tick(now + 5))
    if (now > 3_000) break
  }
  expect(sent).toEqual([0, 5, 4, 3, 2, 1, 6])
})
