/**
 * Server process of the overhead benchmark: responds to every request immediately. Argument: the length of the response
 * body in bytes, by default that of a short list of slots.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

const SHORT_BODY = JSON.stringify({ free: ['09:00', '10:30', '14:00'] })
const BODY = process.argv[2] === undefined ? SHORT_BODY : 'x'.repeat(Number(process.argv[2]))

const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (request, response) => {
  request.resume()
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': String(BODY.length),
    'bilberrystall-load': 'inflight=1;slots=64;queue=0',
  })
  response.end(BODY)
})
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`)
})
