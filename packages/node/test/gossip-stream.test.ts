/** Gossip exchanges over loopback RPC, through a fault proxy where a connection has to fail. */
import { GossipService, RpcClients, RpcServer, TrafficCounter, type ExchangeRequest } from '@bilberrystall/rpc'
import { FaultProxy } from '@bilberrystall/testkit'
import { ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { afterEach, expect, test } from 'vitest'
import { GossipStreams } from '../src/gossip-stream'
import { NODE_KEY } from './control-cluster'

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const stop of cleanups.splice(0).reverse()) await stop()
})

async function serve(service: Partial<ServiceImpl<typeof GossipService>>): Promise<string> {
  const server = await RpcServer.listen({
    host: '127.0.0.1',
    port: 0,
    nodeKey: NODE_KEY,
    traffic: new TrafficCounter(),
    routes: (router) => {
      router.service(GossipService, service)
    },
  })
  const listening = server._unsafeUnwrap()
  cleanups.push(() => listening.close())
  return `127.0.0.1:${listening.port}`
}

function createStreams(): GossipStreams {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  const gossip = new GossipStreams(clients)
  cleanups.push(() => {
    gossip.close()
    clients.close()
  })
  return gossip
}

const echo = ({ from }: ExchangeRequest) => ({ versions: [{ origin: from }] })

async function* echoEach(requests: AsyncIterable<ExchangeRequest>) {
  for await (const request of requests) yield echo(request)
}

const exchangeOrigin = async (gossip: GossipStreams, address: string, from: string) =>
  (await gossip.exchange(address, { from })).versions[0]?.origin

test('concurrent exchanges receive their own responses over one stream', async () => {
  let opened = 0
  const address = await serve({
    converse: (requests) => {
      opened += 1
      return echoEach(requests)
    },
  })
  const gossip = createStreams()
  const names = ['a', 'b', 'c']
  expect(await Promise.all(names.map((name) => exchangeOrigin(gossip, address, name)))).toEqual(names)
  expect(await exchangeOrigin(gossip, address, 'd')).toBe('d')
  expect(opened).toBe(1)
})

test('a peer that does not support the stream is reached by unary calls', async () => {
  const address = await serve({ exchange: echo })
  const gossip = createStreams()
  expect(await exchangeOrigin(gossip, address, 'a')).toBe('a')
  expect(await exchangeOrigin(gossip, address, 'b')).toBe('b')
})

test('an unresponsive connection is replaced, so that a working peer is reachable again', async () => {
  const proxy = await new FaultProxy({ target: await serve({ converse: echoEach }) }).start()
  cleanups.push(() => proxy.stop())
  const gossip = createStreams()
  expect(await exchangeOrigin(gossip, proxy.address, 'a')).toBe('a')
  // Established connections stop delivering data permanently; new ones work.
  proxy.freeze({ kind: 'established' })
  await expect(exchangeOrigin(gossip, proxy.address, 'b')).rejects.toThrow(ConnectError)
  let origin: string | undefined
  for (let attempt = 0; origin === undefined && attempt < 20; attempt += 1)
    origin = await exchangeOrigin(gossip, proxy.address, 'c').catch(() => undefined)
  expect(origin).toBe('c')
})

test('a response after the timeout is discarded, because its ages would be measured from its arrival', async () => {
  let release: () => void = () => undefined
  const released = new Promise<void>((resolve) => {
    release = resolve
  })
  const address = await serve({
    converse: async function* (requests) {
      for await (const request of requests) {
        if (request.from === 'late') await released
        yield echo(request)
      }
    },
  })
  const gossip = createStreams()
  await expect(exchangeOrigin(gossip, address, 'late')).rejects.toThrow('no response in time')
  release()
  expect(await exchangeOrigin(gossip, address, 'next')).toBe('next')
})
