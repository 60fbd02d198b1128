import { createServer } from 'node:http'
import { connect } from 'node:net'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import {
  eventually,
  sendCall,
  FakeServer,
  uuidV7,
  type Announcement,
  type FakeServerOptions,
} from '@bilberrystall/testkit'

const cleanups: (() => unknown)[] = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup()
})

async function startFakeServer(options: Partial<FakeServerOptions> = {}): Promise<FakeServer> {
  const server = new FakeServer({ service: 'booking', server: 'b1', ...options })
  await server.start()
  cleanups.push(() => server.stop())
  return server
}

async function startFakeEntry(announcements: Announcement[]): Promise<string> {
  const entry = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk: Buffer) => (text += chunk.toString()))
    request.on('end', () => {
      announcements.push(JSON.parse(text) as Announcement)
      response.end(JSON.stringify({ renewMs: 500 }))
    })
  })
  await once(entry.listen(0, '127.0.0.1'), 'listening')
  cleanups.push(() => {
    entry.close()
    entry.closeAllConnections()
  })
  return `127.0.0.1:${(entry.address() as AddressInfo).port}`
}

test('the execution record counts executions per key and per request', async () => {
  const server = await startFakeServer()
  const idempotencyKey = uuidV7()
  const call = { method: 'POST', path: '/visits', body: 'visit', idempotencyKey } as const
  await sendCall(server.address, { ...call, requestId: 'r1' })
  await sendCall(server.address, { ...call, requestId: 'r2' })
  expect(server.record.byKey[idempotencyKey]).toBe(2)
  expect(server.record.byRequest).toEqual({ r1: 1, r2: 1 })
})

test('the body of a photo is verified and a truncated photo is aborted', async () => {
  const server = await startFakeServer()
  const photo = { method: 'GET', path: '/photos/1?bytes=3000000', photoBytes: 3_000_000 } as const
  expect((await sendCall(server.address, photo)).outcome).toBe('complete')
  await server.change({ behaviour: { responsesToTruncate: 1 } })
  expect((await sendCall(server.address, photo)).outcome).toBe('aborted')
  expect((await sendCall(server.address, photo)).outcome).toBe('complete')
})

test('a full server sheds a call with queue limit 0 with the response that entries expect', async () => {
  const server = await startFakeServer({ slots: 1 })
  const running = sendCall(server.address, { method: 'GET', path: '/?ms=300' })
  await eventually('one call runs', () => server.record.inflight === 1)
  const response = await fetch(`http://${server.address}/`, { headers: { 'bilberrystall-queue-limit': '0' } })
  expect([response.status, response.headers.get('bilberrystall-not-run')]).toEqual([503, '1'])
  expect((await running).outcome).toBe('complete')
})

test('shed calls are marked as not run and are not counted as executions', async () => {
  const server = await startFakeServer({ slots: 1, behaviour: { shedQueueLength: 1 } })
  const slow = { method: 'GET', path: '/?ms=200' } as const
  const running = [sendCall(server.address, slow)]
  await eventually('one call runs', () => server.record.inflight === 1)
  running.push(sendCall(server.address, slow))
  await eventually('one call waits', () => server.record.inflight === 2)
  expect((await sendCall(server.address, { ...slow, requestId: 'shed' })).status).toBe(503)
  await Promise.all(running)
  expect(server.record).toMatchObject({ executions: 2, shed: 1 })
})

test('a server can fail fast and report a false load', async () => {
  const server = await startFakeServer({ behaviour: { loadReport: 'idle', failFastStatus: 500 } })
  expect(await sendCall(server.address, { method: 'GET', path: '/' })).toMatchObject({ status: 500, outcome: 'failed' })
  const response = await fetch(`http://${server.address}/`)
  expect(response.headers.get('bilberrystall-load')).toBe('inflight=0;slots=3;queue=0')
})

test('a server announces itself to the next entry if the first is unreachable, and announces its drain there', async () => {
  const announcements: Announcement[] = []
  const entry = await startFakeEntry(announcements)
  const server = await startFakeServer({ entries: ['127.0.0.1:1', entry] })
  await eventually('the server is announced', () => announcements.length > 0)
  expect(announcements[0]).toMatchObject({
    service: 'booking',
    server: 'b1',
    state: 'ready',
    address: server.address,
    slots: 3,
  })
  expect(await server.change({ state: 'draining' })).toBe(entry)
  expect(announcements.at(-1)?.state).toBe('draining')
  expect(announcements.at(-1)?.sequence).toBeGreaterThan(announcements[0]?.sequence ?? 0)
})

// An unhandled rejection ends the process of a server.
test('a control request that its connection cuts off does not end the server', async () => {
  const server = await startFakeServer()
  const rejections: unknown[] = []
  const onRejection = (reason: unknown) => rejections.push(reason)
  process.on('unhandledRejection', onRejection)
  cleanups.push(() => process.off('unhandledRejection', onRejection))
  const [host, port] = server.controlAddress.split(':')
  const socket = connect(Number(port), host)
  socket.write('POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{')
  await sleep(50)
  socket.resetAndDestroy()
  await sleep(50)
  expect(rejections).toEqual([])
})
