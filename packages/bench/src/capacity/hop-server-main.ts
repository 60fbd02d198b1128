/**
 * Stand-in for a server that calls another one: `/hop/<port>/<left>` calls `/hop/<port>/<left - 1>` on that port with the
 * context header of its own request, until none is left.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'

const CONTEXT = 'bilberrystall-context'
const agent = new Agent({ connections: 64 })

async function next(incoming: IncomingMessage): Promise<number> {
  const [, , port, left] = (incoming.url ?? '').split('/')
  if (Number(left) <= 1) return 200
  const context = incoming.headers[CONTEXT]
  const headers = typeof context === 'string' ? { [CONTEXT]: context } : {}
  const url = `http://127.0.0.1:${port ?? ''}/hop/${port ?? ''}/${Number(left) - 1}`
  const response = await request(url, { dispatcher: agent, headers })
  await response.body.dump()
  return response.statusCode
}

async function serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const status = await next(incoming).catch(() => 500)
  response.writeHead(status, { 'content-length': '2', 'bilberrystall-load': 'inflight=1;slots=64;queue=0' })
  response.end('ok')
}

const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (incoming, response) => {
  void serve(incoming, response)
})
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`)
})
