/**
 * Guards against servers that send bytes without end in place of a response: the connection must be closed within the
 * time of the call, the bytes read must stay bounded, the caller must not get an answer that looks complete, and the
 * entry must go on serving.
 */
import type { Socket } from 'node:net'
import { request } from 'undici'
import { expect, test } from 'vitest'
import { respond, sendCall, startFakeServer, startEntry, waitUntil, type ReceivedRequest } from './harness'

const DEADLINE_MS = 1_000
/** Time that a call may last beyond its deadline. */
const SLACK_MS = 500
const PART_BYTES = 8 * 1024
/**
 * What the server may have sent beyond what the caller has received: far more than the limit of a head, and than the
 * socket buffers of an exchange. A body is passed on as fast as the caller reads it, so its size has no bound of its own.
 */
const MAX_HELD_BYTES = 64 * 1024 * 1024
/** Growth of the heap that garbage alone can cause. */
const MAX_HEAP_GROWTH_BYTES = 64 * 1024 * 1024

const HEAD = 'HTTP/1.1 200 OK\r\n'
const PATTERNS: readonly (readonly [name: string, start: string, part: string])[] = [
  ['bytes that are no response', '', 'x'.repeat(PART_BYTES)],
  ['one header line', `${HEAD}x-long: `, 'x'.repeat(PART_BYTES)],
  ['header lines', HEAD, 'x-line: value\r\n'.repeat(500)],
  ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(300)],
  ['a chunk size', `${HEAD}transfer-encoding: chunked\r\n\r\n`, '0'.repeat(PART_BYTES)],
  ['a chunk extension', `${HEAD}transfer-encoding: chunked\r\n\r\n5;`, 'e'.repeat(PART_BYTES)],
  ['chunks', `${HEAD}transfer-encoding: chunked\r\n\r\n`, `1000\r\n${'x'.repeat(0x1000)}\r\n`],
  ['trailer lines', `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`, 'x-line: value\r\n'.repeat(500)],
  ['a body without a length', `${HEAD}\r\n`, 'x'.repeat(PART_BYTES)],
  ['bytes after the body', `${HEAD}content-length: 2\r\n\r\nok`, 'x'.repeat(PART_BYTES)],
]

/** Writes parts until the peer closes. Returns the number of bytes that were written. */
function writeWithoutEnd(socket: Socket, start: string, part: string): { readonly bytes: () => number } {
  let bytes = 0
  const write = (): void => {
    while (!socket.destroyed) {
      bytes += part.length
      if (!socket.write(part)) return
    }
  }
  socket.on('drain', write)
  socket.write(start)
  write()
  return { bytes: () => bytes }
}

interface CountedCall {
  readonly status: number | undefined
  /** Whether the response ended in order. */
  readonly isComplete: boolean
  readonly receivedBytes: number
}

/** Sends a call and counts the body of the response, which may be too long to be kept. */
async function countCall(url: string): Promise<CountedCall> {
  let status: number | undefined
  let receivedBytes = 0
  try {
    const response = await request(url)
    status = response.statusCode
    for await (const part of response.body) receivedBytes += (part as Buffer).byteLength
    return { status, isComplete: true, receivedBytes }
  } catch {
    return { status, isComplete: false, receivedBytes }
  }
}

test.each(PATTERNS)('%s without end: the call ends in time and the connection is closed', async (name, start, part) => {
  let sent: { readonly bytes: () => number } | undefined
  let isEndless = true
  const server = await startFakeServer((received: ReceivedRequest) => {
    if (isEndless) sent = writeWithoutEnd(received.socket, start, part)
    else respond(received, 'fine')
  })
  const { origin, entry } = await startEntry([server])
  const heapBefore = process.memoryUsage().heapUsed
  const startedAt = performance.now()
  const { status, isComplete, receivedBytes } = await countCall(`${origin}/middle`)
  expect(performance.now() - startedAt).toBeLessThanOrEqual(DEADLINE_MS + SLACK_MS)
  const isWhole = name === 'bytes after the body'
  if (isComplete) expect(status === 200).toBe(isWhole)
  await waitUntil(() => server.received[0]?.socket.destroyed === true && entry.callsInFlight === 0)
  expect(performance.now() - startedAt).toBeLessThanOrEqual(DEADLINE_MS + 2 * SLACK_MS)
  expect((sent?.bytes() ?? Number.NaN) - receivedBytes).toBeLessThan(MAX_HELD_BYTES)
  expect(process.memoryUsage().heapUsed - heapBefore).toBeLessThan(MAX_HEAP_GROWTH_BYTES)
  isEndless = false
  expect(await sendCall(`${origin}/middle`, {})).toMatchObject({ status: 200, text: 'fine' })
})
