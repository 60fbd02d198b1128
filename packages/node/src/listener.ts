/**
 * HTTP listeners of a node. Listen errors are returned as results. Closing lets open requests end, asks their senders
 * to close the connection, and is bounded in time.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { failure, type Failure } from '@bilberrystall/base'
import { serve } from '@hono/node-server'
import type { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'

/** Time after which a closing listener aborts requests that have no response yet. */
const CLOSE_LIMIT_MS = 250

export interface ListenerOptions {
  readonly closeLimitMs?: number
}

export interface Listener {
  readonly port: number
  close(): Promise<void>
}

export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/** Serves a Hono application on an IP address with a port. Errors: `address-in-use`. */
export function listen(
  app: Hono,
  address: string,
  { closeLimitMs = CLOSE_LIMIT_MS }: ListenerOptions = {},
): Promise<Result<Listener, Failure>> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, (info) => {
      resolve(ok({ port: info.port, close: () => closeServer(server, openResponses, closeLimitMs) }))
    }) as Server
    const openResponses = trackResponses(server)
    server.once('error', (cause) => {
      resolve(err(failure('addressInUse', `${address}: ${cause.message}`)))
    })
  })
}

/** Returns the responses that have not ended yet. The set is updated while the server runs. */
function trackResponses(server: Server): ReadonlySet<ServerResponse> {
  const open = new Set<ServerResponse>()
  server.prependListener('request', (_request: IncomingMessage, response: ServerResponse) => {
    open.add(response)
    response.once('close', () => open.delete(response))
    if (!server.listening) closeAfter(response)
  })
  return open
}

async function closeServer(
  server: Server,
  openResponses: ReadonlySet<ServerResponse>,
  closeLimitMs: number,
): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => {
      resolve()
    })
  })
  server.closeIdleConnections()
  // Connections in use now would otherwise stay open for as long as their senders keep using them.
  for (const response of openResponses) closeAfter(response)
  const timer = setTimeout(() => {
    server.closeAllConnections()
  }, closeLimitMs)
  await closed
  clearTimeout(timer)
}

function closeAfter(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close')
}
