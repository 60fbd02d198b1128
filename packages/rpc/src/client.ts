/**
 * RPC clients for calls to other nodes. There is one HTTP/2 session per peer address. When a call times out, the
 * session is checked with a ping, so that an unresponsive connection is detected and replaced. Sessions are not pinged
 * periodically: with dozens of peers that would wake up each node more often than all its other work.
 */
import type { DescService } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client, type Interceptor, type Transport } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { bearerHeader } from './node-key'
import { PeerSessions } from './peer-sessions'
import type { TrafficCounter } from './traffic-counter'

export interface RpcClientsOptions {
  /** Empty if the nodes do not use a key. */
  readonly nodeKey: string
  readonly traffic: TrafficCounter
  /** Timeout of unary calls that do not set one. */
  readonly timeoutMs?: number
}

interface Peer {
  readonly transport: Transport
  readonly sessions: PeerSessions
}

export class RpcClients {
  readonly #options: RpcClientsOptions
  readonly #peers = new Map<string, Peer>()

  constructor(options: RpcClientsOptions) {
    this.#options = options
  }

  /** Returns a client for a service at `address`, which is an IP address with a port. */
  client<Service extends DescService>(service: Service, address: string): Client<Service> {
    return createClient(service, this.#peer(address).transport)
  }

  /** Replaces the session to a peer if it does not respond. Calls that time out do this automatically. */
  checkSession(address: string): void {
    this.#peers.get(address)?.sessions.destroyIfUnresponsive()
  }

  /** Closes the session to a peer that has left. */
  disconnect(address: string): void {
    this.#peers.get(address)?.sessions.abort()
    this.#peers.delete(address)
  }

  close(): void {
    for (const address of [...this.#peers.keys()]) this.disconnect(address)
  }

  #peer(address: string): Peer {
    const existing = this.#peers.get(address)
    if (existing !== undefined) return existing
    for (const [other, { sessions }] of this.#peers) if (sessions.isUnused) this.#peers.delete(other)
    const peer = this.#connect(address)
    this.#peers.set(address, peer)
    return peer
  }

  #connect(address: string): Peer {
    const baseUrl = `http://${address}`
    const { nodeKey, traffic } = this.#options
    const sessions = new PeerSessions(baseUrl, traffic)
    const authorization = bearerHeader(nodeKey)
    const withNodeKey: Interceptor = (next) => (request) => {
      if (nodeKey !== '') request.header.set('authorization', authorization)
      return next(request)
    }
    const checkOnTimeout: Interceptor = (next) => async (request) => {
      try {
        return await next(request)
      } catch (cause) {
        if (ConnectError.from(cause).code === Code.DeadlineExceeded) sessions.destroyIfUnresponsive()
        throw cause
      }
    }
    // A call that ends while no session is ready is never sent.
    const whenReady: Interceptor = (next) => async (request) => {
      await sessions.ready(request.signal)
      traffic.called('client', request.method.name)
      return next(request)
    }
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
      interceptors: [withNodeKey, checkOnTimeout, whenReady],
      defaultTimeoutMs: this.#options.timeoutMs ?? 1000,
      useBinaryFormat: true,
      // Messages between nodes are small, and compression costs more processor time than the rest of a call.
      acceptCompression: [],
    })
    return { transport, sessions }
  }
}
