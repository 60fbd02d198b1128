/** Guards against requests to a server that has said in a response that it leaves, or for how long it wants nothing. */
import { failureDomain, seededRandom, serverId } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import fc from 'fast-check'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { DEFAULT_DIALECT, type Dialect, type EntryOptions } from '../src/index'
import { parseRetryAfter } from '../src/retry-after'
import { addServer, respond, sendCall, startEntry, startFakeServer, type ReceivedRequest } from './harness'

const DIALECT: Dialect = { ...DEFAULT_DIALECT, probePath: undefined, retryAfter: (ms) => (ms / 1000).toFixed(3) }
const DOCUMENT = parseDocument(`
[document]
title = test
[service.booking]
health-path = /well
[route.read]
service = booking
path = /read
repeatable = yes
target = 200ms
deadline = 2s
[route.write]
service = booking
path = /write
methods = POST
deadline = 2s
`)._unsafeUnwrap()

const FREE = 'bilberrystall-load: inflight=0;slots=3;queue=0'
const LEAVING = 'bilberrystall-leaving: 1'
const isQuery = ({ head }: ReceivedRequest) => head.startsWith('GET /well')

type Answer = (received: ReceivedRequest) => void
const answer: Answer = (received) => {
  respond(received, 'done', [FREE])
}
const answerLeaving: Answer = (received) => {
  respond(received, 'done', [FREE, LEAVING])
}
const refuse =
  (retryAfter: string): Answer =>
  (received) => {
    respond(received, '', [FREE, 'bilberrystall-not-run: 1', `retry-after: ${retryAfter}`], '503 Service Unavailable')
  }

/** A server whose behaviour can change, with the times of the requests that it received. */
async function startServer(onCall: Answer, onQuery: Answer = answer) {
  const server = { onCall, onQuery }
  const fake = await startFakeServer((received) => {
    if (isQuery(received)) server.onQuery(received)
    else server.onCall(received)
  })
  return Object.assign(server, { fake })
}

function start(servers: Parameters<typeof startEntry>[0], queriesLoad: boolean, options: Partial<EntryOptions> = {}) {
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), ...(queriesLoad ? { loadQueries } : {}) })
  return startEntry(servers, { dialect: DIALECT, router, document: () => DOCUMENT, ...options })
}

async function sendMany(origin: string, count: number): Promise<number[]> {
  const send = (number: number) =>
    number % 2 === 0 ? sendCall(`${origin}/read`) : sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  return (await Promise.all(Array.from({ length: count }, (_, number) => send(number)))).map(({ status }) => status)
}

test.each([
  ['a call', true, answerLeaving, answer],
  ['a load query', true, answer, answerLeaving],
  ['a call, without load queries', false, answerLeaving, answer],
] as const)('after %s said that the server leaves, it gets no request of any kind', async (_, queries, call, query) => {
  const leaving = await startServer(call, query)
  const other = await startServer(answer)
  const { origin, entry } = await start([leaving.fake, other.fake], queries)
  while (!leaving.fake.received.some((received) => isQuery(received) === (query === answerLeaving)))
    await sendMany(origin, 1)
  await sleep(50)
  const before = leaving.fake.received.length
  expect(await sendMany(origin, 40)).toEqual(Array.from({ length: 40 }, () => 200))
  // A later announcement of the same process does not take the statement back.
  addServer(entry, leaving.fake, 0)
  await sendMany(origin, 20)
  entry.removeServer(serverId('server-0'))
  addServer(entry, leaving.fake, 0)
  await sendMany(origin, 20)
  expect(leaving.fake.received.length).toBe(before)
})

test('the next process under the same id gets calls', async () => {
  const leaving = await startServer(answerLeaving)
  const { origin, entry } = await start([leaving.fake], true)
  await sendMany(origin, 1)
  expect(await sendMany(origin, 1)).toEqual([503])
  leaving.onCall = answer
  addServer(entry, leaving.fake, 0, { start: 2, firstSeen: performance.now() })
  expect(await sendMany(origin, 4)).toEqual([200, 200, 200, 200])
})

test.each([
  ['a call', true, refuse('0.8'), answer],
  ['a load query', true, answer, refuse('0.8')],
  ['a call, without load queries', false, refuse('0.8'), answer],
] as const)('after %s was refused for a time, the server gets nothing until then', async (_, queries, call, query) => {
  const paused = await startServer(call, query)
  const other = await startServer(answer)
  const { origin } = await start([paused.fake, other.fake], queries)
  while (!paused.fake.received.some((received) => isQuery(received) === (query !== answer))) await sendMany(origin, 1)
  const refusedAt = performance.now()
  paused.onCall = answer
  paused.onQuery = answer
  await sleep(20)
  const before = paused.fake.received.length
  while (performance.now() - refusedAt < 700) await sendMany(origin, 4)
  expect(paused.fake.received.length).toBe(before)
  while (paused.fake.received.length === before) await sendMany(origin, 4)
  expect(performance.now() - refusedAt).toBeLessThan(5_000)
})

test('while all servers want nothing, calls are refused at once with the time that is left', async () => {
  const servers = await Promise.all([startServer(refuse('1')), startServer(refuse('1.5'))])
  const { origin } = await start(
    servers.map(({ fake }) => fake),
    true,
  )
  while (servers.some(({ fake }) => fake.received.every(isQuery))) await sendMany(origin, 2)
  const received = servers.map(({ fake }) => fake.received.length)
  const startedAt = performance.now()
  const refused = await sendCall(`${origin}/read`)
  expect(performance.now() - startedAt).toBeLessThan(200)
  expect({ status: refused.status, outcome: refused.outcome }).toEqual({ status: 503, outcome: 'not-run' })
  const wait = Number(refused.headers['retry-after']) * 1000
  expect(wait).toBeGreaterThan(400)
  expect(wait).toBeLessThan(1_300)
  for (const server of servers) server.onCall = answer
  expect(servers.map(({ fake }) => fake.received.length)).toEqual(received)
  await sleep(wait + 20)
  expect((await sendCall(`${origin}/read`)).status).toBe(200)
})

test('any value of retry-after is a time or ignored', () => {
  const values = fc.oneof(
    fc.string(),
    fc.double().map(String),
    fc.constantFrom('-1', '1e300', 'Infinity', '999999999999', '0x10', '1,5', 'Wed, 21 Oct 2026 07:28:00 GMT', '٣'),
  )
  fc.assert(
    fc.property(values, (text) => {
      const parsed = parseRetryAfter(text)
      expect(parsed === undefined || (Number.isFinite(parsed) && parsed >= 0)).toBe(true)
    }),
  )
  expect([parseRetryAfter('0.25'), parseRetryAfter(' 2 '), parseRetryAfter('-1')]).toEqual([250, 2_000, undefined])
})
