/** Guards against refusing the calls of an entry that reaches no server while other entries reach them. */
import { connect } from 'node:net'
import { failureDomain, nodeId, seededRandom, serviceName } from '@bilberrystall/base'
import { Router } from '@bilberrystall/routing'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { EntryOptions, RelayPeer } from '../src/index'
import {
  endedServers,
  respond,
  sendCall,
  sendRaw,
  startEntry,
  startFakeServer,
  waitUntil,
  type FakeServer,
  type RequestHandler,
  type Setup,
} from './harness'

/** Attempts of a call if its route names no number. */
const DEFAULT_ATTEMPTS = 3
const ANY_PORT = { host: '127.0.0.1', port: 0 }

interface Peer extends Setup {
  readonly peer: RelayPeer
}

async function startPeer(name: string, servers: readonly FakeServer[], options: Partial<EntryOptions> = {}) {
  const setup = await startEntry(servers, {
    node: nodeId(name),
    router: new Router({ random: seededRandom(1) }),
    relayListen: ANY_PORT,
    ...options,
  })
  const address = { host: '127.0.0.1', port: setup.entry.relayPort }
  return { ...setup, peer: { node: nodeId(name), address, isNear: true } }
}

/** Starts an entry that reaches none of its servers and has found that out. */
async function startCutOffEntry(peers: readonly Peer[], options: Partial<EntryOptions> = {}): Promise<Setup> {
  const state = { isCutOff: false, hasPeers: false }
  const setup = await startPeer('cut-off', await endedServers(3), {
    relayPeers: () => (state.hasPeers ? peers.map(({ peer }) => peer) : []),
    ...options,
    events: {
      reachabilityChanged: (value) => (state.isCutOff = value),
    },
  })
  while (!state.isCutOff) await sendCall(`${setup.origin}/read`)
  setup.results.splice(0)
  state.hasPeers = true
  return setup
}

const echo: RequestHandler = (received) => {
  respond(received, `echo ${received.body}`, ['x-own: kept'])
}

test('a call at an entry that reaches no server runs once through another entry, and its response is unchanged', async () => {
  const server = await startFakeServer(echo)
  const helper = await startPeer('helper', [server])
  const { origin, results } = await startCutOffEntry([helper])
  const result = await sendCall(`${origin}/write?q=1`, { method: 'POST', body: 'x', headers: { 'x-caller': 'kept' } })
  expect(result).toMatchObject({ status: 200, text: 'echo x', headers: { 'x-own': 'kept' } })
  expect(Object.keys(result.headers).filter((name) => name.startsWith('bilberrystall-'))).toEqual([])
  expect(results).toEqual(['complete'])
  const [received] = server.received.filter(({ body }) => body === 'x')
  expect(received?.head).toContain('POST /write?q=1')
  expect(received?.head).toContain('x-caller: kept')
  expect(received?.head).not.toContain('bilberrystall-relay')
  expect(server.received.filter(({ body }) => body === 'x')).toHaveLength(1)
})

test('a body that is too large for the buffer is passed on while it arrives', async () => {
  const server = await startFakeServer(({ socket, body }) => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${String(body.length).length}\r\n\r\n${body.length}`)
  })
  const { origin } = await startCutOffEntry([await startPeer('helper', [server])])
  const body = 'x'.repeat(200_000)
  expect(await sendCall(`${origin}/write`, { method: 'POST', body })).toMatchObject({ status: 200, text: '200000' })
})

test('a planned stop of the other entry completes the call that was passed on to it', async () => {
  const server = await startFakeServer((received) => {
    received.socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n')
  })
  const helper = await startPeer('helper', [server])
  const { origin } = await startCutOffEntry([helper])
  const result = sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  await waitUntil(() => server.received.some(({ body }) => body === 'x'))
  const drained = helper.entry.drain(2_000)
  server.received.find(({ body }) => body === 'x')?.socket.write('4\r\nlast\r\n0\r\n\r\n')
  expect(await result).toMatchObject({ status: 200, text: 'firstlast' })
  expect(await drained).toBe(true)
})

test('a refusal of the other entry reaches the caller as not run, with its time of return', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
  })
  const { origin } = await startCutOffEntry([await startPeer('helper', [server])])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(result).toMatchObject({ status: 503, outcome: 'not-run' })
  expect(result.headers['retry-after']).toBe('1')
})

test('a call that the other entry sent to a server without a response is unknown, never not run', async () => {
  const server = await startFakeServer(({ socket }) => {
    socket.resetAndDestroy()
  })
  const { origin } = await startCutOffEntry([await startPeer('helper', [server])])
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(result).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(server.received.filter(({ body }) => body === 'x')).toHaveLength(1)
})

test('when the other entry dies after it sent the request, only a repeatable call is passed on again', async () => {
  const ran: string[] = []
  const server = await startFakeServer((received) => {
    ran.push(received.head.split(' ')[1] ?? '')
    if (ran.length > 1) echo(received)
    else void dying.entry.stop()
  })
  const dying: Peer = await startPeer('dying', [server])
  const other = await startPeer('other', [server])
  const distant = { ...other, peer: { ...other.peer, isNear: false } }
  const { origin } = await startCutOffEntry([dying, distant])
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({
    status: 502,
    outcome: 'unknown',
  })
  expect(ran).toEqual(['/write'])
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200 })
})

// Guards against a call that runs on more servers than its attempts, since the other entry got all of them (issue 73).
test('a call that is passed on while its attempt continues runs on no more servers than it has attempts', async () => {
  const silent = await Promise.all(Array.from({ length: 4 }, () => startFakeServer(() => undefined)))
  const losing = await Promise.all(
    Array.from({ length: 4 }, () =>
      startFakeServer(({ socket }) => {
        socket.resetAndDestroy()
      }),
    ),
  )
  const helpers = await Promise.all([startPeer('near', losing), startPeer('distant', losing)])
  const router = new Router({ random: seededRandom(1) })
  router.configure(serviceName('booking'), { retries: { minimum: 1_000 } }, performance.now())
  const { origin } = await startPeer('entry', silent, {
    router,
    limits: { silenceMs: 400, sweepIntervalMs: 10 },
    relayPeers: () => helpers.map(({ peer }) => peer),
  })
  const paths = Array.from({ length: 6 }, (_, index) => `/read?call=${index}`)
  await Promise.all(paths.map((path) => sendCall(`${origin}${path}`)))
  const received = [...silent, ...losing].flatMap((server) => server.received.map(({ head }) => head.split(' ')[1]))
  const runs = paths.map((path) => received.filter((other) => other === path).length)
  expect(losing.some((server) => server.received.length > 0)).toBe(true)
  expect(Math.max(...runs)).toBeLessThanOrEqual(DEFAULT_ATTEMPTS)
})

test('a call is not passed on a second time, so entries that all reach no server cannot form a loop', async () => {
  const peers: Peer[] = []
  const second = await startCutOffEntry(peers)
  peers.push({
    ...second,
    peer: { node: nodeId('second'), address: { host: '127.0.0.1', port: second.entry.relayPort }, isNear: true },
  })
  const first = await startCutOffEntry(peers)
  peers.push({
    ...first,
    peer: { node: nodeId('first'), address: { host: '127.0.0.1', port: first.entry.relayPort }, isNear: true },
  })
  expect(await sendCall(`${first.origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({
    status: 503,
    outcome: 'not-run',
  })
})

test('an entry with an older document does not get the call', async () => {
  const server = await startFakeServer(echo)
  const outdated = await startPeer('outdated', [server], { revision: () => 6 })
  const current = await startPeer('current', [server], { revision: () => 7 })
  const distant = { ...current, peer: { ...current.peer, isNear: false } }
  const { origin } = await startCutOffEntry([outdated, distant], { revision: () => 7 })
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({ status: 200 })
  expect(outdated.results).toEqual(['notReady'])
  expect(current.results).toEqual(['complete'])
})

test('when the caller leaves, the server of the other entry is released', async () => {
  let isClosed = false
  const server = await startFakeServer(({ socket }) => {
    socket.once('close', () => (isClosed = true))
  })
  const { origin } = await startCutOffEntry([await startPeer('helper', [server])])
  const caller = connect(Number(new URL(origin).port), '127.0.0.1')
  caller.write('GET /read HTTP/1.1\r\nhost: x\r\n\r\n')
  await waitUntil(() => server.received.length > 0)
  caller.destroy()
  await waitUntil(() => isClosed)
})

test('calls that wait when the servers are lost are passed on, and later ones go to the servers again', async () => {
  const network = { silent: false }
  const servers = await Promise.all(
    Array.from({ length: 4 }, () =>
      startFakeServer((received) => {
        if (!network.silent) respond(received, 'own')
      }),
    ),
  )
  const helper = await startPeer('helper', [
    await startFakeServer((received) => {
      respond(received, 'helped')
    }),
  ])
  const changes: boolean[] = []
  const router = new Router({ random: seededRandom(1) })
  router.configure(serviceName('booking'), { retries: { minimum: 1_000 } }, performance.now())
  const { origin } = await startPeer('entry', servers, {
    router,
    limits: { silenceMs: 400, sweepIntervalMs: 10 },
    relayPeers: () => [helper.peer],
    events: { reachabilityChanged: (isCutOff) => changes.push(isCutOff) },
  })
  network.silent = true
  const texts = await Promise.all(Array.from({ length: 6 }, async () => (await sendCall(`${origin}/read`)).text))
  expect(texts).toContain('helped')
  network.silent = false
  await waitUntil(() => changes.length === 2)
  expect((await sendCall(`${origin}/read`)).text).toBe('own')
})

test('a request without the signature of an entry is refused on the listener for other entries', async () => {
  const server = await startFakeServer(echo)
  const { entry } = await startPeer('helper', [server])
  const origin = `http://127.0.0.1:${entry.relayPort}`
  for (const relay of ['', 'bilberrystall-relay: forged.signature\r\n']) {
    const response = await sendRaw(origin, `GET /read HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${relay}\r\n`)
    expect(response).toContain('HTTP/1.1 401')
  }
  expect(server.received).toEqual([])
})

test('arbitrary relay fields never reach a server and never end the entry', async () => {
  const server = await startFakeServer(echo)
  const { entry } = await startPeer('helper', [server])
  const origin = `http://127.0.0.1:${entry.relayPort}`
  const value = fc.string({ unit: 'grapheme-ascii', maxLength: 60 }).filter((text) => !/[\r\n]/.test(text))
  await fc.assert(
    fc.asyncProperty(value, value, value, async (context, left, revision) => {
      const head = `bilberrystall-relay: ${context}\r\nbilberrystall-relay-left-ms: ${left}\r\nbilberrystall-relay-revision: ${revision}\r\n`
      const response = await sendRaw(origin, `GET /read HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${head}\r\n`)
      expect(response).toMatch(/^HTTP\/1.1 4\d\d/)
    }),
    { numRuns: 50 },
  )
  expect(server.received).toEqual([])
})

// Guards against a way around an evacuation: the first entry may not know of it, or know no other server.
test('a call that was passed on goes to no server of a domain that is evacuated at the other entry', async () => {
  const server = await startFakeServer(echo)
  const helper = await startPeer('helper', [server])
  helper.entry.evacuate([failureDomain('domain-1')])
  const { origin } = await startCutOffEntry([helper])
  const refused = await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(refused).toMatchObject({ status: 503, outcome: 'not-run' })
  expect(server.received).toEqual([])
  helper.entry.evacuate([])
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({ status: 200 })
})
