/**
 * Guards against calls that wait for a server that discarded their request: such a server never answers it, nor any later
 * request on that connection, although it accepts connections and answers load queries on them.
 */
import { failureDomain, seededRandom, serviceName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { HedgingPolicies, Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import type { EntryOptions } from '../src/index'
import {
  respond,
  sendCall,
  startEntry,
  startFakeServer,
  waitUntil,
  type FakeServer,
  type ReceivedRequest,
} from './harness'

const DOCUMENT = parseDocument(`
[document]
title = test
[service.booking]
[route.read]
service = booking
path = /read
repeatable = yes
deadline = 30s
[route.targeted]
service = booking
path = /targeted
repeatable = yes
target = 100ms
deadline = 30s
[route.once]
service = booking
path = /once
repeatable = yes
attempts = 1
deadline = 400ms
[route.write]
service = booking
path = /write
methods = POST
deadline = 400ms
`)._unsafeUnwrap()

/** A connection that opens late on a busy machine must not count as a failure of the answering server. */
const LIMITS = { silenceMs: 100, connectMs: 4_000 }
const FREE_LOAD = 'bilberrystall-load: inflight=0;slots=3;queue=0'
const isProbe = ({ head }: ReceivedRequest) => head.startsWith('GET /.bilberrystall/probe')

/** Answers load queries, but nothing on a connection after it has discarded a request there. */
async function startMuteServer(): Promise<FakeServer> {
  const muteSockets = new Set<unknown>()
  return startFakeServer((received) => {
    if (muteSockets.has(received.socket)) return
    if (isProbe(received)) respond(received, '', [FREE_LOAD])
    else muteSockets.add(received.socket)
  })
}

function startAnsweringServer(): Promise<FakeServer> {
  return startFakeServer((received) => {
    respond(received, isProbe(received) ? '' : 'answered', [FREE_LOAD])
  })
}

function start(servers: readonly FakeServer[], queriesLoad: boolean, options: Partial<EntryOptions> = {}) {
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), ...(queriesLoad ? { loadQueries } : {}) })
  // Enough for every call of a test: what happens without a retry left is not the subject here.
  router.configure(serviceName('booking'), { retries: { minimum: 1_000 } }, 0)
  return startEntry(servers, { router, document: () => DOCUMENT, limits: LIMITS, ...options })
}

const callsAt = ({ received }: FakeServer) => received.filter((item) => !isProbe(item))
const CALLS = 12

test.each([
  ['without load queries', false],
  ['with load queries', true],
])('%s, a repeatable call is answered by another server when the first one discards it', async (_, queriesLoad) => {
  const mute = await startMuteServer()
  const { origin } = await start([mute, await startAnsweringServer()], queriesLoad)
  const results = await Promise.all(Array.from({ length: CALLS }, () => sendCall(`${origin}/read`)))
  expect(results.map(({ status }) => status)).toEqual(Array.from({ length: CALLS }, () => 200))
  expect(callsAt(mute).length).toBeGreaterThan(0)
})

test('a call that a server discards is tried elsewhere when the limit allows no hedged attempt', async () => {
  const mute = await startMuteServer()
  const hedging = new HedgingPolicies({ defaultLimit: 0 })
  const { origin } = await start([mute, await startAnsweringServer()], true, { hedging })
  for (let call = 0; call < CALLS && callsAt(mute).length === 0; call += 1) {
    expect(await sendCall(`${origin}/targeted`)).toMatchObject({ status: 200, text: 'answered' })
  }
  expect(callsAt(mute).length).toBeGreaterThan(0)
  const totals = [...hedging.entries()].map(
    ([
      ,
      {
        totals: { results },
      },
    ]) => results,
  )
  expect(totals).toEqual([{ won: 0, lost: 0 }])
})

test.each([
  ['without load queries', false],
  ['with load queries', true],
])('%s, a connection with an abandoned request is closed and carries no other request', async (_, queriesLoad) => {
  const mute = await startMuteServer()
  const { origin } = await start([mute, await startAnsweringServer()], queriesLoad)
  for (let call = 0; call < CALLS; call += 1) await sendCall(`${origin}/read`)
  const abandoned = callsAt(mute)
  expect(abandoned.length).toBeGreaterThan(0)
  for (const { socket, requestIndex } of abandoned) {
    const last = Math.max(...mute.received.filter((item) => item.socket === socket).map((item) => item.requestIndex))
    expect(last).toBe(requestIndex)
    await waitUntil(() => socket.destroyed || socket.readableEnded)
  }
})

test.each([
  ['that may not be repeated', '/write', { method: 'POST' as const, body: 'x' }],
  ['without a further attempt', '/once', {}],
])('a call %s is not sent again, and its connection is closed at its deadline', async (_, path, options) => {
  const servers = [await startMuteServer(), await startMuteServer()]
  const { origin } = await start(servers, true)
  expect(await sendCall(`${origin}${path}`, options)).toMatchObject({ status: 504, outcome: 'unknown' })
  const [received, ...others] = servers.flatMap(callsAt)
  expect(others.map(({ head }) => head)).toEqual([])
  await waitUntil(() => received?.socket.destroyed === true || received?.socket.readableEnded === true)
})

test('a call that two servers discard is answered by a third one', async () => {
  const mute = [await startMuteServer(), await startMuteServer()]
  const { origin } = await start([...mute, await startAnsweringServer()], true)
  const targets = (server: FakeServer) => callsAt(server).map(({ head }) => /^GET (\S+)/.exec(head)?.[1])
  const isDiscardedByBoth = (target: string) => mute.every((server) => targets(server).includes(target))
  let isFound = false
  for (let call = 0; call < 60 && !isFound; call += 1) {
    expect(await sendCall(`${origin}/read?${call}`)).toMatchObject({ status: 200, text: 'answered' })
    isFound = isDiscardedByBoth(`/read?${call}`)
  }
  expect(isFound).toBe(true)
})
