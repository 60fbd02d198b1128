/**
 * Guards against calls that come late in a planned stop, are passed on to a server, and are cut off without an answer when
 * the entry ends.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { parseDocument } from '@bilberrystall/document'
import { expect, test } from 'vitest'
import type { EndedCall } from '../src/index'
import { connectCaller } from './support/raw-caller'
import { respond, sendRaw, startEntry, startFakeServer, waitUntil, type FakeServer } from './harness'

const DOCUMENT = parseDocument(`
[document]
title = test
[service.booking]
[route.long]
service = booking
path = /long
methods = GET, POST
target = 2s
deadline = 10s
[route.short]
service = booking
path = /short
methods = GET, POST
target = 100ms
deadline = 10s
`)._unsafeUnwrap()

const WORK_MS = 100
/** Larger than the buffers of the operating system. */
const LONG_BODY_BYTES = 16 * 1024 * 1024

function startServer(workMs = WORK_MS): Promise<FakeServer> {
  return startFakeServer((received) => {
    setTimeout(() => {
      respond(received, 'done')
    }, workMs)
  })
}

const post = (path: string) => `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\nx`

test('a call that cannot end before the entry does is refused as not run, and the connection closes', async () => {
  const server = await startServer()
  const { entry, origin } = await startEntry([server], { document: () => DOCUMENT })
  entry.startDraining(1_000)
  const response = await sendRaw(origin, post('/long'))
  expect(response).toMatch(/^HTTP\/1\.1 503 .*"code":19,.*"outcome":"not-run"/s)
  expect(response.toLowerCase()).toContain('connection: close')
  expect(server.received).toEqual([])
})

test('a late call that can still end is served', async () => {
  const server = await startServer()
  const { entry, origin } = await startEntry([server], { document: () => DOCUMENT })
  entry.startDraining(1_000)
  expect(await sendRaw(origin, post('/short'))).toContain('HTTP/1.1 200')
})

test('a call that is still running when the entry ends gets an answer that says unknown', async () => {
  const server = await startServer(60_000)
  const { entry, origin } = await startEntry([server], { document: () => DOCUMENT })
  const response = sendRaw(origin, post('/short'))
  await waitUntil(() => server.received.length === 1)
  expect(await entry.drain(50)).toBe(false)
  await entry.stop()
  expect(await response).toMatch(/^HTTP\/1\.1 502 .*"outcome":"unknown"/s)
})

test('the end of an entry reports the responses that it cuts off, and when their calls were accepted', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const cuts: object[] = []
  const ended: (EndedCall | undefined)[] = []
  const events = {
    connectionsCut: (cut: object) => cuts.push(cut),
    callEnded: (_result: string, _latencyMs: number, call?: EndedCall) => ended.push(call),
  }
  const { entry, origin } = await startEntry([server], { document: () => DOCUMENT, events })
  const caller = connectCaller(Number(new URL(origin).port))
  caller.socket.pause()
  caller.send(post('/short'), post('/short'))
  await waitUntil(() => server.received.length === 2)
  entry.startDraining(1_000)
  await entry.stop()
  expect(ended.map((call) => call?.behind)).toEqual([0, 1])
  expect(ended[0]?.acceptedInStopMs).toBeLessThan(0)
  expect(cuts).toEqual([{ connections: 1, responses: 2 }])
})

test('a caller that does not read does not keep the entry from ending', async () => {
  const server = await startServer(60_000)
  const { entry, origin } = await startEntry([server], { document: () => DOCUMENT })
  const socket = connect(Number(new URL(origin).port), '127.0.0.1')
  socket.pause()
  socket.on('error', () => undefined)
  socket.write(post('/short'))
  await waitUntil(() => server.received.length === 1)
  await entry.drain(50)
  await Promise.race([entry.stop(), sleep(2_000).then(() => Promise.reject(new Error('stop did not end')))])
})

// It was read at any time up to the end of the stop, passed on, and answered 502 while its server worked.
test.each([
  ['nothing', ''],
  ['half of a head', 'POST /short HTTP/1.1\r\n'],
])('a connection that has brought %s is closed when a stop waits for heads no more', async (_, sent) => {
  const server = await startServer(5_000)
  const { entry } = await startEntry([server], { document: () => DOCUMENT })
  const busy = connectCaller(entry.port)
  busy.send(post('/short'))
  const late = connectCaller(entry.port)
  late.send(sent)
  await waitUntil(() => server.received.length === 1)
  const drained = entry.drain(2_500)
  await sleep(1_300)
  late.send(post('/short').slice(sent.length))
  await drained
  await entry.stop()
  await Promise.race([late.closed, sleep(1_000)])
  expect({ passedOn: server.received.length - 1, text: late.text() }).toEqual({ passedOn: 0, text: '' })
})
