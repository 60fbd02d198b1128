/**
 * RPC server for calls from other nodes: Connect over cleartext HTTP/2. Every call must be authorized by the node key.
 */
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { Socket } from 'node:net'
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { bearerHeader, secretsEqual } from './node-key'
import type { TrafficCounter } from './traffic-counter'

export interface RpcServerOptions {
  readonly host: string
  readonly port: number
  /** Empty if the nodes do not use a key. */
  readonly nodeKey: string
  readonly routes: (router: ConnectRouter) => void
  readonly traffic: TrafficCounter
}

export class RpcServer {
  readonly #server: Http2Server
  readonly #sessions = new Set<ServerHttp2Session>()

  private constructor(server: Http2Server, traffic: TrafficCounter) {
    this.#server = server
    server.on('connection', (socket: Socket) => {
      traffic.track(socket)
    })
    server.on('session', (session) => {
      this.#sessions.add(session)
      session.on('close', () => this.#sessions.delete(session))
      session.on('error', () => {
        session.destroy()
      })
    })
  }

  static async listen(options: RpcServerOptions): Promise<Result<RpcServer, Failure>> {
    const adapter = connectNodeAdapter({
      routes: options.routes,
      interceptors: [
        (next) => (request) => {
          options.traffic.called('server', request.method.name)
          if (
            options.nodeKey !== '' &&
            !secretsEqual(request.header.get('authorization') ?? '', bearerHeader(options.nodeKey))
          ) {
            throw new ConnectError('missing or invalid node key', Code.Unauthenticated)
          }
          return next(request)
        },
      ],
    })
    const server = createServer(adapter)
    const rpcServer = new RpcServer(server, options.traffic)
    return new Promise((resolve) => {
      server.once('error', (cause) => {
        resolve(err(failure('addressInUse', `${options.host}:${options.port}: ${errorMessage(cause)}`)))
      })
      server.listen(options.port, options.host, () => {
        resolve(ok(rpcServer))
      })
    })
  }

  get port(): number {
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  /** Closes the server and destroys all sessions, including their open streams. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve()
      })
    })
    for (const session of this.#sessions) session.destroy()
    await closed
  }
}
