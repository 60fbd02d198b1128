/**
 * Guards against a long response that stops in the middle when a server sends a response behind it on the connection of
 * the caller: Node.js reports then, within the parsing of the second one, that the first one can continue.
 */
import { expect, test } from 'vitest'
import { respond, startEntry, startFakeServer } from './harness'
import { get, readWhileSending } from './support/raw-caller'
import { LONG_BODY_BYTES } from './support/slow-caller'

const READ_BYTES = 512 * 1024
/** Longer than a response is buffered at the entry. */
const SECOND_BODY_BYTES = 200_000
/** Time in which the first response fills the buffers between the entry and its caller. */
const FILL_MS = 300

test('a response that waits behind another one does not stop it, and both arrive whole', async () => {
  const server = await startFakeServer((received) => {
    if (received.head.startsWith('GET /read?1 ')) respond(received, 'x'.repeat(LONG_BODY_BYTES))
    else
      setTimeout(() => {
        respond(received, 'y'.repeat(SECOND_BODY_BYTES))
      }, FILL_MS)
  })
  const { entry, results } = await startEntry([server])
  const last = 'GET /read?2 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
  const bytes = await readWhileSending(entry.port, get('/read?1') + last, '', READ_BYTES)
  expect(results).toEqual(['complete', 'complete'])
  expect(bytes).toBeGreaterThan(LONG_BODY_BYTES + SECOND_BODY_BYTES)
})
