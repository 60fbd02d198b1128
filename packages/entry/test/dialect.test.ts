/**
 * The call path with a dialect in which servers return attempt ids, sign successful responses and send instance ids.
 */
import { failureDomain, seededRandom } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { OWN_DIALECT, type Dialect, type EntryOptions } from '../src/index'
import { answer, call, standIn, startEntry, type Received, type StandIn } from './harness'

const DIALECT: Dialect = {
  ...OWN_DIALECT,
  deadlineHeader: 'x-left',
  callerStatesDeadline: true,
  notRunHeader: 'x-not-run',
  isNotRun: () => true,
  loadHeader: 'x-load',
  attemptHeader: 'x-attempt',
  instanceHeader: 'x-instance',
  instanceAnswerHeader: 'x-self',
  signatureHeader: 'x-signature',
  carriesContext: false,
  probePath: undefined,
  retryAfter: (waitMs) => (waitMs / 1000).toFixed(3),
}

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
deadline = 1s
`)._unsafeUnwrap()

const header = ({ head }: Received, name: string) => new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]
const isProbe = ({ head }: Received) => head.startsWith('GET /well')
const FREE = 'x-load: inflight=0;slots=3;queue=0'

function complete(received: Received, body = 'done', head: readonly string[] = [FREE]): void {
  answer(received, body, [`x-attempt: ${header(received, 'x-attempt') ?? ''}`, 'x-signature: s', ...head])
}

function probeAnswer(received: Received, load = FREE): void {
  answer(received, '', [load, `x-self: ${header(received, 'x-instance') ?? ''}`])
}

function start(servers: readonly StandIn[], options: Partial<EntryOptions> = {}) {
  const inquiries = { perServerPerSecond: () => 1000, domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), inquiries })
  return startEntry(servers, { dialect: DIALECT, router, document: () => DOCUMENT, ...options })
}

/**
 * A round of load queries lasts 15 ms of this clock: 1.5 s of real time, so that answers arrive in time on a busy
 * machine.
 */
const SLOW_CLOCK = { monotonic: () => performance.now() / 100, unix: () => Date.now() }

const headers = { 'x-attempt': 'a1', 'x-left': '1500' }
const runs = (servers: readonly StandIn[]) =>
  servers.flatMap(({ received }) => received.filter((item) => !isProbe(item)))

test('a call goes to the server that reports a free slot, on the connection that answered the load query', async () => {
  const busy = await standIn((received) => {
    if (isProbe(received)) probeAnswer(received, 'x-load: inflight=3;slots=3;queue=4')
    else complete(received)
  })
  const free = await standIn((received) => {
    if (isProbe(received)) probeAnswer(received)
    else complete(received)
  })
  const { origin } = await start([busy, free], { clock: SLOW_CLOCK })
  expect(await call(`${origin}/read`, { headers })).toMatchObject({ status: 200, text: 'done' })
  expect(runs([busy])).toEqual([])
  const [request] = runs([free])
  expect(request?.turn).toBeGreaterThan(0)
  expect(request && header(request, 'x-instance')).toBe('server-1')
  expect(Number(request && header(request, 'x-left'))).toBeLessThanOrEqual(1480)
})

test('a late response to another request is not accepted as the response to an unsafe request', async () => {
  const server = await standIn((received) => {
    if (isProbe(received)) probeAnswer(received)
    else answer(received, 'of another', ['x-attempt: a0', 'x-signature: s'])
  })
  const { origin } = await start([server])
  const result = await call(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(runs([server])).toHaveLength(1)
})

test('stray bytes on a connection are detected by the load query and do not affect the call', async () => {
  const server = await standIn((received) => {
    if (!isProbe(received)) complete(received)
    else if (received.turn === 0 && server.sockets.length === 1) {
      answer(received, 'late', ['x-attempt: a0', 'x-signature: s'])
    } else probeAnswer(received)
  })
  const { origin } = await start([server])
  await call(`${origin}/write`, { method: 'POST', body: 'x', headers }).catch(() => undefined)
  const result = await call(`${origin}/write`, {
    method: 'POST',
    body: 'x',
    headers: { ...headers, 'x-attempt': 'a2' },
  })
  expect(result).toMatchObject({ status: 200, text: 'done' })
})

test.each([
  ['without a signature', []],
  ['with an encoded body', ['x-signature: s', 'content-encoding: gzip']],
])('a success response %s is not accepted', async (_, fields) => {
  const server = await standIn((received) => {
    if (isProbe(received)) probeAnswer(received)
    else answer(received, 'done', [`x-attempt: ${header(received, 'x-attempt') ?? ''}`, ...fields])
  })
  const { origin } = await start([server])
  const result = await call(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 502, outcome: 'unknown' })
})

test('a call goes to another server if a different process has the address of the first one', async () => {
  const other = await standIn((received) => {
    answer(received, '', [FREE, 'x-self: stranger'])
  })
  const server = await standIn((received) => {
    if (isProbe(received)) probeAnswer(received)
    else complete(received)
  })
  const { origin } = await start([other, server], { clock: SLOW_CLOCK })
  expect(await call(`${origin}/read`, { headers })).toMatchObject({ status: 200 })
  expect(runs([other])).toEqual([])
})

test('an unsafe call is never hedged', async () => {
  const silent = (received: Received) => {
    if (isProbe(received)) probeAnswer(received)
  }
  const servers = [await standIn(silent), await standIn(silent)]
  const { origin } = await start(servers)
  const result = await call(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 504, outcome: 'unknown' })
  expect(runs(servers)).toHaveLength(1)
})

test('a repeatable call is hedged: it gets the response of a second server while the first one is slow', async () => {
  let first: Received | undefined
  const script = (received: Received) => {
    if (isProbe(received)) probeAnswer(received)
    else if (first === undefined) first = received
    else complete(received, 'second')
  }
  const servers = [await standIn(script), await standIn(script)]
  const { origin } = await start(servers, { clock: SLOW_CLOCK })
  expect(await call(`${origin}/read`, { headers })).toMatchObject({ status: 200, text: 'second' })
  await expect.poll(() => first?.socket.destroyed).toBe(true)
})

test('the retry-after of a refused call has fractions of a second', async () => {
  const { origin } = await start([])
  const result = await call(`${origin}/read`, { headers })
  expect(result.status).toBe(503)
  expect(Number(result.headers['retry-after'])).toBe(0.5)
})
