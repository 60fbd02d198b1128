/** HTTP server of an entry towards callers or other entries: its limits, and the events of its connections. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { LISTEN_BACKLOG } from './arrived'
import type { Address } from './connection'
import { MAX_HEAD_BYTES, type Limits } from './limits'

export interface CallerServerEvents {
  readonly request: RequestListener
  readonly connection: (socket: Socket) => void
  readonly parseError: (cause: NodeJS.ErrnoException, socket: Socket) => void
}

export function createCallerServer({ headMs }: Pick<Limits, 'headMs'>, events: CallerServerEvents): Server {
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
    events.request,
  )
  server.on('connection', events.connection)
  // Without a listener Node.js destroys the connection with the responses in progress.
  server.on('connect', (_request, socket: Socket) => {
    events.parseError(new Error('CONNECT is not supported'), socket)
  })
  server.on('clientError', (cause: NodeJS.ErrnoException, socket: Socket) => {
    events.parseError(cause, socket)
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
