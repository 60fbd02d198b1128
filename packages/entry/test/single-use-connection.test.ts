/** Guards against using a connection for a further request while its server sends bytes that belong to no request. */
import type { ServerId } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import type { RefusedResponse } from '../src/index'
import { SYSTEM_CLOCK } from '../src/limits'
import { sendCall, startEntry, startFakeServer, waitUntil, type ReceivedRequest } from './harness'
import {
  ATTEMPT_DIALECT,
  PATIENT_ATTEMPT_DOCUMENT,
  complete,
  isProbe,
  respondToProbe,
  startQueryingEntry,
} from './support/attempt-dialect'

const MINUTE_MS = 60_000

/** Starts a server that repeats its first response, and an entry whose clock can be set forward. */
async function startStuttering(start: typeof startEntry = startEntry) {
  let offset = 0
  let isRepeated = true
  const refused: RefusedResponse['refusal'][] = []
  const reuse: boolean[] = []
  const answer = (received: ReceivedRequest) => {
    if (isProbe(received)) {
      respondToProbe(received)
      return
    }
    complete(received)
    if (isRepeated) complete(received)
    isRepeated = false
  }
  const server = await startFakeServer(answer)
  const { origin, results } = await start([server], {
    dialect: ATTEMPT_DIALECT,
    document: () => PATIENT_ATTEMPT_DOCUMENT,
    clock: { ...SYSTEM_CLOCK, monotonic: () => SYSTEM_CLOCK.monotonic() + offset },
    events: {
      responseRefused: (_: ServerId, { refusal }) => refused.push(refusal),
      reuseChanged: (_: ServerId, isAllowed) => reuse.push(isAllowed),
    },
  })
  let calls = 0
  const send = async () => {
    calls += 1
    const headers = { 'x-attempt': `attempt-${calls}` }
    return (await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })).status
  }
  const setForward = (ms: number) => (offset += ms)
  return { server, results, refused, reuse, send, setForward }
}

test('after a copy of a response each request gets a connection of its own, and later ones share connections', async () => {
  const { server, refused, reuse, send, setForward } = await startStuttering()
  expect(await send()).toBe(200)
  await waitUntil(() => reuse.length > 0)
  for (let index = 0; index < 5; index += 1) expect(await send()).toBe(200)
  expect(server.received.map(({ requestIndex }) => requestIndex)).toEqual([0, 0, 0, 0, 0, 0])
  expect(refused).toEqual([{ kind: 'stray-bytes' }])

  setForward(MINUTE_MS)
  await waitUntil(() => reuse.length > 1)
  expect(reuse).toEqual([false, true])
  for (let index = 0; index < 5; index += 1) expect(await send()).toBe(200)
  expect(server.received.slice(6).map(({ requestIndex }) => requestIndex)).toEqual([0, 1, 2, 3, 4])
})

test('a call does not follow a load query on its connection', async () => {
  const { server, reuse, send } = await startStuttering(startQueryingEntry)
  expect(await send()).toBe(200)
  await waitUntil(() => reuse.length > 0)
  const before = server.received.length
  for (let index = 0; index < 3; index += 1) expect(await send()).toBe(200)
  const later = server.received.slice(before)
  expect(later.some(isProbe)).toBe(true)
  expect(new Set(later.map(({ requestIndex }) => requestIndex))).toEqual(new Set([0]))
})
