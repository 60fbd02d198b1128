/** Guards against a server whose address nobody can connect to, which ended the entry or held its calls for ever. */
import { expect, test } from 'vitest'
import { checkServer } from '../src/server-check'
import { respond, sendCall, startEntry, startFakeServer } from './harness'

const IMPOSSIBLE_PORTS = [99_999, 65_536, -1, 1.5, Number.NaN]

test.each(IMPOSSIBLE_PORTS)('calls are refused as not run if the only server has the port %d', async (port) => {
  const { origin } = await startEntry([{ port, received: [], sockets: [], crash: () => undefined }])
  const result = await sendCall(`${origin}/brief`)
  expect({ status: result.status, outcome: result.outcome }).toEqual({ status: 503, outcome: 'not-run' })
})

test('calls end at once and reach the other server of the service', async () => {
  const odd = { port: 99_999, received: [], sockets: [], crash: () => undefined }
  const server = await startFakeServer((received) => {
    respond(received, 'ok')
  })
  const { origin } = await startEntry([odd, server])
  const statuses: number[] = []
  const startedAt = performance.now()
  for (let call = 0; call < 30; call += 1) statuses.push((await sendCall(`${origin}/read`)).status)
  expect(statuses).toEqual(statuses.map(() => 200))
  // The deadline of the route is 5 s, which each call to the odd server used up.
  expect(performance.now() - startedAt).toBeLessThan(5_000)
})

test.each(IMPOSSIBLE_PORTS)('a check of a server with the port %d says that it cannot be reached', async (port) => {
  expect(await checkServer({ host: '127.0.0.1', port }, 200)).toBe('unreachable')
})
