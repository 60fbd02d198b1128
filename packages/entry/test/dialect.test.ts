/**
 * The call path with a dialect in which servers return attempt ids, sign successful responses and send instance ids.
 */
import { expect, test } from 'vitest'
import { respond, sendCall, startFakeServer, type ReceivedRequest, type FakeServer } from './harness'
import {
  ATTEMPT_DIALECT as DIALECT,
  complete,
  FREE_LOAD,
  header,
  isProbe,
  respondToProbe,
  startQueryingEntry as start,
} from './support/attempt-dialect'

/**
 * A round of load queries lasts 15 ms of this clock: 1.5 s of real time, so that answers arrive in time on a busy
 * machine.
 */
const SLOW_CLOCK = { monotonic: () => performance.now() / 100, unix: () => Date.now() }

const headers = { 'x-attempt': 'a1', 'x-left': '1500' }
const callsAt = (servers: readonly FakeServer[]) =>
  servers.flatMap(({ received }) => received.filter((item) => !isProbe(item)))

test('a call goes to the server that reports a free slot, on the connection that answered the load query', async () => {
  const busy = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received, 'x-load: inflight=3;slots=3;queue=4')
    else complete(received)
  })
  const free = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received)
    else complete(received)
  })
  const { origin } = await start([busy, free], { clock: SLOW_CLOCK })
  expect(await sendCall(`${origin}/read`, { headers })).toMatchObject({ status: 200, text: 'done' })
  expect(callsAt([busy])).toEqual([])
  const [request] = callsAt([free])
  expect(request?.requestIndex).toBeGreaterThan(0)
  expect(request && header(request, 'x-instance')).toBe('server-1')
  expect(Number(request && header(request, 'x-left'))).toBeLessThanOrEqual(1480)
})

test('a late response to another request is not accepted as the response to an unsafe request', async () => {
  const server = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received)
    else respond(received, 'of another', ['x-attempt: a0', 'x-signature: s'])
  })
  const { origin } = await start([server])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(callsAt([server])).toHaveLength(1)
})

test('stray bytes on a connection are detected by the load query and do not affect the call', async () => {
  const server = await startFakeServer((received) => {
    if (!isProbe(received)) complete(received)
    else if (received.requestIndex === 0 && server.sockets.length === 1) {
      respond(received, 'late', ['x-attempt: a0', 'x-signature: s'])
    } else respondToProbe(received)
  })
  const { origin } = await start([server])
  await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers }).catch(() => undefined)
  const result = await sendCall(`${origin}/write`, {
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
  const server = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received)
    else respond(received, 'done', [`x-attempt: ${header(received, 'x-attempt') ?? ''}`, ...fields])
  })
  const { origin } = await start([server])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 502, outcome: 'unknown' })
})

test('a call goes to another server if a different process has the address of the first one', async () => {
  const other = await startFakeServer((received) => {
    respond(received, '', [FREE_LOAD, 'x-self: stranger'])
  })
  const server = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received)
    else complete(received)
  })
  const { origin } = await start([other, server], { clock: SLOW_CLOCK })
  expect(await sendCall(`${origin}/read`, { headers })).toMatchObject({ status: 200 })
  expect(callsAt([other])).toEqual([])
})

test('a load query uses a connection that has been idle, and the call follows on it', async () => {
  const server = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received)
    else complete(received)
  })
  let idleMs = 0
  const clock = { monotonic: () => performance.now() + idleMs, unix: () => Date.now() }
  const { origin } = await start([server], { clock })
  const write = { method: 'POST', body: 'x', headers } as const
  expect(await sendCall(`${origin}/write`, write)).toMatchObject({ status: 200 })
  idleMs = 6_000
  expect(await sendCall(`${origin}/write`, { ...write, headers: { ...headers, 'x-attempt': 'a2' } })).toMatchObject({
    status: 200,
  })
  expect(server.sockets).toHaveLength(1)
})

test('an unsafe call is never hedged', async () => {
  const silent = (received: ReceivedRequest) => {
    if (isProbe(received)) respondToProbe(received)
  }
  const servers = [await startFakeServer(silent), await startFakeServer(silent)]
  const { origin } = await start(servers)
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })
  expect(result).toMatchObject({ status: 504, outcome: 'unknown' })
  expect(callsAt(servers)).toHaveLength(1)
})

test('a repeatable call is hedged: it gets the response of a second server while the first one is slow', async () => {
  let first: ReceivedRequest | undefined
  const handler = (received: ReceivedRequest) => {
    if (isProbe(received)) respondToProbe(received)
    else if (first === undefined) first = received
    else complete(received, 'second')
  }
  const servers = [await startFakeServer(handler), await startFakeServer(handler)]
  const { origin } = await start(servers, { clock: SLOW_CLOCK })
  expect(await sendCall(`${origin}/read`, { headers })).toMatchObject({ status: 200, text: 'second' })
  await expect.poll(() => first?.socket.destroyed).toBe(true)
})

test('the retry-after of a refused call has fractions of a second', async () => {
  const { origin } = await start([])
  const result = await sendCall(`${origin}/read`, { headers })
  expect(result.status).toBe(503)
  expect(Number(result.headers['retry-after'])).toBe(0.5)
})

test('a server that names a rate limit receives no call beyond it, and further calls are refused as not run', async () => {
  const limit = 'x-limit: 0.5'
  const server = await startFakeServer((received) => {
    if (isProbe(received)) respondToProbe(received, `${FREE_LOAD}\r\n${limit}`)
    else complete(received, 'done', [FREE_LOAD, limit])
  })
  const dialect = { ...DIALECT, rateLimitHeader: 'x-limit' }
  const { origin } = await start([server], { dialect })
  const first = await sendCall(`${origin}/read`, { headers })
  expect(first).toMatchObject({ status: 200 })
  for (let index = 0; index < 5; index += 1) {
    expect(await sendCall(`${origin}/read`, { headers })).toMatchObject({ status: 503, outcome: 'not-run' })
  }
  expect(callsAt([server])).toHaveLength(1)
  expect(first.headers).not.toHaveProperty('x-limit')
})
