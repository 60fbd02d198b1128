/**
 * Fake server for nested calls: `/hop/<port>/<hops>` calls `/hop/<port>/<hops - 1>` on that port with the context
 * header of its own request, until the last hop.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, request } from 'undici'

const CONTEXT_HEADER = 'bilberrystall-context'
const agent = new Agent({ connections: 64 })

async function callNextHop(incoming: IncomingMessage): Promise<number> {
  const [, , port, remainingHops] = (incoming.url ?? '').split('/')
  if (Number(remainingHops) <= 1) return 200
  const context = incoming.headers[CONTEXT_HEADER]
  const headers = typeof context === 'string' ? { [CONTEXT_HEADER]: context } : {}
  const url = `http://127.0.0.1:${port ?? ''}/hop/${port ?? ''}/${Number(remainingHops) - 1}`
  const response = await request(url, { dispatcher: agent, headers })
  await response.body.dump()
  return response.statusCode
}

async function handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const status = await callNextHop(incoming).catch(() => 500)
  response.writeHead(status, { 'content-length': '2', 'bilberrystall-load': 'inflight=1;slots=64;queue=0' })
  response.end('ok')
}

const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (incoming, response) => {
  void handleRequest(incoming, response)
})
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`)
})
