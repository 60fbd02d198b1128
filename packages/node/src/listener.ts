/** HTTP listeners of a node. Listen errors are returned as results; closing waits for open requests. */
import type { Server } from 'node:http'
import { failure, type Failure } from '@bilberrystall/base'
import { serve } from '@hono/node-server'
import type { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'

export interface Listener {
  readonly port: number
  close(): Promise<void>
}

export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}

/** Serves a Hono application on an IP address with a port. */
export function listen(app: Hono, address: string): Promise<Result<Listener, Failure>> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, hostname: host, port }, (info) => {
      resolve(ok({ port: info.port, close: () => closeServer(server) }))
    }) as Server
    server.once('error', (cause) => {
      resolve(err(failure('addressInUse', `${address}: ${cause.message}`)))
    })
  })
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeIdleConnections()
  })
}
