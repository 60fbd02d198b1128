/** Guards against taking a response whose head ends in its middle for a complete response with an empty or short body. */
import { expect, test } from 'vitest'
import { Connection } from '../src/connection'
import { DEFAULT_DIALECT } from '../src/index'
import { Exchange } from '../src/exchange'
import { startFakeServer, type FakeServer } from './harness'

const now = () => performance.now()
const BODY = 'body of the response'
const HEADS = {
  'a length': `HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  'a length and a close': `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  'an interim response': `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  'no length': 'HTTP/1.1 200 OK\r\nConnection: close\r\nx-signature: s\r\n\r\n',
  chunks: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n',
}

async function openConnection(server: FakeServer): Promise<Connection> {
  return (await Connection.open({ host: '127.0.0.1', port: server.port }, 1_000, now))._unsafeUnwrap()
}

function exchangeOn(connection: Connection): Promise<'ended' | 'failed'> {
  return new Promise((resolve) => {
    const events = {
      head: () => undefined,
      data: () => true,
      ended: () => {
        resolve('ended')
      },
      failed: () => {
        resolve('failed')
      },
    }
    const exchange = new Exchange(connection, events, now, DEFAULT_DIALECT)
    exchange.start({ method: 'GET', target: '/', fields: ['host', 'x'], body: undefined })
  })
}

test.each(Object.entries(HEADS))('a head with %s that is cut off anywhere is no response', async (_name, head) => {
  const response = `${head}${BODY}`
  let length = 0
  let close: 'end' | 'resetAndDestroy' = 'end'
  const server = await startFakeServer(({ socket, requestIndex }) => {
    if (requestIndex === 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
    else socket.write(response.slice(0, length), () => socket[close]())
  })
  for (close of ['end', 'resetAndDestroy'] as const) {
    for (length = 0; length < head.length; length += 1) {
      const connection = await openConnection(server)
      expect(await exchangeOn(connection)).toBe('ended')
      expect({ length, result: await exchangeOn(connection) }).toEqual({ length, result: 'failed' })
      connection.destroy()
    }
  }
})
