import { createServer } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { eventually, sendCall, StandIn, uuidV7, type Announcement, type StandInOptions } from '@bilberrystall/testkit'

const cleanups: (() => unknown)[] = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup()
})

async function standIn(options: Partial<StandInOptions> = {}): Promise<StandIn> {
  const server = new StandIn({ service: 'booking', server: 'b1', ...options })
  await server.start()
  cleanups.push(() => server.stop())
  return server
}

async function fakeEntry(seen: Announcement[]): Promise<string> {
  const entry = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk: Buffer) => (text += chunk.toString()))
    request.on('end', () => {
      seen.push(JSON.parse(text) as Announcement)
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

test('the record counts executions per key and per request', async () => {
  const server = await standIn()
  const idempotencyKey = uuidV7()
  const call = { method: 'POST', path: '/visits', body: 'visit', idempotencyKey } as const
  await sendCall(server.address, { ...call, requestId: 'r1' })
  await sendCall(server.address, { ...call, requestId: 'r2' })
  expect(server.record.byKey[idempotencyKey]).toBe(2)
  expect(server.record.byRequest).toEqual({ r1: 1, r2: 1 })
})

test('a photo is verified and a truncated one is not complete', async () => {
  const server = await standIn()
  const photo = { method: 'GET', path: '/photos/1?bytes=3000000', photoBytes: 3_000_000 } as const
  expect((await sendCall(server.address, photo)).outcome).toBe('complete')
  await server.change({ behaviour: { truncateNext: 1 } })
  expect((await sendCall(server.address, photo)).outcome).toBe('aborted')
  expect((await sendCall(server.address, photo)).outcome).toBe('complete')
})

test('a call that accepts no queue is shed by a full server, as the entry expects of a refusal', async () => {
  const server = await standIn({ slots: 1 })
  const running = sendCall(server.address, { method: 'GET', path: '/?ms=300' })
  await eventually('one call runs', () => server.record.inflight === 1)
  const response = await fetch(`http://${server.address}/`, { headers: { 'bilberrystall-queue-limit': '0' } })
  expect([response.status, response.headers.get('bilberrystall-not-run')]).toEqual([503, '1'])
  expect((await running).outcome).toBe('complete')
})

test('shed calls are marked as not run and are not in the record', async () => {
  const server = await standIn({ slots: 1, behaviour: { shedAtQueue: 1 } })
  const slow = { method: 'GET', path: '/?ms=200' } as const
  const running = [sendCall(server.address, slow)]
  await eventually('one call runs', () => server.record.inflight === 1)
  running.push(sendCall(server.address, slow))
  await eventually('one call waits', () => server.record.inflight === 2)
  expect((await sendCall(server.address, { ...slow, requestId: 'shed' })).status).toBe(503)
  await Promise.all(running)
  expect(server.record).toMatchObject({ executions: 2, shed: 1 })
})

test('fail-fast and misleading load report', async () => {
  const server = await standIn({ behaviour: { loadReport: 'idle', failFastStatus: 500 } })
  expect(await sendCall(server.address, { method: 'GET', path: '/' })).toMatchObject({ status: 500, outcome: 'failed' })
  const response = await fetch(`http://${server.address}/`)
  expect(response.headers.get('bilberrystall-load')).toBe('inflight=0;slots=3;queue=0')
})

test('announces to the next entry when the first is gone and states the drain once', async () => {
  const seen: Announcement[] = []
  const entry = await fakeEntry(seen)
  const server = await standIn({ entries: ['127.0.0.1:1', entry] })
  await eventually('announced', () => seen.length > 0)
  expect(seen[0]).toMatchObject({ service: 'booking', server: 'b1', state: 'ready', address: server.address, slots: 3 })
  expect(await server.change({ state: 'draining' })).toBe(entry)
  expect(seen.at(-1)?.state).toBe('draining')
  expect(seen.at(-1)?.sequence).toBeGreaterThan(seen[0]?.sequence ?? 0)
})
