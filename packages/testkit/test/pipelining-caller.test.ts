/** Guards against a caller that takes a response for a whole one, or for one to another request, or sends behind a close. */
import { createServer, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { expect, onTestFinished, test } from 'vitest'
import { eventually, PipeliningCaller, ResponseReader, sha256, type PipelinedRequest } from '../src/index'

const DEPTH = 4
const REQUEST: PipelinedRequest = { method: 'GET', host: 'x', path: '/slots', deadlineMs: 1000 }
const LENGTH = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst'
const CHUNKS = 'HTTP/1.1 502 Bad Gateway\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n'
const CLOSING = 'HTTP/1.1 200 OK\r\nConnection: close\r\ncontent-length: 0\r\n\r\n'

/** Runs a caller on a listener that responds to its first requests with `responses` and then ends the connection. */
async function exchange(respond: (requestIds: readonly string[]) => string) {
  let received = ''
  const server = createServer((socket) => {
    server.close()
    socket.on('error', () => undefined)
    socket.on('data', (part) => {
      received += part.toString()
      const requestIds = [...received.matchAll(/x-request-id: (\S+)/g)].map(([, id]) => id!)
      if (requestIds.length === DEPTH) socket.end(respond(requestIds))
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const entry = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const caller = new PipeliningCaller({ depth: DEPTH, entry: () => entry, request: () => REQUEST })
  onTestFinished(() => caller.stop(0))
  await eventually('the connection has ended', () => caller.exchanges.length >= DEPTH)
  return caller.exchanges.map(({ end, status, isOwn, behind }) => ({ end, status, isOwn, behind }))
}

function echo(requestId: string, fields = ''): string {
  const body = JSON.stringify({ request: requestId, bodyDigest: sha256('') })
  return `HTTP/1.1 200 OK\r\n${fields}content-length: ${body.length}\r\n\r\n${body}`
}

test('responses are read whole from parts of any size', () => {
  const bytes = Buffer.from(LENGTH + CHUNKS + CLOSING)
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new ResponseReader()
    const responses = []
    for (let start = 0; start < bytes.length; start += size) {
      responses.push(...reader.read(bytes.subarray(start, start + size)))
    }
    expect(responses.map(({ status, body, closes }) => [status, String(body), closes])).toEqual([
      [200, 'first', false],
      [502, 'second', false],
      [200, '', true],
    ])
    expect(reader.isInResponse).toBe(false)
  }
})

test('requests behind an announced close and requests without a response are told apart', async () => {
  expect(await exchange(([first = '']) => echo(first, 'connection: close\r\n'))).toEqual([
    { end: 'answered', status: 200, isOwn: true, behind: 0 },
    ...[1, 2, 3].map((behind) => ({ end: 'behind-close', status: 0, isOwn: false, behind })),
  ])
  const [first, second, third] = await exchange(([, other = '']) => echo(other) + CHUNKS.slice(0, -5))
  expect(first).toMatchObject({ end: 'answered', status: 200, isOwn: false })
  expect(second).toMatchObject({ end: 'broken-off' })
  expect(third).toMatchObject({ end: 'unanswered' })
})

test('a body that ends with its connection is whole, unless the connection is reset', () => {
  const reader = new ResponseReader()
  expect([...reader.read(Buffer.from('HTTP/1.1 200 OK\r\nconnection: close\r\nx-request-id: r1\r\n\r\nfi'))]).toEqual(
    [],
  )
  expect([...reader.read(Buffer.from('rst'))]).toEqual([])
  expect(reader.isInResponse).toBe(true)
  expect(reader.end()).toEqual({ status: 200, body: Buffer.from('first'), requestId: 'r1', closes: true })
  expect(reader.isInResponse).toBe(false)
  const cut = new ResponseReader()
  expect([...cut.read(Buffer.from(LENGTH.slice(0, -1)))]).toEqual([])
  expect(cut.end()).toBeUndefined()
})

test('bytes that are no response, and a response to no request, are recorded as malformed', async () => {
  const [first, second, third] = await exchange(([id = '']) => `${echo(id)}TTP/1.1 200 OK\r\n\r\n`)
  expect(first).toMatchObject({ end: 'answered', isOwn: true })
  expect(second).toMatchObject({ end: 'malformed', status: 0 })
  expect(third).toMatchObject({ end: 'unanswered' })
  const extra = await exchange((ids) => ids.map((id) => echo(id)).join('') + echo('extra'))
  expect(extra.map(({ end }) => end)).toEqual(['answered', 'answered', 'answered', 'answered', 'malformed'])
})
