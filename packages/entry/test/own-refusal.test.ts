/**
 * Guards against a refusal that answers another request than its own: a late copy, for a request with the same attempt id,
 * or one that names no attempt. The request would be reported as not run although it ran.
 */
import { randomInt, seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { respond, sendCall, startEntry, startFakeServer } from './harness'
import {
  ATTEMPT_DIALECT,
  PATIENT_ATTEMPT_DOCUMENT,
  complete,
  isProbe,
  respondToProbe,
  startQueryingEntry,
} from './support/attempt-dialect'
import { auditCall } from './support/response-audit'
import {
  call,
  idOf,
  NONE_FAILING,
  pick,
  plan,
  runInLanes,
  start,
  summarise,
  type CaseResult,
} from './support/stray-cases'
import { createResponse, startStutteringServer, type Schedule } from './support/stuttering-server'

/** Schedules in which extra bytes arrive after the next request was sent. */
const LATE_SCHEDULES: readonly Schedule[] = ['joined', 'ahead', 'split']

test.each(['whole', 'cut off'])(
  'a copy of its own refusal, %s, does not answer a request that is sent again',
  async (part) => {
    const server = await startStutteringServer()
    const seeds = Array.from({ length: 60 }, (_, index) => 40_000 + index)
    const results = await runInLanes(seeds, async (seed): Promise<CaseResult> => {
      const random = seededRandom(seed)
      const setup = await start(server)
      const attempt = idOf('a', seed)
      const refusal = { ...plan(random, 'refusal', 'length', 'refused'), isNamed: true }
      const { bytes } = createResponse(attempt, refusal)
      const cut = part === 'whole' ? bytes.length : 1 + randomInt(random, bytes.length)
      const schedule = pick(random, LATE_SCHEDULES)
      server.plan(
        attempt,
        { ...refusal, stutter: { cut, firstBytes: 1 + randomInt(random, cut), schedule } },
        plan(random, pick(random, ['success', 'failure']), 'length', 'run'),
      )
      // The caller sends it again, because an entry sends an attempt to a server once.
      await call(setup, 'POST', attempt)
      const result = await call(setup, 'POST', attempt)
      const wrong = auditCall({ method: 'POST', result, records: server.recordsOf(attempt), mayFail: true })
      await setup.entry.stop()
      return {
        name: `cut at ${cut} of ${bytes.length}, ${schedule}, seed ${seed}`,
        wrong,
        written: server.written(attempt),
      }
    })
    expect(summarise(results)).toEqual(NONE_FAILING)
  },
)

test('a refusal that names no attempt is not believed where other responses name theirs', async () => {
  const server = await startFakeServer((received) => {
    const isSecond = received.requestIndex > 0
    if (isSecond) received.socket.write('HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n')
    complete(received)
  })
  const { origin, results } = await startEntry([server], {
    dialect: ATTEMPT_DIALECT,
    document: () => PATIENT_ATTEMPT_DOCUMENT,
  })
  const send = (attempt: string) =>
    sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers: { 'x-attempt': attempt } })
  expect(await send('a')).toMatchObject({ status: 200 })
  expect(await send('b')).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(results).toEqual(['complete', 'connectionLost'])
})

/** Guards against a refusal behind the response to a load query, which has no id, and shows none of the server. */
test('a refusal that names no attempt is not believed behind a load query', async () => {
  const server = await startFakeServer((received) => {
    if (isProbe(received)) {
      respondToProbe(received)
      return
    }
    received.socket.write('HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n')
    complete(received)
  })
  const { origin, results } = await startQueryingEntry([server], { document: () => PATIENT_ATTEMPT_DOCUMENT })
  const options = { method: 'POST', body: 'x', headers: { 'x-attempt': 'a' } } as const
  expect(await sendCall(`${origin}/write`, options)).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(results).toEqual(['connectionLost'])
})

/** Guards against remembering ever more attempts on one connection. */
test('a connection that has carried many attempts is replaced', async () => {
  const REFUSALS = 600
  const server = await startFakeServer((received) => {
    const { head } = received
    respond(received, '', ['x-not-run: 1', /^x-attempt: .*$/im.exec(head)?.[0] ?? ''], '503 Service Unavailable')
  })
  const { origin } = await startEntry([server], { dialect: ATTEMPT_DIALECT, document: () => PATIENT_ATTEMPT_DOCUMENT })
  for (let index = 0; index < REFUSALS; index += 1) {
    const headers = { 'x-attempt': `attempt-${index}` }
    expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })).toMatchObject({ status: 503 })
  }
  const requests = Math.max(...server.received.map(({ requestIndex }) => requestIndex + 1))
  expect({ requests, connections: server.sockets.length }).toMatchInlineSnapshot(`
    {
      "connections": 3,
      "requests": 256,
    }
  `)
})
