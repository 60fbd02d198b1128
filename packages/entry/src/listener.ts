/** HTTP server of a listener of the entry, for callers or for other entries. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { LISTEN_BACKLOG } from './arrived'
import type { CallerConnection } from './caller-connection'
import type { Address } from './connection'
import { MAX_HEAD_BYTES } from './limits'

export interface ListenerOptions {
  /** Timeout for receiving the request head from a caller. */
  readonly headMs: number
  readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void
  /** Called when a connection was accepted. */
  readonly onConnection: () => void
  readonly connectionOf: (socket: Socket) => CallerConnection
}

export function createListener({ headMs, onRequest, onConnection, connectionOf }: ListenerOptions): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: headMs,
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(1_000, headMs),
      // `parseRequestHead` checks it and responds with a problem document.
      requireHostHeader: false,
      noDelay: true,
    },
    onRequest,
  )
  server.on('connection', (socket: Socket) => {
    onConnection()
    connectionOf(socket)
  })
  // Without a listener Node.js destroys the connection with the responses in progress.
  server.on('connect', (_request, socket: Socket) => {
    connectionOf(socket).onParseError(new Error('CONNECT is not supported'))
  })
  server.on('clientError', (cause: NodeJS.ErrnoException, socket: Socket) => {
    connectionOf(socket).onParseError(cause)
  })
  return server
}

/** Starts to listen. Fails with `address-in-use`; `onError` is called before. */
export function listenOn(server: Server, { host, port }: Address, onError: () => void): Promise<Result<void, Failure>> {
  return new Promise((resolve) => {
    server.once('error', (cause) => {
      onError()
      resolve(err(failure('addressInUse', `${host}:${port}: ${errorMessage(cause)}`)))
    })
    server.listen({ port, host, backlog: LISTEN_BACKLOG }, () => {
      resolve(ok(undefined))
    })
  })
}
