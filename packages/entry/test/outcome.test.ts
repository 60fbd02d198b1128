import { expect, test } from 'vitest'
import { RESULT_CODES } from '@bilberrystall/base'
import {
  addServer,
  respond,
  sendCall,
  sendRaw,
  startFakeServer,
  startEntry,
  waitUntil,
  type ReceivedRequest,
} from './harness'

const { connectionLost, connectFailed, deadlineUnknown, serverShed } = RESULT_CODES

test('a complete response is forwarded without hop-by-hop fields and internal fields', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'hello', ['x-site: 7', 'keep-alive: timeout=9', 'bilberrystall-load: inflight=1;slots=3;queue=0'])
  })
  const { origin } = await startEntry([server])
  const result = await sendCall(`${origin}/read/1?q=2`, { headers: { 'bilberrystall-not-run': '1', 'x-a': 'b' } })
  expect(result).toMatchObject({ status: 200, text: 'hello', headers: { 'x-site': '7' } })
  expect(result.headers).not.toHaveProperty('bilberrystall-load')
  expect(result.headers['keep-alive']).not.toBe('timeout=9')
  const head = server.received[0]?.head ?? ''
  expect(head).toMatch(/^GET \/read\/1\?q=2 HTTP\/1.1/)
  expect(head).toMatch(/bilberrystall-deadline-ms: \d+/)
  expect(head).toMatch(/bilberrystall-context: \S+/)
  expect(head).toContain('x-a: b')
  expect(head).not.toMatch(/not-run/)
})

test('a reset before the first byte of the response has an unknown outcome, and the request is sent once', async () => {
  const server = await startFakeServer(({ socket }) => socket.resetAndDestroy())
  const { origin } = await startEntry([server])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'order' })
  expect(result).toMatchObject({ status: 502, code: connectionLost.number, outcome: 'unknown' })
  expect(server.received).toHaveLength(1)
})

test('a reset of a reused connection never makes undici send the request again', async () => {
  const server = await startFakeServer((received) => {
    if (received.requestIndex === 0) respond(received, 'first')
    else received.socket.resetAndDestroy()
  })
  const { origin } = await startEntry([server])
  for (let round = 0; round < 50; round += 1) {
    await sendCall(`${origin}/write`, { method: 'POST', body: `first ${round}` })
    await sendCall(`${origin}/write`, { method: 'POST', body: `second ${round}` })
  }
  const bodies = server.received.map(({ body }) => body)
  expect(new Set(bodies).size).toBe(bodies.length)
  expect(bodies).toHaveLength(100)
})

const UNFINISHED = [
  ['with a content-length', 'content-length: 100000', (text: string) => text],
  ['in chunks', 'transfer-encoding: chunked', (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`],
] as const

/** Longer than the responses that an entry buffers until they are complete. */
const LONG = 'x'.repeat(70_000)

test.each(UNFINISHED)(
  'a long response %s that ends early aborts the transfer to the caller',
  async (_, field, body) => {
    const server = await startFakeServer(({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${field}\r\n\r\n${body(LONG)}`)
      setTimeout(() => socket.end(), 20)
    })
    const { origin, results } = await startEntry([server])
    await expect(sendCall(`${origin}/read`)).rejects.toThrow()
    expect(results).toEqual(['responseTruncated'])
  },
)

test.each(UNFINISHED)(
  'a short response %s that ends early is a failure with an unknown outcome',
  async (_, field, body) => {
    const server = await startFakeServer(({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${field.replace('100000', '1000')}\r\n\r\n${body('hello')}`)
      setTimeout(() => socket.end(), 5)
    })
    const { origin, results } = await startEntry([server])
    expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 502, code: 32, outcome: 'unknown' })
    expect(results).toEqual(['responseTruncated'])
  },
)

test('a repeatable call gets the response of another server after a short response was truncated', async () => {
  const handler = ({ socket }: ReceivedRequest) => {
    const isFirst = servers.every(({ received }) => received.length < 2) && total() === 1
    if (!isFirst) {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole')
      return
    }
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf')
    setTimeout(() => socket.end(), 5)
  }
  const servers = [await startFakeServer(handler), await startFakeServer(handler)]
  const total = () => servers.reduce((sum, { received }) => sum + received.length, 0)
  const { origin } = await startEntry(servers)
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200, text: 'whole' })
  expect(total()).toBe(2)
})

test.each([
  ['short', 'hello', 502],
  ['long', LONG, undefined],
] as const)(
  'a %s response delimited by the close of the connection is not treated as complete after a reset',
  async (_, body, status) => {
    const server = await startFakeServer(({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`)
      setTimeout(() => socket.resetAndDestroy(), 5)
    })
    const { origin } = await startEntry([server])
    const ended = sendCall(`${origin}/read`)
    if (status === undefined) await expect(ended).rejects.toThrow()
    else expect(await ended).toMatchObject({ status, outcome: 'unknown' })
  },
)

test('a call whose connection is refused is not run there and is sent to the next server', async () => {
  const unreachable = await startFakeServer(() => undefined)
  const server = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const { origin } = await startEntry([{ ...unreachable, port: 1 }, server])
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'order' })).toMatchObject({
    status: 200,
    text: 'done',
  })
})

test('a call is reported as not run if every connection is refused', async () => {
  const unreachable = await startFakeServer(() => undefined)
  const { origin } = await startEntry([{ ...unreachable, port: 1 }])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'order' })
  expect(result).toMatchObject({ status: 503, outcome: 'not-run' })
  expect([connectFailed.number, RESULT_CODES.noServer.number]).toContain(result.code)
})

test('a shed call is retried at another server, and a 5xx response is forwarded without a retry', async () => {
  const failing = await startFakeServer((received) => {
    respond(received, 'own fault', [], '500 Internal Server Error')
  })
  const shedding = await startFakeServer((received) => {
    addServer(entry, failing, 1)
    respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
  })
  const { origin, entry } = await startEntry([shedding])
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'a' })).toMatchObject({
    status: 500,
    text: 'own fault',
  })
  expect([shedding.received.length, failing.received.length]).toEqual([1, 1])
})

test('a call that every server sheds is reported as not run', async () => {
  const shedding = await startFakeServer((received) => {
    respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
  })
  const { origin } = await startEntry([shedding])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'a' })
  expect(result).toMatchObject({ status: 503, outcome: 'not-run' })
  expect([serverShed.number, RESULT_CODES.noServer.number]).toContain(result.code)
})

test('a repeatable call is retried after an unknown outcome, and stays unknown if no retry succeeds', async () => {
  const resetting = await startFakeServer(({ socket }) => socket.resetAndDestroy())
  const { origin } = await startEntry([resetting])
  expect(await sendCall(`${origin}/read`)).toMatchObject({ code: connectionLost.number, outcome: 'unknown' })
})

test('a late response is discarded: the call ends at its deadline and the connection is closed', async () => {
  let closed = 0
  const server = await startFakeServer((received) => {
    received.socket.once('close', () => (closed += 1))
  })
  const { origin } = await startEntry([server])
  expect(await sendCall(`${origin}/middle`)).toMatchObject({
    status: 504,
    code: deadlineUnknown.number,
    outcome: 'unknown',
  })
  await waitUntil(() => closed === 1)
})

test('an unsolicited response that arrives in the same read as a response does not leak into the next call', async () => {
  const server = await startFakeServer((received) => {
    respond(received, received.body)
    respond(received, 'stray')
  })
  const { origin } = await startEntry([server])
  for (const body of ['a', 'b', 'c']) {
    expect(await sendCall(`${origin}/write`, { method: 'POST', body })).toMatchObject({ text: body })
  }
})

test.each([
  ['x-bad: a\x7fb', 502],
  ['x-bad: a\x01b', 502],
  ['x bad: a', 502],
  [': empty', 502],
  ['x-odd: \xff\xfe', 200],
])(
  'the response header field %j neither crashes the entry nor leaves the caller without a response',
  async (field, status) => {
    const server = await startFakeServer((received) => {
      // The head arrives before the body.
      received.socket.write(`HTTP/1.1 200 OK\r\n${field}\r\ncontent-length: 2\r\n\r\n`, 'latin1')
      setTimeout(() => received.socket.write('ok'), 20)
    })
    const { origin, entry } = await startEntry([server])
    const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'a' })
    expect(result.status).toBe(status)
    await waitUntil(() => entry.callsInFlight === 0)
  },
)

test.each([
  ['content-length: 3\r\ntransfer-encoding: chunked', '5\r\nhello\r\n0\r\n\r\n'],
  ['transfer-encoding: chunked\r\ncontent-length: 3', '5\r\nhello\r\n0\r\n\r\n'],
  ['content-length: 3\r\ncontent-length: 5', 'hello'],
  ['content-length: 3, 5', 'hello'],
])(
  'a response with conflicting lengths %j is rejected, so none of its bytes reach the next call',
  async (fields, body) => {
    const server = await startFakeServer((received) => {
      received.socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n`)
      setTimeout(() => received.socket.write(body), 10)
    })
    const { origin } = await startEntry([server])
    const text = await sendRaw(
      origin,
      'POST /write HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1\r\n\r\na',
    )
    expect(text).toMatch(/^HTTP\/1.1 502 /)
  },
)
