import { createServer, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { ConnectError } from '@connectrpc/connect'
import { afterEach, expect, test } from 'vitest'
import { GossipService, RpcClients, RpcServer, Traffic } from '../src/index'

const stops: (() => unknown)[] = []

afterEach(async () => {
  for (const stop of stops.splice(0)) await stop()
})

async function serve(): Promise<string> {
  const server = await RpcServer.listen({
    host: '127.0.0.1',
    port: 0,
    nodeKey: 'right',
    traffic: new Traffic(),
    routes: (router) => {
      router.service(GossipService, { exchange: (request) => ({ versions: request.versions }) })
    },
  })
  const listening = server._unsafeUnwrap()
  stops.push(() => listening.close())
  return `127.0.0.1:${listening.port}`
}

function clients(nodeKey: string): { readonly rpc: RpcClients; readonly traffic: Traffic } {
  const traffic = new Traffic()
  const rpc = new RpcClients({ nodeKey, traffic })
  stops.push(() => {
    rpc.close()
  })
  return { rpc, traffic }
}

test('a call with the node key is answered and its bytes are counted', async () => {
  const { rpc, traffic } = clients('right')
  const response = await rpc
    .client(GossipService, await serve())
    .exchange({ from: 'a', versions: [{ origin: 'a', counter: 7n }] })
  expect(response.versions[0]?.counter).toBe(7n)
  expect(traffic.bytes()).toBeGreaterThan(0)
})

test('a call with a wrong node key is refused, so that strangers cannot join', async () => {
  const { rpc } = clients('wrong')
  const call = rpc.client(GossipService, await serve()).exchange({ from: 'a' })
  await expect(call).rejects.toThrow(ConnectError)
})

test('a client closed while its idle session ends raises no error that nobody handles', async () => {
  const peer = createServer()
  const sessions: ServerHttp2Session[] = []
  peer.on('session', (session) => sessions.push(session))
  peer.on('stream', (stream) => {
    stream.respond({ ':status': 503 }, { endStream: true })
  })
  await new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve))
  stops.push(() => peer.close())
  const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`
  // The session ends some turns of the loop after the peer says so; every moment in between is tried.
  for (let turns = 0; turns < 40; turns += 1) {
    const { rpc } = clients('right')
    await rpc
      .client(GossipService, address)
      .exchange({})
      .catch(() => undefined)
    sessions.pop()?.goaway()
    for (let turn = 0; turn < turns; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    rpc.close()
  }
  expect(sessions).toEqual([])
})
