/** Guards against taking a body with another transfer encoding than chunks, which ends with its connection, for a delimited one. */
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { sendCall, startEntry, startFakeServer } from './harness'
import { ATTEMPT_DIALECT, ATTEMPT_DOCUMENT } from './support/attempt-dialect'

const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a\r\nx-signature: s\r\n'
const COPY = `${HEAD}content-length: 4\r\n\r\ncopy`

/** Sends a call to a server whose response has the transfer encoding, and ends with a copy or a reset. */
async function callServer(encoding: string, end: 'copy' | 'reset') {
  const server = await startFakeServer(({ socket }) => {
    socket.write(`${HEAD}transfer-encoding: ${encoding}\r\n\r\nbody`)
    void sleep(5).then(() => {
      if (end === 'reset') socket.resetAndDestroy()
      else socket.end(COPY)
    })
  })
  const { origin, results } = await startEntry([server], { dialect: ATTEMPT_DIALECT, document: () => ATTEMPT_DOCUMENT })
  const options = { method: 'POST', body: 'x', headers: { 'x-attempt': 'a' } } as const
  const result = await sendCall(`${origin}/write`, options).catch(() => undefined)
  return { status: result?.status ?? 502, results }
}

test.each(['identity', 'gzip', 'chunked, gzip'])(
  'a body with the transfer encoding %s takes in no copy',
  async (encoding) => {
    expect(await callServer(encoding, 'copy')).toEqual({ status: 502, results: ['responseTruncated'] })
  },
)

test('a body with the transfer encoding identity is not whole if its connection is reset', async () => {
  expect(await callServer('identity', 'reset')).toEqual({ status: 502, results: ['responseTruncated'] })
})
