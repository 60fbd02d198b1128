/** Guards against a use of a server that forgets one of the reasons for which the server must be left alone. */
import { seededRandom } from '@bilberrystall/base'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { isEligible, type ServerUse } from '../src/eligibility'
import { Router, type Effect } from '../src/index'
import { ServerRecord } from '../src/server-record'
import { makeCall, makeRouter, makeServer, serverIdAt } from './driver'

const USES: readonly ServerUse[] = ['call', 'load-query', 'limit-query', 'trial', 'probe']

function usesOf(change: (record: ServerRecord) => void): readonly ServerUse[] {
  const record = new ServerRecord(makeServer(0))
  change(record)
  return USES.filter((use) => isEligible(record, use, 1_000))
}

test('each state of a server excludes it from what the design says', () => {
  const eject = (record: ServerRecord, until: number) => {
    record.health = { kind: 'ejected', until, backoff: 1 }
  }
  const table = {
    healthy: usesOf(() => undefined),
    evacuated: usesOf((record) => (record.isEvacuated = true)),
    'end of an ejection, evacuated': usesOf((record) => {
      eject(record, 1_000)
      record.isEvacuated = true
    }),
    draining: usesOf((record) => (record.server = makeServer(0, { state: 'draining' }))),
    leaving: usesOf((record) => (record.isLeaving = true)),
    removed: usesOf((record) => (record.isRemoved = true)),
    'asked for a pause': usesOf((record) => (record.requestedPauseUntil = 1_001)),
    'after a pause': usesOf((record) => (record.requestedPauseUntil = 1_000)),
    'failed a moment ago': usesOf((record) => (record.pausedUntil = 1_001)),
    ejected: usesOf((record) => {
      eject(record, 1_001)
    }),
    'end of an ejection': usesOf((record) => {
      eject(record, 1_000)
    }),
    'end of an ejection, leaving': usesOf((record) => {
      eject(record, 1_000)
      record.isLeaving = true
    }),
    trial: usesOf((record) => (record.health = { kind: 'trial', successes: 0, backoff: 1 })),
    'trial, asked for a pause': usesOf((record) => {
      record.health = { kind: 'trial', successes: 0, backoff: 1 }
      record.requestedPauseUntil = 1_001
    }),
  }
  expect(table).toMatchInlineSnapshot(`
    {
      "after a pause": [
        "call",
        "load-query",
      ],
      "asked for a pause": [],
      "draining": [],
      "ejected": [],
      "end of an ejection": [
        "probe",
      ],
      "end of an ejection, evacuated": [],
      "end of an ejection, leaving": [],
      "evacuated": [],
      "failed a moment ago": [],
      "healthy": [
        "call",
        "load-query",
      ],
      "leaving": [],
      "removed": [],
      "trial": [
        "trial",
      ],
      "trial, asked for a pause": [],
    }
  `)
})

const dispatched = (effects: readonly Effect[]) =>
  effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.server] : []))
const statement = (change: { isLeaving?: boolean; pauseMs?: number }) => ({
  isLeaving: false,
  pauseMs: undefined,
  ...change,
})

test('calls that wait do not go to a server that says that it leaves', () => {
  const router = makeRouter(2, 1)
  for (const id of [1, 2, 3, 4]) router.submit(makeCall(id), 0)
  router.statementReceived(serverIdAt(0), statement({ isLeaving: true }), 1)
  const sent = [1, 2].flatMap((id) => dispatched(router.finished(makeCall(id).id, 'ok', 1, undefined, 2)))
  const later = Array.from({ length: 400 }, (_, at) => dispatched(router.tick(2 + at))).flat()
  expect([...sent, ...later]).not.toContain(serverIdAt(0))
})

test('a pause ends after five minutes at the latest, whatever the server named', () => {
  fc.assert(
    fc.property(fc.double({ min: 0, max: 1e15, noNaN: true }), fc.integer(), (pauseMs, seed) => {
      const router = new Router({ random: seededRandom(seed) })
      router.updateServer(makeServer(0), 0)
      router.statementReceived(serverIdAt(0), statement({ pauseMs }), 0)
      expect(router.accepts(serverIdAt(0), 302_000)).toBe(true)
      expect(router.accepts(serverIdAt(0), Math.min(pauseMs, 300_000) - 1)).toBe(pauseMs <= 0)
    }),
  )
})

test('entries return to a server at different times after its pause', () => {
  const returns = Array.from({ length: 20 }, (_, seed) => {
    const router = new Router({ random: seededRandom(seed) })
    router.updateServer(makeServer(0), 0)
    router.statementReceived(serverIdAt(0), statement({ pauseMs: 2_000 }), 0)
    let at = 0
    while (!router.accepts(serverIdAt(0), at)) at += 10
    return at
  })
  expect(Math.min(...returns)).toBeGreaterThanOrEqual(2_000)
  expect(Math.max(...returns) - Math.min(...returns)).toBeGreaterThan(200)
})

test('a statement that a process leaves survives its announcements and the removal of its record', () => {
  const router = new Router({ random: seededRandom(1) })
  router.updateServer(makeServer(0, { start: 5 }), 0)
  router.statementReceived(serverIdAt(0), statement({ isLeaving: true }), 0)
  router.updateServer(makeServer(0, { start: 5 }), 1)
  expect(router.accepts(serverIdAt(0), 1)).toBe(false)
  router.removeServer(serverIdAt(0), 2)
  router.updateServer(makeServer(0, { start: 5 }), 3)
  expect(router.accepts(serverIdAt(0), 3)).toBe(false)
  router.updateServer(makeServer(0, { start: 6, firstSeen: 4 }), 4)
  expect(router.accepts(serverIdAt(0), 4)).toBe(true)
})
