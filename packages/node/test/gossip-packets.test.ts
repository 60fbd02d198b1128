/** Gossip exchanges by packets, beside the streams that carry what does not fit or is not answered. */
import {
  GossipPacketSchema,
  GossipService,
  PacketSocket,
  RpcClients,
  RpcServer,
  TrafficCounter,
  type ExchangeRequest,
} from '@bilberrystall/rpc'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { afterEach, expect, test } from 'vitest'
import { GossipPackets } from '../src/gossip-packets'
import type { ExchangeResponseInit } from '../src/gossip-stream'
import { GossipTransport } from '../src/gossip-transport'
import { NODE_KEY } from './control-cluster'

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

const HOST = '127.0.0.1'
const traffic = new TrafficCounter()
const echo = ({ from }: ExchangeRequest): ExchangeResponseInit => ({ versions: [{ origin: from }] })

async function bind(port = 0): Promise<PacketSocket> {
  return (await PacketSocket.bind({ host: HOST, port, nodeKey: NODE_KEY, traffic }))._unsafeUnwrap()
}

interface Peer {
  readonly address: string
  readonly streamed: string[]
  readonly packets: string[]
}

/** A peer that answers streams, and packets unless `handle` is undefined. */
async function servePeer(handle: ((request: ExchangeRequest) => ExchangeResponseInit) | undefined): Promise<Peer> {
  const streamed: string[] = []
  const packets: string[] = []
  const options = { host: HOST, port: 0, nodeKey: NODE_KEY, traffic }
  const routes: Parameters<typeof RpcServer.listen>[0]['routes'] = (router) => {
    router.service(GossipService, {
      converse: async function* (requests) {
        for await (const request of requests) {
          streamed.push(request.from)
          yield echo(request)
        }
      },
    })
  }
  const server = (await RpcServer.listen({ ...options, routes }))._unsafeUnwrap()
  cleanups.push(() => server.close())
  if (handle !== undefined) {
    const recorded = (request: ExchangeRequest) => {
      packets.push(request.from)
      return handle(request)
    }
    const peer = new GossipPackets({ socket: await bind(server.port), handle: recorded })
    cleanups.push(() => {
      peer.close()
    })
  }
  return { address: `${HOST}:${server.port}`, streamed, packets }
}

async function createTransport(now: () => number = () => performance.now()) {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic })
  const transport = new GossipTransport({ clients, now })
  const socket = await bind()
  transport.usePackets(new GossipPackets({ socket, handle: echo }))
  cleanups.push(
    () => {
      clients.close()
    },
    () => {
      transport.close()
    },
  )
  return { transport, socket }
}

const originOf = async (transport: GossipTransport, address: string, from: string) =>
  (await transport.exchange(address, { from })).versions[0]?.origin

test('exchanges that fit use packets, and concurrent ones get their own responses', async () => {
  const peer = await servePeer(echo)
  const { transport } = await createTransport()
  const names = ['a', 'b', 'c']
  expect(await Promise.all(names.map((name) => originOf(transport, peer.address, name)))).toEqual(names)
  expect(peer).toMatchObject({ packets: names, streamed: [] })
  expect(transport.packetCounts).toEqual({ response: 3, 'too-large': 0, 'no-answer': 0 })
})

test('requests and responses that do not fit in a packet use the stream', async () => {
  const long = 'x'.repeat(2_000)
  const peer = await servePeer(({ from }) => ({ versions: [{ origin: from === 'grow' ? long : from }] }))
  const { transport } = await createTransport()
  expect(await originOf(transport, peer.address, long)).toBe(long)
  expect(await originOf(transport, peer.address, 'grow')).toBe('grow')
  expect(peer).toMatchObject({ packets: ['grow'], streamed: [long, 'grow'] })
  expect(transport.packetCounts).toEqual({ response: 0, 'too-large': 2, 'no-answer': 0 })
})

test('a peer without packets is reached by the stream at once, and gets packets again after a while', async () => {
  const peer = await servePeer(undefined)
  let skippedMs = 0
  const { transport } = await createTransport(() => performance.now() + skippedMs)
  for (const name of ['a', 'b', 'c', 'd']) expect(await originOf(transport, peer.address, name)).toBe(name)
  expect(peer.streamed).toEqual(['a', 'b', 'c', 'd'])
  expect(transport.packetCounts['no-answer']).toBe(2)
  skippedMs = 31_000
  expect(await originOf(transport, peer.address, 'e')).toBe('e')
  expect(transport.packetCounts['no-answer']).toBe(3)
})

test('a lost packet fails its exchange, and after two in a row the stream is used', async () => {
  let isSilent = false
  const peer = await servePeer((request) => {
    if (isSilent) throw new Error('no answer')
    return echo(request)
  })
  const { transport } = await createTransport()
  expect(await originOf(transport, peer.address, 'a')).toBe('a')
  isSilent = true
  await expect(originOf(transport, peer.address, 'b')).rejects.toThrow('no answer')
  await expect(originOf(transport, peer.address, 'c')).rejects.toThrow('no answer')
  expect(await originOf(transport, peer.address, 'd')).toBe('d')
  expect(peer.streamed).toEqual(['d'])
})

test('an answer from another address, of another exchange or that cannot be read is discarded', async () => {
  const { transport, socket } = await createTransport()
  const [peer, stranger] = [await bind(), await bind()]
  cleanups.push(
    () => {
      peer.close()
    },
    () => {
      stranger.close()
    },
  )
  peer.listen((content) => {
    const answer = (exchange: number, origin: string) => {
      const response = { versions: [{ origin }] }
      return toBinary(
        GossipPacketSchema,
        create(GossipPacketSchema, { exchange, body: { case: 'response', value: response } }),
      )
    }
    const { exchange } = fromBinary(GossipPacketSchema, content)
    stranger.send(answer(exchange, 'stranger'), socket.address)
    peer.send(Buffer.from([0xff, 0xff, 0xff]), socket.address)
    peer.send(answer((exchange + 1) % 2 ** 32, 'other exchange'), socket.address)
    setTimeout(() => {
      peer.send(answer(exchange, 'peer'), socket.address)
    }, 20)
  })
  expect(await originOf(transport, peer.address, 'a')).toBe('peer')
})
