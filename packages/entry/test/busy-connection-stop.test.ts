/**
 * Guards against responses that a planned stop loses although their servers work or have answered: on connections whose
 * callers always have several requests in progress, and on connections whose callers read slowly.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, onTestFinished, test } from 'vitest'
import { respond, startEntry, startFakeServer, waitUntil, type ReceivedRequest } from './harness'
import { connectCaller, get, statusesOf } from './support/raw-caller'

/** Requests that a caller has in progress at any time. */
const DEPTH = 3
const STOP_LIMIT_MS = 1_000
/** Time in which a request that is read would reach the server. */
const SETTLE_MS = 50
/** Larger than the buffers of the operating system. */
const LONG_BODY_BYTES = 16 * 1024 * 1024
/** Small enough to be buffered until the response is complete. */
const SHORT_BODY_BYTES = 60_000
/** Their responses together are larger than the buffers of the operating system. */
const MANY_REQUESTS = 300
const SERVERS = 5
const READ_BYTES = 512 * 1024
/** Longer than the interval at which a drain closes idle connections. */
const READ_INTERVAL_MS = 60

const numberOf = ({ head }: ReceivedRequest) => Number(/\?(\d+)/.exec(head)?.[1])

/** Starts a stop while a caller has `DEPTH` requests in progress at a server that responds when it is told to. */
async function stopBusyConnection() {
  const server = await startFakeServer(() => undefined)
  const { entry } = await startEntry([server])
  const caller = connectCaller(entry.port)
  const send = (number: number) => {
    caller.send(get(`/read?${number}`))
  }
  const answer = (number: number) => {
    const received = server.received.find((request) => numberOf(request) === number)
    if (received !== undefined) respond(received, `answer ${number}`)
  }
  for (let number = 1; number <= DEPTH; number += 1) send(number)
  await waitUntil(() => server.received.length === DEPTH)
  const drained = entry.drain(STOP_LIMIT_MS)
  return { server, entry, caller, send, answer, drained }
}

test('a stop ends the connection of a caller that always has several requests in progress', async () => {
  const { server, entry, caller, send, answer, drained } = await stopBusyConnection()
  for (let number = 1; number <= 2 * DEPTH; number += 1) {
    send(number + DEPTH)
    await sleep(SETTLE_MS)
    answer(number)
    await sleep(SETTLE_MS)
  }
  expect(await drained).toBe(true)
  await entry.stop()
  await caller.closed
  expect(server.received.map(numberOf).sort()).toEqual([1, 2, 3])
  expect(statusesOf(caller.text())).toEqual(['200', '200', '200'])
  expect(caller.text()).toMatch(/answer 2[^]*connection: close\r\n[^]*answer 3$/)
})

test('the last response on a connection announces its close, also if its server responds first', async () => {
  const { caller, answer, drained } = await stopBusyConnection()
  for (const number of [3, 2, 1]) {
    answer(number)
    await sleep(SETTLE_MS)
  }
  await caller.closed
  expect(caller.text()).toMatch(/answer 1[^]*answer 2[^]*connection: close\r\n[^]*answer 3$/)
  expect(await drained).toBe(true)
})

/** Reads a response slowly; returns the bytes received until the connection ends. */
async function readSlowly(port: number, request: string, onFirstBytes: (send: (text: string) => void) => void) {
  const socket = connect(port, '127.0.0.1')
  onTestFinished(() => {
    socket.destroy()
  })
  const parts: Buffer[] = []
  socket.on('error', () => undefined).write(request)
  while (!socket.readableEnded && !socket.destroyed) {
    const part = (socket.read(READ_BYTES) ?? socket.read()) as Buffer | null
    if (part !== null && parts.length === 0) onFirstBytes((text) => socket.write(text))
    if (part !== null) parts.push(part)
    await sleep(READ_INTERVAL_MS)
  }
  return Buffer.concat(parts)
}

test('a caller that reads slowly gets its response and those of the requests behind it during a stop', async () => {
  const server = await startFakeServer((received) => {
    respond(received, received.head.startsWith('GET /read?1 ') ? 'x'.repeat(LONG_BODY_BYTES) : 'behind')
  })
  const { entry } = await startEntry([server])
  let drained: Promise<boolean> | undefined
  const bytes = await readSlowly(entry.port, get('/read?1') + get('/read?2') + get('/read?3'), () => {
    drained = entry.drain(10_000)
  })
  expect(bytes.length).toBeGreaterThan(LONG_BODY_BYTES)
  expect(statusesOf(bytes.toString('latin1'))).toEqual(['200', '200', '200'])
  expect(await drained).toBe(true)
})

test('a caller that reads the responses to many requests slowly gets them all during a stop', async () => {
  const start = () =>
    startFakeServer((received) => {
      respond(received, 'x'.repeat(SHORT_BODY_BYTES))
    })
  // Together they have a slot for each request, so that no request waits and is refused.
  const { entry } = await startEntry(await Promise.all(Array.from({ length: SERVERS }, start)))
  let drained: Promise<boolean> | undefined
  const requests = Array.from({ length: MANY_REQUESTS }, (_, number) => get(`/read?${number}`))
  const bytes = await readSlowly(entry.port, requests.join(''), () => {
    drained = entry.drain(10_000)
  })
  const statuses = statusesOf(bytes.toString('latin1'))
  expect(statuses.filter((status) => status !== '200')).toEqual([])
  expect(statuses).toHaveLength(MANY_REQUESTS)
  expect(bytes.length).toBeGreaterThan(MANY_REQUESTS * SHORT_BODY_BYTES)
  expect(await drained).toBe(true)
})

test('requests that cross the close of their connection do not reset the response before them', async () => {
  const server = await startFakeServer((received) => {
    drained = entry.drain(10_000)
    respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const { entry } = await startEntry([server])
  let drained: Promise<boolean> | undefined
  const bytes = await readSlowly(entry.port, get('/read?1'), (send) => {
    const timer = setInterval(() => {
      send(get('/read?2'))
    }, READ_INTERVAL_MS)
    onTestFinished(() => {
      clearInterval(timer)
    })
  })
  expect(bytes.length).toBeGreaterThan(LONG_BODY_BYTES)
  expect(server.received).toHaveLength(1)
  expect(await drained).toBe(true)
})
