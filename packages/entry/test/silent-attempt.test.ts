/** Guards against a call that is given up because its connection seems silent, while its server still works on it. */
import { seededRandom, serviceName } from '@bilberrystall/base'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { addServer, respond, sendCall, startEntry, startFakeServer, waitUntil } from './harness'

const SILENCE_MS = 100
const WORK_MS = 700

test('a call at the only server gets its response, though the connection made no progress for long', async () => {
  const server = await startFakeServer((received) => {
    setTimeout(respond, WORK_MS, received, 'late')
  })
  const { origin, results } = await startEntry([server], { limits: { silenceMs: SILENCE_MS } })
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200, text: 'late' })
  expect(results).toEqual(['complete'])
  expect(server.received).toHaveLength(1)
})

test('a call that seems silent is sent to another server as well, and the first response is delivered once', async () => {
  const slow = await startFakeServer((received) => {
    setTimeout(respond, WORK_MS, received, 'slow')
  })
  const fast = await startFakeServer((received) => {
    respond(received, 'fast')
  })
  const { origin } = await startEntry([slow, fast], { limits: { silenceMs: SILENCE_MS } })
  for (let call = 0; call < 10; call += 1) {
    const startedAt = performance.now()
    expect((await sendCall(`${origin}/read`)).status).toBe(200)
    expect(performance.now() - startedAt).toBeLessThan(WORK_MS + 200)
  }
  expect(slow.received.length).toBeGreaterThan(0)
})

test('a call ends as soon as its server breaks off, if a second attempt was not allowed', async () => {
  const breaking = await startFakeServer((received) => {
    setTimeout(() => received.socket.resetAndDestroy(), WORK_MS)
  })
  const other = await startFakeServer((received) => {
    respond(received, 'ok')
  })
  const router = new Router({ random: seededRandom(1) })
  router.configure(serviceName('booking'), { retries: { share: 0, minimum: 0, burst: 0 } }, 0)
  const { origin, entry } = await startEntry([breaking], { router, limits: { silenceMs: SILENCE_MS } })
  const startedAt = performance.now()
  const call = sendCall(`${origin}/read`)
  await waitUntil(() => breaking.received.length === 1)
  addServer(entry, other, 1)
  expect((await call).status).toBe(502)
  expect(performance.now() - startedAt).toBeLessThan(WORK_MS + 300)
})

test('a call that may not run twice waits for its server', async () => {
  const server = await startFakeServer((received) => {
    setTimeout(respond, WORK_MS, received, 'late')
  })
  const other = await startFakeServer((received) => {
    setTimeout(respond, WORK_MS, received, 'late')
  })
  const { origin } = await startEntry([server, other], { limits: { silenceMs: SILENCE_MS } })
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({ status: 200 })
  expect(server.received.length + other.received.length).toBe(1)
})
