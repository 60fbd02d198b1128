/** Server process of the overhead measurement: answers every request at once with a short body. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

const BODY = JSON.stringify({ free: ['09:00', '10:30', '14:00'] })

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
