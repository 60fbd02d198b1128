/**
 * Guards against connections between nodes that permanently stop delivering data while new ones work. There are no
 * periodic pings: a connection is checked after a call timeout, and regularly while a message stream uses it.
 */
import { nodeId, replicaId, term } from '@bilberrystall/base'
import { GossipService, RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { FaultProxy } from '@bilberrystall/testkit'
import { ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { afterEach, expect, test } from 'vitest'
import { consensusRoutes, ReplicaTransport } from '../src/control-transport'
import { NODE_KEY, waitUntil } from './control-cluster'

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const stop of cleanups.splice(0).reverse()) await stop()
})

function clients(): RpcClients {
  const opened = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  cleanups.push(() => {
    opened.close()
  })
  return opened
}

async function serveBehindProxy(routes: (router: ConnectRouter) => void): Promise<FaultProxy> {
  const served = await RpcServer.listen({
    host: '127.0.0.1',
    port: 0,
    nodeKey: NODE_KEY,
    traffic: new TrafficCounter(),
    routes,
  })
  const server = served._unsafeUnwrap()
  cleanups.push(() => server.close())
  const proxy = await new FaultProxy({ target: `127.0.0.1:${server.port}` }).start()
  cleanups.push(() => proxy.stop())
  return proxy
}

test('a call timeout leads to a new connection', async () => {
  const proxy = await serveBehindProxy((router) => {
    router.service(GossipService, { exchange: () => ({}) })
  })
  const gossip = clients().client(GossipService, proxy.address)
  const sendExchange = () => gossip.exchange({}, { timeoutMs: 200 })
  await sendExchange()
  proxy.freeze({ kind: 'established' })
  await expect(sendExchange()).rejects.toThrow(ConnectError)
  let response: unknown
  for (let attempt = 0; response === undefined && attempt < 20; attempt += 1)
    response = await sendExchange().catch(() => undefined)
  expect(response).toBeDefined()
})

test('replica messages, which have no responses, are delivered again over a new connection', async () => {
  const received: number[] = []
  const proxy = await serveBehindProxy((router) => {
    consensusRoutes(router, (message) => received.push(message.term))
  })
  const transport = new ReplicaTransport({
    clients: clients(),
    addressOf: () => proxy.address,
  })
  cleanups.push(() => {
    transport.stop()
  })
  let sent = 0
  const send = () => {
    sent += 1
    const to = replicaId(`${nodeId('b')}/disk`)
    transport.send({ kind: 'vote-response', from: replicaId('a/disk'), to, term: term(sent), granted: true })
    return received.at(-1)
  }
  await waitUntil(send)
  proxy.freeze({ kind: 'established' })
  const frozenAt = sent
  const newestTerm = await waitUntil(() => {
    const newest = send()
    return newest !== undefined && newest > frozenAt + 1 ? newest : undefined
  })
  expect(newestTerm).toBeGreaterThan(frozenAt)
})
