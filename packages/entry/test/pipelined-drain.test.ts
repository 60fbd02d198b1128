/**
 * Guards against a response that stops midway because a request behind it on the connection is answered while its caller
 * reads slowly.
 */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, onTestFinished, test } from 'vitest'
import { respond, startEntry, startFakeServer, waitUntil } from './harness'
import { get } from './support/raw-caller'

/** Larger than the buffers of the operating system. */
const LONG_BODY_BYTES = 16 * 1024 * 1024
/** Time in which these buffers fill up. */
const FILL_MS = 300

// Node.js emits `drain` on the first response when the second one ends, within the parser of the second one.
test('a long response continues after a response behind it has ended while its caller was not reading', async () => {
  const server = await startFakeServer((received) => {
    if (received.head.startsWith('GET /read?1 ')) respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const { entry, results } = await startEntry([server])
  const caller = connect(entry.port, '127.0.0.1').pause()
  onTestFinished(() => {
    caller.destroy()
  })
  caller.write(get('/read?1') + get('/read?2'))
  await waitUntil(() => server.received.length === 2)
  await sleep(FILL_MS)
  const behind = server.received.find(({ head }) => head.startsWith('GET /read?2 '))
  if (behind !== undefined) respond(behind, 'behind')
  await waitUntil(() => results.length === 1)
  let bytes = 0
  let end = ''
  caller.on('data', (part: Buffer) => {
    bytes += part.length
    end = (end + part.toString('latin1')).slice(-'behind'.length)
  })
  caller.resume()
  await expect.poll(() => end, { timeout: 10_000 }).toBe('behind')
  expect(bytes).toBeGreaterThan(LONG_BODY_BYTES)
  expect(results).toEqual(['complete', 'complete'])
})
