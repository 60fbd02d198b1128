/** Guards against an odd entry among those of the servers that ends the nodes that read it, or hides the other entries. */
import { once } from 'node:events'
import { connect } from 'node:http2'
import { failureDomain, nodeId, seededRandom } from '@bilberrystall/base'
import { Directory } from '@bilberrystall/membership'
import { GossipService, RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import fc from 'fast-check'
import { onTestFinished, expect, test } from 'vitest'
import { parseAnnouncement } from '../src/announcement'
import { Gossip } from '../src/gossip'
import { statusApp } from '../src/status-listener'
import { NODE_KEY } from './control-cluster'

const SERVER = {
  environment: 'production',
  service: 'booking',
  server: 'b1',
  start: 1_790_000_000_000n,
  sequence: 1n,
  state: 'ready',
  address: '10.0.0.7:9000',
  failureDomain: 'fd-1',
  slots: 3,
  connectionLimit: 260,
  counter: 1n,
}

const NODE = {
  node: 'e2',
  roles: ['entry'],
  address: '10.0.0.8:8001',
  failureDomain: 'fd-2',
  environment: 'production',
  state: 'serving',
  counter: 3n,
}

const ODD_ADDRESSES = ['127.0.0.1:99999', '127.0.0.1:0', '300.0.0.1:80', '127.0.0.1', ':80', 'example.org:80', '']
const ODD_SERVERS = [
  ...ODD_ADDRESSES.map((address) => ({ address })),
  { state: 'resting' },
  { start: 2n ** 60n },
  { sequence: 2n ** 63n },
  { slots: 0 },
  { connectionLimit: 0 },
  { service: '' },
  { server: '' },
]
const ODD_NODES = [
  ...ODD_ADDRESSES.map((address) => ({ address })),
  { relay: '127.0.0.1:99999' },
  { state: 'resting' },
  { roles: ['entry', 'librarian'] },
  { node: '' },
]

async function startGossip(directory: Directory) {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  const gossip = new Gossip({
    directory,
    clients,
    self: nodeId('e1'),
    failureDomain: failureDomain('fd-a'),
    address: '127.0.0.1:1',
    seeds: () => [],
    random: seededRandom(1),
    now: () => performance.now(),
    onChanges: () => undefined,
  })
  const options = { host: '127.0.0.1', port: 0, nodeKey: NODE_KEY, traffic: new TrafficCounter() }
  const routes: Parameters<typeof RpcServer.listen>[0]['routes'] = (router) => {
    gossip.routes(router)
  }
  const server = (await RpcServer.listen({ ...options, routes }))._unsafeUnwrap()
  gossip.start()
  onTestFinished(async () => {
    gossip.stop()
    clients.close()
    await server.close()
  })
  return { client: clients.client(GossipService, `127.0.0.1:${server.port}`), port: server.port }
}

test.each(ODD_SERVERS)('a gossiped server with %o is left out, and the others hold', async (odd) => {
  const directory = new Directory({ self: nodeId('e1'), incarnation: 1, now: performance.now() })
  const { client } = await startGossip(directory)
  const version = { origin: 'e2', incarnation: 5n, counter: 3n, ageMs: 0 }
  const servers = [{ ...SERVER, server: 'b2', counter: 2n, ...odd }, SERVER]
  await client.exchange({ from: 'e2', versions: [version], deltas: [{ version, servers, node: NODE, full: true }] })
  expect([...directory.servers.keys()]).toEqual(['production/booking/b1'])
  expect([...directory.nodes.keys()]).toEqual(['e2'])
})

test.each(ODD_NODES)('a gossiped node with %o is left out, and its servers hold', async (odd) => {
  const directory = new Directory({ self: nodeId('e1'), incarnation: 1, now: performance.now() })
  const { client } = await startGossip(directory)
  const version = { origin: 'e2', incarnation: 5n, counter: 3n, ageMs: 0 }
  const delta = { version, servers: [SERVER], node: { ...NODE, ...odd }, full: true }
  await client.exchange({ from: 'e2', versions: [version], deltas: [delta] })
  expect([...directory.servers.keys()]).toEqual(['production/booking/b1'])
  expect([...directory.nodes.keys()]).toEqual([])
})

/** Bytes that open groups which never end, and values that are longer than the message. */
const ODD_MESSAGES = [
  Buffer.alloc(200_000, 0x0b),
  Buffer.alloc(1_000, 0xff),
  Buffer.from([0x0a, 0xff, 0xff, 0xff, 0x0f]),
]

test.each(ODD_MESSAGES)('a message that cannot be decoded is refused, and the next one is answered', async (body) => {
  const directory = new Directory({ self: nodeId('e1'), incarnation: 1, now: performance.now() })
  const { client, port } = await startGossip(directory)
  expect(await postMessage(port, body)).toBeGreaterThanOrEqual(400)
  expect((await client.exchange({ from: 'e2' })).versions).toMatchObject([{ origin: 'e1' }])
})

async function postMessage(port: number, body: Buffer): Promise<number> {
  const session = connect(`http://127.0.0.1:${port}`)
  const { typeName, method } = GossipService
  const stream = session.request({
    ':method': 'POST',
    ':path': `/${typeName}/${method.exchange.name}`,
    'content-type': 'application/proto',
    authorization: `Bearer ${NODE_KEY}`,
  })
  stream.end(body)
  const [headers] = (await once(stream, 'response')) as [{ ':status'?: number }]
  session.destroy()
  return headers[':status'] ?? 0
}

const ANNOUNCEMENT = {
  environment: 'production',
  service: 'booking',
  server: 'b1',
  start: 1_790_000_000_000,
  sequence: 1,
  state: 'ready',
  address: '10.0.0.7:9000',
  failureDomain: 'fd-1',
  slots: 3,
  connectionLimit: 260,
}

test.each(ODD_ADDRESSES)('an announcement with the address %j is refused', (address) => {
  expect(parseAnnouncement(ANNOUNCEMENT).isOk()).toBe(true)
  expect(parseAnnouncement({ ...ANNOUNCEMENT, address }).isErr()).toBe(true)
})

const oddNumber = fc.constantFrom(1e300, -1e300, 2 ** 40, 2 ** 53, 2 ** 60, -1, 0.5, 1e-300)
const oddValue = fc.oneof(oddNumber, fc.jsonValue({ maxDepth: 4 }), fc.constant('x'.repeat(5_000)))
/** Nested deeper than a recursive reader can follow. */
const DEEP = '['.repeat(20_000) + ']'.repeat(20_000)

test('any body of an announcement gets a response that is no unexpected error', async () => {
  const app = statusApp({
    health: () => ({ state: 'ready' }),
    metrics: () => Promise.resolve(''),
    serverKey: 'key',
    announce: ({ server }) => parseAnnouncement(server).map(() => undefined),
  })
  const post = (body: string) =>
    app.request('/v1/announcements', { method: 'POST', body, headers: { authorization: 'Bearer key' } })
  const oddEntry = fc
    .tuple(fc.constantFrom(...Object.keys(ANNOUNCEMENT), 'load', 'other'), oddValue)
    .map(([key, value]) => JSON.stringify({ ...ANNOUNCEMENT, [key]: value }))
  const bodies = fc.oneof(oddEntry, fc.string(), fc.constant(DEEP), fc.constant(`{"service":${DEEP}}`))
  await fc.assert(
    fc.asyncProperty(bodies, async (body) => {
      expect([200, 409, 413, 422]).toContain((await post(body)).status)
    }),
  )
})
