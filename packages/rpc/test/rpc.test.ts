import { ConnectError } from '@connectrpc/connect'
import { afterEach, expect, test } from 'vitest'
import { GossipService, RpcClients, RpcServer, TrafficCounter } from '../src/index'

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup()
})

async function startServer(): Promise<string> {
  const server = await RpcServer.listen({
    host: '127.0.0.1',
    port: 0,
    nodeKey: 'right',
    traffic: new TrafficCounter(),
    routes: (router) => {
      router.service(GossipService, { exchange: (request) => ({ versions: request.versions }) })
    },
  })
  const listening = server._unsafeUnwrap()
  cleanups.push(() => listening.close())
  return `127.0.0.1:${listening.port}`
}

function createClients(nodeKey: string): { readonly rpc: RpcClients; readonly traffic: TrafficCounter } {
  const traffic = new TrafficCounter()
  const rpc = new RpcClients({ nodeKey, traffic })
  cleanups.push(() => {
    rpc.close()
  })
  return { rpc, traffic }
}

test('a call with the node key succeeds, and its bytes and its method are counted', async () => {
  const { rpc, traffic } = createClients('right')
  const response = await rpc
    .client(GossipService, await startServer())
    .exchange({ from: 'a', versions: [{ origin: 'a', counter: 7n }] })
  expect(response.versions[0]?.counter).toBe(7n)
  expect(traffic.totalBytes()).toBeGreaterThan(0)
  expect(traffic.calls()).toEqual([{ side: 'client', method: 'Exchange', calls: 1 }])
})

test('a call with a wrong node key is rejected, so that unauthorized nodes cannot join', async () => {
  const { rpc } = createClients('wrong')
  const call = rpc.client(GossipService, await startServer()).exchange({ from: 'a' })
  await expect(call).rejects.toThrow(ConnectError)
})

test('disconnecting from a peer that is stopping does not cause an uncaught error', async () => {
  const { rpc } = createClients('right')
  for (let turns = 0; turns < 20; turns += 1) {
    const server = await RpcServer.listen({
      host: '127.0.0.1',
      port: 0,
      nodeKey: 'right',
      traffic: new TrafficCounter(),
      routes: (router) => {
        router.service(GossipService, { exchange: () => ({}) })
      },
    })
    const listening = server._unsafeUnwrap()
    const address = `127.0.0.1:${listening.port}`
    await rpc.client(GossipService, address).exchange({ from: 'a' })
    const closed = listening.close()
    // In one of the iterations the session is already destroyed but has not yet emitted its error.
    for (let turn = 0; turn < turns; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    rpc.disconnect(address)
    await closed
  }
})
