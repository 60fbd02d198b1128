/** Guards against calls that are refused because some servers have ended, while others of the service are idle. */
import { expect, test } from 'vitest'
import { respond, sendCall, startEntry, startFakeServer, type FakeServer } from './harness'

/** A server that has ended and is still in the directory: its address refuses connections. */
const ENDED: FakeServer = { port: 1, received: [], sockets: [], crash: () => undefined }

test('calls at an entry that has just started reach the running server, though two others refuse connections', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'ok')
  })
  const { origin } = await startEntry([ENDED, ENDED, server])
  const calls = Array.from({ length: 30 }, (_, number) => `${origin}${number % 2 === 0 ? '/read' : '/write'}`)
  const results = await Promise.all(
    calls.map((url) => sendCall(url, { method: url.endsWith('write') ? 'POST' : 'GET' })),
  )
  expect(results.map(({ status }) => status)).toEqual(results.map(() => 200))
  expect(server.received).toHaveLength(30)
})

test('a call is refused as not run, and at once, if all servers refuse connections', async () => {
  const { origin } = await startEntry([ENDED, ENDED, ENDED, ENDED, ENDED])
  const startedAt = performance.now()
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 503, outcome: 'not-run' })
  expect(performance.now() - startedAt).toBeLessThan(1_000)
})
