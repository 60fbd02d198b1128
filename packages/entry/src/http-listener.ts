/** HTTP servers on which an entry accepts requests of callers and of other entries. */
import { createServer, type IncomingMessage, type Server as HttpServer, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerConnection } from './caller-connection'
import { MAX_HEAD_BYTES } from './limits'

const MAX_CHECK_INTERVAL_MS = 1_000

export interface HttpListenerOptions {
  /** Time in ms for the head of a request. */
  readonly headMs: number
  readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void
  readonly onConnection: (socket: Socket) => void
  readonly connectionOf: (socket: Socket) => CallerConnection
}

export function createHttpListener(options: HttpListenerOptions): HttpServer {
  const { headMs, onRequest, onConnection, connectionOf } = options
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      headersTimeout: headMs,
      requestTimeout: 0,
      connectionsCheckingInterval: Math.min(MAX_CHECK_INTERVAL_MS, headMs),
      // `parseRequestHead` checks it and responds with a problem document.
      requireHostHeader: false,
      noDelay: true,
    },
    onRequest,
  )
  server.on('connection', onConnection)
  // Without a listener Node.js destroys the connection with the responses in progress.
  server.on('connect', (_request, socket: Socket) => {
    connectionOf(socket).onParseError(new Error('CONNECT is not supported'))
  })
  server.on('clientError', (cause: NodeJS.ErrnoException, socket: Socket) => {
    connectionOf(socket).onParseError(cause)
  })
  return server
}
