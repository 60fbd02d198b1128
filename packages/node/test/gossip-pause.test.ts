/**
 * Guards against gossip that was delivered while this process was paused. Read afterwards, its ages would renew the
 * records of a server that left during the pause.
 */
import { failureDomain, nodeId, seededRandom } from '@bilberrystall/base'
import { Directory } from '@bilberrystall/membership'
import { GossipService, RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { afterEach, expect, test } from 'vitest'
import { Gossip } from '../src/gossip'
import { NODE_KEY } from './control-cluster'

const PAUSE_MS = 4_000
const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

async function startGossip(now: () => number): Promise<ReturnType<typeof createClient>> {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  const gossip = new Gossip({
    directory: new Directory({ self: nodeId('e1'), incarnation: 1, now: now() }),
    clients,
    self: nodeId('e1'),
    failureDomain: failureDomain('fd-a'),
    address: '127.0.0.1:1',
    seeds: () => [],
    random: seededRandom(1),
    now,
    onChanges: () => undefined,
  })
  const options = { host: '127.0.0.1', port: 0, nodeKey: NODE_KEY, traffic: new TrafficCounter() }
  const server = (
    await RpcServer.listen({
      ...options,
      routes: (router) => {
        gossip.routes(router)
      },
    })
  )._unsafeUnwrap()
  gossip.start()
  cleanups.push(
    () => {
      clients.close()
    },
    () => server.close(),
    () => {
      gossip.stop()
    },
  )
  return createClient(clients, server.port)
}

function createClient(clients: RpcClients, port: number) {
  return clients.client(GossipService, `127.0.0.1:${port}`)
}

test('a message that is read after a pause, before any timer has run, is refused', async () => {
  let time = 0
  const client = await startGossip(() => (time += PAUSE_MS))
  await expect(client.exchange({ from: 'e2' })).rejects.toThrow('paused')
})

test('a message that is read in time is answered', async () => {
  const client = await startGossip(() => performance.now())
  expect((await client.exchange({ from: 'e2' })).versions).toMatchObject([{ origin: 'e1' }])
})
