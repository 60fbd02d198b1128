/**
 * Client side of the protocol between the system's own processes. One HTTP/2 session per peer address is kept. A call
 * that meets its time limit has the session verified by a ping, so that a silent connection is found and replaced;
 * pings at an interval would cost each node more wake-ups than everything else as soon as dozens of nodes converse.
 */
import type { ClientHttp2Stream, Http2Session } from 'node:http2'
import { connect } from 'node:net'
import type { DescService } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client, type Interceptor, type Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { bearer } from './node-key'
import type { Traffic } from './traffic'

/** Time for the answer to a ping: a hundred round trips between failure domains of a region. */
const PING_TIMEOUT_MS = 1000
const IDLE_SESSION_MS = 60_000

export interface RpcClientsOptions {
  /** Empty where nodes need no key. */
  readonly nodeKey: string
  readonly traffic: Traffic
  /** Timeout of a unary call that names none. */
  readonly timeoutMs?: number
}

/**
 * The library removes its error listeners from a session that it has just destroyed; an error emitted after that, for
 * example when the peer stops, would end the process.
 */
class GuardedSessionManager extends Http2SessionManager {
  readonly #guarded = new WeakSet<Http2Session>()
  #session: Http2Session | undefined
  #pinged: Http2Session | undefined

  override async request(...args: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    if (session !== undefined && !this.#guarded.has(session)) {
      this.#guarded.add(session)
      session.on('error', () => undefined)
    }
    this.#session = session
    return stream
  }

  /**
   * Pings the present session and destroys it when no answer comes. The library stops its own ping timeout whenever a
   * stream opens or closes, so exchanges that are given up one after another would keep a silent session forever.
   */
  replaceIfSilent(): void {
    const session = this.#session
    if (session === undefined || session.destroyed || session === this.#pinged) return
    this.#pinged = session
    const timer = setTimeout(() => {
      // Only an error lets requests go on that wait for the library's check of this session.
      session.destroy(new Error('no answer to a ping'))
    }, PING_TIMEOUT_MS)
    session.ping(() => {
      clearTimeout(timer)
      this.#pinged = undefined
    })
  }
}

interface Peer {
  readonly transport: Transport
  readonly manager: GuardedSessionManager
}

export class RpcClients {
  readonly #options: RpcClientsOptions
  readonly #peers = new Map<string, Peer>()

  constructor(options: RpcClientsOptions) {
    this.#options = options
  }

  /** Client of a service at `address`, an IP address with a port. */
  client<Service extends DescService>(service: Service, address: string): Client<Service> {
    return createClient(service, this.#peer(address).transport)
  }

  /** Replaces the session to a peer if it is silent; calls with a time limit do so on their own. */
  verify(address: string): void {
    this.#peers.get(address)?.manager.replaceIfSilent()
  }

  /** Closes the session to a peer that left. */
  forget(address: string): void {
    this.#peers.get(address)?.manager.abort()
    this.#peers.delete(address)
  }

  close(): void {
    for (const address of [...this.#peers.keys()]) this.forget(address)
  }

  #peer(address: string): Peer {
    const known = this.#peers.get(address)
    if (known !== undefined) return known
    const peer = this.#open(address)
    this.#peers.set(address, peer)
    return peer
  }

  #open(address: string): Peer {
    const baseUrl = `http://${address}`
    const manager = new GuardedSessionManager(
      baseUrl,
      { idleConnectionTimeoutMs: IDLE_SESSION_MS },
      {
        createConnection: (authority) => {
          const socket = connect({ host: authority.hostname.replace(/^\[|\]$/g, ''), port: Number(authority.port) })
          socket.setNoDelay(true)
          this.#options.traffic.track(socket)
          return socket
        },
      },
    )
    const { nodeKey } = this.#options
    const authorization = bearer(nodeKey)
    const withNodeKey: Interceptor = (next) => (request) => {
      if (nodeKey !== '') request.header.set('authorization', authorization)
      return next(request)
    }
    const verifying: Interceptor = (next) => async (request) => {
      try {
        return await next(request)
      } catch (cause) {
        if (ConnectError.from(cause).code === Code.DeadlineExceeded) manager.replaceIfSilent()
        throw cause
      }
    }
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: manager,
      interceptors: [withNodeKey, verifying],
      defaultTimeoutMs: this.#options.timeoutMs ?? 1000,
      useBinaryFormat: true,
    })
    return { transport, manager }
  }
}
