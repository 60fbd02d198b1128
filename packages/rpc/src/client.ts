/**
 * RPC clients for calls to other nodes. There is one HTTP/2 session per peer address. When a call times out, the
 * session is checked with a ping, so that an unresponsive connection is detected and replaced. Sessions are not pinged
 * periodically: with dozens of peers that would wake up each node more often than all its other work.
 */
import { constants, type ClientHttp2Stream, type Http2Session } from 'node:http2'
import { connect, type Socket } from 'node:net'
import type { DescService } from '@bufbuild/protobuf'
import { Code, ConnectError, createClient, type Client, type Interceptor, type Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { bearerHeader } from './node-key'
import type { TrafficCounter } from './traffic-counter'

/** 100 times the round trip time between failure domains of a region. */
const PING_TIMEOUT_MS = 1000
/**
 * The kernel repeats a lost connection request first after 1 s and then at growing intervals, and all calls to the peer
 * wait for it. A new connection sends a new request at once.
 */
const CONNECT_TIMEOUT_MS = 900
const IDLE_SESSION_TIMEOUT_MS = 60_000

export interface RpcClientsOptions {
  /** Empty if the nodes do not use a key. */
  readonly nodeKey: string
  readonly traffic: TrafficCounter
  /** Timeout of unary calls that do not set one. */
  readonly timeoutMs?: number
}

/**
 * Session manager that adds its own error listener to each session. The library removes its listeners when it destroys
 * a session, so an error emitted after that, for example because the peer stops, would terminate the process.
 */
class PeerSessionManager extends Http2SessionManager {
  readonly #sessionsWithErrorListener = new WeakSet<Http2Session>()
  #session: Http2Session | undefined
  #pingedSession: Http2Session | undefined

  override async request(...args: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    if (session !== undefined && !this.#sessionsWithErrorListener.has(session)) {
      this.#sessionsWithErrorListener.add(session)
      session.on('error', () => undefined)
    }
    this.#session = session
    failWithoutResponse(stream)
    return stream
  }

  /**
   * Pings the current session and destroys it if there is no response. The library's own ping timeout is not
   * sufficient: it is cancelled whenever a stream opens or closes, so a series of abandoned calls would keep an
   * unresponsive session.
   */
  destroyIfUnresponsive(): void {
    const session = this.#session
    if (session === undefined || session.destroyed || session === this.#pingedSession) return
    this.#pingedSession = session
    const timer = setTimeout(() => {
      // Requests that wait for the library's check of this session continue only if it ends with an error.
      session.destroy(new Error('ping timed out'))
    }, PING_TIMEOUT_MS)
    session.ping(() => {
      clearTimeout(timer)
      this.#pingedSession = undefined
    })
  }
}

/**
 * Emits an error if the peer closes the stream with `NO_ERROR` before a response. The library reports only other codes,
 * so a call without a timeout to a peer that stops would never end.
 */
function failWithoutResponse(stream: ClientHttp2Stream): void {
  let hasResponse = false
  stream.once('response', () => {
    hasResponse = true
  })
  stream.once('close', () => {
    if (hasResponse || stream.rstCode !== constants.NGHTTP2_NO_ERROR || stream.listenerCount('error') === 0) return
    stream.emit('error', new ConnectError('the peer closed the stream without a response', Code.Unavailable))
  })
}

function limitConnectTime(socket: Socket): void {
  const timer = setTimeout(() => {
    // After a long turn of the event loop, timers run before a connection that has opened is noticed.
    setImmediate(() => {
      if (socket.connecting) socket.destroy(new Error(`connect timed out after ${CONNECT_TIMEOUT_MS} ms`))
    })
  }, CONNECT_TIMEOUT_MS)
  const clear = () => {
    clearTimeout(timer)
  }
  socket.once('connect', clear).once('close', clear)
}

interface Peer {
  readonly transport: Transport
  readonly manager: PeerSessionManager
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
    this.#peers.get(address)?.manager.destroyIfUnresponsive()
  }

  /** Closes the session to a peer that has left. */
  disconnect(address: string): void {
    this.#peers.get(address)?.manager.abort()
    this.#peers.delete(address)
  }

  close(): void {
    for (const address of [...this.#peers.keys()]) this.disconnect(address)
  }

  #peer(address: string): Peer {
    const existing = this.#peers.get(address)
    if (existing !== undefined) return existing
    const peer = this.#connect(address)
    this.#peers.set(address, peer)
    return peer
  }

  #connect(address: string): Peer {
    const baseUrl = `http://${address}`
    const manager = new PeerSessionManager(
      baseUrl,
      { idleConnectionTimeoutMs: IDLE_SESSION_TIMEOUT_MS },
      {
        createConnection: (authority) => {
          const socket = connect({ host: authority.hostname.replace(/^\[|\]$/g, ''), port: Number(authority.port) })
          socket.setNoDelay(true)
          limitConnectTime(socket)
          this.#options.traffic.track(socket)
          return socket
        },
      },
    )
    const { nodeKey } = this.#options
    const authorization = bearerHeader(nodeKey)
    const withNodeKey: Interceptor = (next) => (request) => {
      if (nodeKey !== '') request.header.set('authorization', authorization)
      return next(request)
    }
    const checkOnTimeout: Interceptor = (next) => async (request) => {
      try {
        return await next(request)
      } catch (cause) {
        if (ConnectError.from(cause).code === Code.DeadlineExceeded) manager.destroyIfUnresponsive()
        throw cause
      }
    }
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: manager,
      interceptors: [withNodeKey, checkOnTimeout],
      defaultTimeoutMs: this.#options.timeoutMs ?? 1000,
      useBinaryFormat: true,
    })
    return { transport, manager }
  }
}
