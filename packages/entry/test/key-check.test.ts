/**
 * Guards against calls that are sent although their key was taken away while they waited, or although the entry may no
 * longer accept keys, and against refusals of calls that need no key.
 */
import { nodeId, seededRandom } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { OPEN_ADMISSION, type EntryOptions } from '../src/index'
import {
  endedServers,
  respond,
  sendCall,
  startEntry,
  startFakeServer,
  waitUntil,
  type FakeServer,
  type Setup,
} from './harness'

const ROUTES = `[document]
title = test
require-keys = yes
[service.booking]
concurrency = 1
[route.read]
service = booking
path = /read
repeatable = yes
[route.write]
service = booking
path = /write
methods = POST
[route.open]
service = booking
path = /open
public = yes
`
const NORTH = '[organisation.north]\nkeys = k1\n'
const SOUTH = '[organisation.south]\nkeys = k2\n'
const documentOf = (text: string) => parseDocument(ROUTES + text)._unsafeUnwrap()
const WITH_KEY = { headers: { authorization: 'Bearer k1' } }
const POST = { ...WITH_KEY, method: 'POST', body: 'x' } as const

interface KeyState {
  document: ReturnType<typeof documentOf>
  areConfirmed: boolean
}

async function startEntryWithKeys(servers: readonly FakeServer[], options: Partial<EntryOptions> = {}) {
  const state: KeyState = { document: documentOf(NORTH + SOUTH), areConfirmed: true }
  const setup = await startEntry(servers, {
    router: new Router({ random: seededRandom(1) }),
    document: () => state.document,
    admission: { ...OPEN_ADMISSION, areKeysConfirmed: () => state.areConfirmed },
    ...options,
  })
  setup.entry.configure(state.document)
  return { ...setup, state }
}

/** Starts an entry whose only server runs one call, so that further ones wait. */
async function startBusyEntry(limit = 1) {
  const server = await startFakeServer(() => undefined)
  const router = new Router({ random: seededRandom(1) })
  const setup = await startEntryWithKeys([server], { router })
  router.configure('booking' as never, { concurrency: limit }, performance.now())
  const first = sendCall(`${setup.origin}/read?first`, WITH_KEY)
  await waitUntil(() => server.received.length === 1)
  const finishFirst = async () => {
    respond(server.received[0]!, 'first')
    await first
  }
  return { ...setup, server, router, finishFirst }
}

const waitingCalls = (router: Router) => router.gauges('booking' as never).waiting

test.each([
  { change: 'its key was removed', set: { document: documentOf(SOUTH) }, status: 401, code: 26 },
  { change: 'the last organisation was removed', set: { document: documentOf('') }, status: 401, code: 26 },
  { change: 'the lease ended', set: { areConfirmed: false }, status: 503, code: 27 },
  {
    change: 'another organisation got its key',
    set: { document: documentOf('[organisation.south]\nkeys = k1, k2\n') },
    status: 503,
    code: 27,
  },
])('a call that waits in the queue while $change is not sent', async ({ set, status, code }) => {
  const { origin, state, server, router, finishFirst } = await startBusyEntry()
  const second = sendCall(`${origin}/write`, POST)
  await waitUntil(() => waitingCalls(router) === 1)
  Object.assign(state, set)
  await finishFirst()
  expect(await second).toMatchObject({ status, code, outcome: 'not-run' })
  expect(server.received.map(({ head }) => head.split(' ')[1])).toEqual(['/read?first'])
})

test('a call that waits while its document is replaced by one with the same key is sent', async () => {
  const { origin, state, server, router, finishFirst } = await startBusyEntry()
  const second = sendCall(`${origin}/read?second`, WITH_KEY)
  await waitUntil(() => waitingCalls(router) === 1)
  state.document = documentOf(NORTH)
  await finishFirst()
  await waitUntil(() => server.received.length === 2)
  respond(server.received[1]!, 'second')
  expect(await second).toMatchObject({ status: 200, text: 'second' })
})

test('a call of a public route goes on without a lease, and names no organisation that cannot be confirmed', async () => {
  const { origin, state, server, router, finishFirst } = await startBusyEntry()
  const second = sendCall(`${origin}/open?second`, WITH_KEY)
  await waitUntil(() => waitingCalls(router) === 1)
  state.areConfirmed = false
  await finishFirst()
  await waitUntil(() => server.received.length === 2)
  respond(server.received[1]!, 'second')
  expect(await second).toMatchObject({ status: 200 })
  const third = sendCall(`${origin}/open?third`, WITH_KEY)
  await waitUntil(() => server.received.length === 3)
  respond(server.received[2]!, 'third')
  expect(await third).toMatchObject({ status: 200 })
  expect(await sendCall(`${origin}/read`, WITH_KEY)).toMatchObject({ status: 503, code: 27, outcome: 'not-run' })
  const named = server.received.map(({ head }) => /bilberrystall-organisation: (.*)/.exec(head)?.[1])
  expect(named).toEqual(['north', undefined, undefined])
})

test('a retry is not sent after the key was removed, and the call fails with what its first attempt left unknown', async () => {
  const server = await startFakeServer(({ socket }) => {
    state.document = documentOf(SOUTH)
    socket.resetAndDestroy()
  })
  const { origin, state } = await startEntryWithKeys([server, server])
  expect(await sendCall(`${origin}/read`, WITH_KEY)).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(server.received).toHaveLength(1)
})

test('a retry after a refusal of the server is not sent after the lease ended, and the call has not run', async () => {
  const server = await startFakeServer((received) => {
    state.areConfirmed = false
    respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
  })
  const { origin, state } = await startEntryWithKeys([server, server])
  expect(await sendCall(`${origin}/write`, POST)).toMatchObject({ status: 503, code: 27, outcome: 'not-run' })
  expect(server.received).toHaveLength(1)
})

test.each([
  { change: 'stays', organisations: NORTH, requests: 2 },
  { change: 'is removed', organisations: SOUTH, requests: 1 },
])('while the first attempt is in progress and the key $change, $requests of 2 attempts are sent', async (scenario) => {
  const server = await startFakeServer(() => undefined)
  const limits = { silenceMs: 100, sweepIntervalMs: 20 }
  const { origin, state } = await startEntryWithKeys([server, server], { limits })
  const call = sendCall(`${origin}/read`, WITH_KEY)
  await waitUntil(() => server.received.length === 1)
  state.document = documentOf(scenario.organisations)
  await new Promise((resolve) => setTimeout(resolve, 1_000))
  respond(server.received[0]!, 'first')
  expect(await call).toMatchObject({ status: 200, text: 'first' })
  expect(server.received).toHaveLength(scenario.requests)
})

test('a call that waits for a connection while its key is removed is not sent', async () => {
  const server = await startFakeServer(() => undefined)
  const { origin, state, entry } = await startEntryWithKeys([server], { liveEntries: () => 64 })
  const first = sendCall(`${origin}/read?first`, WITH_KEY)
  await waitUntil(() => server.received.length === 1)
  const second = sendCall(`${origin}/write`, POST)
  await waitUntil(() => entry.callsInFlight === 2)
  state.document = documentOf(SOUTH)
  respond(server.received[0]!, 'first')
  await first
  expect(await second).toMatchObject({ status: 401, code: 26, outcome: 'not-run' })
  expect(server.received).toHaveLength(1)
})

async function startPeer(name: string, servers: readonly FakeServer[]) {
  const relayListen = { host: '127.0.0.1', port: 0 }
  const setup = await startEntryWithKeys(servers, { node: nodeId(name), relayListen })
  const address = { host: '127.0.0.1', port: setup.entry.relayPort }
  return { ...setup, peer: { node: nodeId(name), address, isNear: true } }
}

/** Starts an entry that reaches none of its servers, and passes calls on to the two others in turn. */
async function startCutOffEntry(): Promise<{
  cutOff: Setup
  peers: Awaited<ReturnType<typeof startPeer>>[]
  server: FakeServer
}> {
  const server = await startFakeServer((received) => {
    respond(received, 'ran')
  })
  const peers = [await startPeer('first', [server]), await startPeer('second', [server])]
  const state = { isCutOff: false }
  const cutOff = await startEntryWithKeys(await endedServers(3), {
    relayPeers: () => (state.isCutOff ? peers.map(({ peer }) => peer) : []),
    events: { reachabilityChanged: (isCutOff) => (state.isCutOff = isCutOff) },
  })
  while (!state.isCutOff) await sendCall(`${cutOff.origin}/read`, WITH_KEY)
  return { cutOff, peers, server }
}

test('a call is passed on to a further entry if the first one may accept no keys', async () => {
  const { cutOff, peers, server } = await startCutOffEntry()
  peers[0]!.state.areConfirmed = false
  for (let call = 0; call < 4; call += 1) {
    expect(await sendCall(`${cutOff.origin}/write`, POST)).toMatchObject({ status: 200, text: 'ran' })
  }
  expect(server.received.filter(({ body }) => body === 'x')).toHaveLength(4)
  peers[1]!.state.areConfirmed = false
  const refused = await sendCall(`${cutOff.origin}/write`, POST)
  expect(refused).toMatchObject({ status: 503, code: 27, outcome: 'not-run' })
  expect(refused.headers['retry-after']).toBe('1')
  expect(server.received.filter(({ body }) => body === 'x')).toHaveLength(4)
})

test('a key that the newer document of another entry does not contain is refused as unknown', async () => {
  const { cutOff, peers, server } = await startCutOffEntry()
  for (const { state } of peers) state.document = documentOf(SOUTH)
  expect(await sendCall(`${cutOff.origin}/write`, POST)).toMatchObject({ status: 401, code: 26, outcome: 'not-run' })
  expect(server.received.filter(({ body }) => body === 'x')).toHaveLength(0)
})
