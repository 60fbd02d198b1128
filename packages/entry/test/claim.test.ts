import { environmentName, failureDomain, nodeId, RESULT_CODES } from '@bilberrystall/base'
import { createKey, ClaimTable, type RosterEpoch } from '@bilberrystall/claims'
import { RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { randomBytes } from 'node:crypto'
import { expect, onTestFinished, test } from 'vitest'
import {
  ClaimCoordinator,
  claimRoutes,
  RpcClaimTransport,
  SYSTEM_CLOCK,
  type EntryOptions,
  type RelayPeer,
  type Roster,
} from '../src/index'
import {
  endedServers,
  respond,
  sendCall,
  startFakeServer,
  startEntry,
  waitUntil,
  type RequestHandler,
  type FakeServer,
} from './harness'

const HOUR_MS = 3_600_000
const NODES = ['entry-1', 'entry-2', 'entry-3'].map(nodeId)
const domain = failureDomain('domain-1')

interface Holder {
  readonly table: ClaimTable
  readonly address: string
  readonly clients: RpcClients
  readonly stop: () => Promise<void>
}

async function startHolder(): Promise<Holder> {
  const table = new ClaimTable({ startedAt: Date.now() - HOUR_MS })
  const traffic = new TrafficCounter()
  const routes: Parameters<typeof claimRoutes>[0] extends infer R ? (router: R) => void : never = (router) => {
    claimRoutes(router, table, Date.now)
  }
  const server = await RpcServer.listen({ host: '127.0.0.1', port: 0, nodeKey: 'node key', traffic, routes })
  const rpc = server._unsafeUnwrap()
  const clients = new RpcClients({ nodeKey: 'node key', traffic })
  const stop = async () => {
    clients.close()
    await rpc.close()
  }
  onTestFinished(stop)
  return { table, address: `127.0.0.1:${rpc.port}`, clients, stop }
}

/** Starts entries that are each other's claim holders, in front of the same server. */
interface EntryVariation {
  readonly roster?: Partial<Roster>
  /** Servers of the entry with this index, by default the common one. */
  readonly servers?: (index: number) => readonly FakeServer[]
  readonly options?: (index: number) => Partial<EntryOptions>
}

async function startEntries(server: FakeServer, { roster, servers, options }: EntryVariation = {}) {
  const holders = await Promise.all(NODES.map(startHolder))
  const entries = NODES.map((node) => ({ node, domain }))
  const history: RosterEpoch[] = [{ epoch: 1, effectiveFrom: 0, entries }]
  const setups = await Promise.all(
    holders.map((holder, index) => {
      const self = NODES[index] ?? nodeId('')
      const address = (node: string) => holders[NODES.findIndex((other) => other === node)]?.address
      const transport = new RpcClaimTransport({ ...holder, self, address, now: Date.now })
      const read = () => ({ history, confirmedAt: performance.now(), ...roster })
      const environment = environmentName('trial')
      return startEntry(servers?.(index) ?? [server], {
        ...options?.(index),
        claims: new ClaimCoordinator({ environment, transport, roster: read, clock: SYSTEM_CLOCK }),
      })
    }),
  )
  return { holders, setups, origins: setups.map(({ origin }) => `${origin}/write`) }
}

const done: RequestHandler = (received) => {
  respond(received, `done ${received.body}`, ['content-type: text/plain'], '201 Created')
}
const freshKey = () => createKey(Date.now(), randomBytes(10))

function post(url: string | undefined, key: string, body = 'order') {
  return sendCall(url ?? '', { method: 'POST', body, headers: { 'idempotency-key': key } })
}

test('a call that is sent again through another entry receives the stored response and runs once', async () => {
  const server = await startFakeServer(done)
  const { origins } = await startEntries(server)
  const key = freshKey()
  const first = await post(origins[0], key)
  expect(first).toMatchObject({ status: 201, text: 'done order' })
  let again = await post(origins[1], key)
  // The holders record the completion only after the caller has received the response.
  while (again.code === RESULT_CODES.keyInProgress.number) again = await post(origins[1], key)
  expect(again).toMatchObject({ status: 201, text: 'done order' })
  expect(again.headers).toMatchObject({ 'idempotent-replayed': 'true', 'content-type': 'text/plain' })
  expect(await post(origins[2], key, 'another order')).toMatchObject({ code: RESULT_CODES.keyMismatch.number })
  expect(server.received).toHaveLength(1)
})

test('concurrent calls with the same key through all entries run at most once', async () => {
  const server = await startFakeServer((received) => setTimeout(done, 5, received))
  const { origins } = await startEntries(server)
  for (let round = 0; round < 20; round += 1) {
    const key = freshKey()
    const results = await Promise.all([...origins, ...origins].map((origin) => post(origin, key, `round ${round}`)))
    const ran = results.filter(({ status, headers }) => status === 201 && headers['idempotent-replayed'] === undefined)
    expect(server.received.filter(({ body }) => body === `round ${round}`)).toHaveLength(ran.length)
    expect(ran.length).toBeLessThanOrEqual(1)
  }
})

test('a second call is refused while the first runs, and then gets its unknown outcome', async () => {
  const server = await startFakeServer(() => undefined)
  const { origins } = await startEntries(server)
  const key = freshKey()
  const first = post(origins[0], key)
  await waitUntil(() => server.received.length === 1)
  const second = await post(origins[1], key)
  expect(second).toMatchObject({ status: 409, code: RESULT_CODES.keyInProgress.number, outcome: 'not-run' })
  expect(second.headers['retry-after']).toBe('1')
  server.sockets[0]?.resetAndDestroy()
  expect(await first).toMatchObject({ outcome: 'unknown' })
  let last = await post(origins[2], key)
  while (last.code === RESULT_CODES.keyInProgress.number) last = await post(origins[2], key)
  expect(last).toMatchObject({ status: 409, code: RESULT_CODES.keyOutcomeUnknown.number, outcome: 'unknown' })
})

test('a key is usable again after its call provably did not run', async () => {
  let shed = true
  const server = await startFakeServer((received) => {
    if (shed) respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
    else done(received)
  })
  const { origins } = await startEntries(server)
  const key = freshKey()
  expect(await post(origins[0], key)).toMatchObject({ status: 503, outcome: 'not-run' })
  shed = false
  let again = await post(origins[1], key)
  while (again.code === RESULT_CODES.keyInProgress.number) again = await post(origins[1], key)
  expect(again).toMatchObject({ status: 201 })
})

test('keyed calls succeed with one lost holder and are refused as not run with two', async () => {
  const server = await startFakeServer(done)
  const { origins, holders } = await startEntries(server)
  await holders[2]?.stop()
  expect(await post(origins[0], freshKey())).toMatchObject({ status: 201 })
  await holders[1]?.stop()
  const refused = await post(origins[0], freshKey())
  expect(refused).toMatchObject({ status: 503, code: RESULT_CODES.claimUnavailable.number, outcome: 'not-run' })
  expect(server.received).toHaveLength(1)
})

test('an entry whose roster has not been confirmed for 50 s refuses keyed calls and serves all others', async () => {
  const server = await startFakeServer(done)
  const { origins } = await startEntries(server, { roster: { confirmedAt: performance.now() - 50_001 } })
  expect(await post(origins[0], freshKey())).toMatchObject({ code: RESULT_CODES.claimUnavailable.number })
  expect(await sendCall(origins[0] ?? '', { method: 'POST', body: 'a' })).toMatchObject({ status: 201 })
})

test('keys with a time outside the accepted range and malformed keys are refused with separate codes', async () => {
  const { origins } = await startEntries(await startFakeServer(done))
  const codeAt = async (time: number) => (await post(origins[0], createKey(time, randomBytes(10)))).code
  expect(await codeAt(Date.now() + 60_000)).toBe(RESULT_CODES.keyAhead.number)
  expect(await codeAt(Date.now() - 2 * HOUR_MS)).toBe(RESULT_CODES.keyExpired.number)
  expect((await post(origins[0], 'order-7')).code).toBe(RESULT_CODES.keyMalformed.number)
})

test('a keyed call that is passed on to another entry runs once, and its response is replayed by every entry', async () => {
  const server = await startFakeServer(done)
  const unreachable = await endedServers(3)
  const peers: RelayPeer[] = []
  let isCutOff = false
  const { origins, setups } = await startEntries(server, {
    servers: (index) => (index === 0 ? unreachable : [server]),
    options: (index) => ({
      relayListen: { host: '127.0.0.1', port: 0 },
      relayPeers: () => peers,
      ...(index === 0 ? { events: { reachabilityChanged: (value) => (isCutOff = value) } } : {}),
    }),
  })
  while (!(isCutOff as boolean)) await sendCall(origins[0] ?? '', { method: 'POST', body: 'lost' })
  const helper = setups[1]?.entry.relayPort ?? 0
  peers.push({ node: nodeId('entry-2'), address: { host: '127.0.0.1', port: helper }, isNear: true })
  const key = freshKey()
  expect(await post(origins[0], key)).toMatchObject({ status: 201, text: 'done order' })
  for (const origin of origins) {
    let again = await post(origin, key)
    while (again.code === RESULT_CODES.keyInProgress.number) again = await post(origin, key)
    expect(again).toMatchObject({ status: 201, text: 'done order', headers: { 'idempotent-replayed': 'true' } })
  }
  expect(server.received).toHaveLength(1)
})
