/** Guards against sending a request to further servers once it is known to crash them. */
import type { RequestId } from '@bilberrystall/base'
import type { RequestStanding } from '@bilberrystall/quarantine'
import { expect, test } from 'vitest'
import { respond, sendCall, startEntry, startFakeServer } from './harness'

function gate(standing: () => RequestStanding) {
  const completed: RequestId[] = []
  return {
    isActive: () => true,
    standing,
    completed: (request: RequestId) => completed.push(request),
    requests: completed,
  }
}

test('a quarantined request is refused on arrival as not run, with the time of its return', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const { origin } = await startEntry([server], {
    gate: gate(() => ({ kind: 'quarantined', until: Date.now() + 90_500 })),
  })
  const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(result).toMatchObject({ status: 503, code: 25, outcome: 'not-run' })
  expect(Number(result.headers['retry-after'])).toBeGreaterThanOrEqual(90)
  expect(server.received).toEqual([])
})

test('a suspected request is not sent to a second server after its connection broke', async () => {
  const servers = await Promise.all(
    [1, 2, 3].map(() =>
      startFakeServer(({ socket }) => {
        socket.resetAndDestroy()
      }),
    ),
  )
  const { origin } = await startEntry(servers, { gate: gate(() => ({ kind: 'suspected', crashes: 1 })) })
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 502, code: 30, outcome: 'unknown' })
  expect(servers.flatMap(({ received }) => received)).toHaveLength(1)
})

test('a request that is quarantined after it was sent is reported as unknown, not as not run', async () => {
  let isQuarantined = false
  const servers = await Promise.all(
    [1, 2].map(() =>
      startFakeServer(({ socket }) => {
        isQuarantined = true
        socket.resetAndDestroy()
      }),
    ),
  )
  const standing = (): RequestStanding =>
    isQuarantined ? { kind: 'quarantined', until: Date.now() + 1_000 } : { kind: 'clear' }
  const { origin } = await startEntry(servers, { gate: gate(standing) })
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 502, outcome: 'unknown' })
})

test('a completed run is reported, and a refusal by the server is not', async () => {
  let isBusy = true
  const server = await startFakeServer((received) => {
    if (isBusy) respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
    else respond(received, 'done')
  })
  const observed = gate(() => ({ kind: 'suspected', crashes: 1 }))
  const { origin } = await startEntry([server], { gate: observed })
  await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(observed.requests).toHaveLength(0)
  isBusy = false
  await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })
  expect(observed.requests).toHaveLength(1)
})
