/** Guards against a body that has a length and takes in a copy of another response, which its server sent within it. */
import { randomInt, seededRandom } from '@bilberrystall/base'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { sendCall, startEntry, startFakeServer } from './harness'
import { ATTEMPT_DIALECT, PATIENT_ATTEMPT_DOCUMENT, complete, header } from './support/attempt-dialect'
import { idOf, NONE_FAILING, pick, runInLanes, summarise, type CaseResult } from './support/stray-cases'

const PAUSE_MS = 2
/** Up to the end of its status. A shorter start of a copy cannot be told from the body. */
const MIN_COPY_BYTES = 'HTTP/1.1 200 '.length

const response = (attempt: string, body: string, field = 'x-other: 1'): string =>
  `HTTP/1.1 200 OK\r\nx-attempt: ${attempt}\r\nx-signature: s\r\n${field}\r\ncontent-length: ${body.length}\r\n\r\n${body}`

const CONNECTION_FIELDS = ['connection: keep-alive', 'connection: close'] as const

/** Resolves to the status and body that the caller of the second call got, or to undefined if it got no whole response. */
async function callInterrupted(pieces: readonly string[], second: string) {
  const server = await startFakeServer((received) => {
    if (header(received, 'x-attempt') !== second) {
      complete(received)
      return
    }
    const write = async () => {
      for (const piece of pieces) {
        received.socket.write(piece)
        await sleep(PAUSE_MS)
      }
    }
    void write()
  })
  const setup = await startEntry([server], { dialect: ATTEMPT_DIALECT, document: () => PATIENT_ATTEMPT_DOCUMENT })
  const send = (attempt: string) =>
    sendCall(`${setup.origin}/write`, { method: 'POST', body: 'x', headers: { 'x-attempt': attempt } })
  await send('first')
  const result = await send(second).catch(() => undefined)
  const next = await send('third')
  await setup.entry.stop()
  return { result, next: next.status }
}

test('a copy between the pieces of a body reaches no caller as a part of a whole response', async () => {
  const seeds = Array.from({ length: 120 }, (_, index) => 70_000 + index)
  const results = await runInLanes(seeds, async (seed): Promise<CaseResult> => {
    const random = seededRandom(seed)
    const second = idOf('b', seed)
    const body = 'b'.repeat(pick(random, [1, 40, 3_000, 80_000, 300_000]))
    const whole = response(second, body, pick(random, CONNECTION_FIELDS))
    const cut = whole.length - body.length + randomInt(random, body.length)
    // A copy of the first response, or of this one, whose body is then cut off and filled up.
    const copy = pick(random, [response('first', 'the first body'), whole])
    const copied = copy.slice(0, MIN_COPY_BYTES + randomInt(random, copy.length - MIN_COPY_BYTES + 1))
    const pieces = pick(random, [
      [whole.slice(0, cut), copied, whole.slice(cut)],
      [whole.slice(0, cut), copied + whole.slice(cut)],
      [whole.slice(0, cut) + copied + whole.slice(cut)],
    ])
    const { result, next } = await callInterrupted(pieces, second)
    const isWrong = result !== undefined && result.status !== 502
    const wrong = [...(isWrong ? ['a copy in the body'] : []), ...(next === 200 ? [] : ['the next call failed'])]
    return { name: `cut at ${cut} of ${whole.length}, seed ${seed}`, wrong, written: true }
  })
  expect(summarise(results)).toEqual(NONE_FAILING)
})

test.each(CONNECTION_FIELDS)('a body that mentions a status line is passed on, with %s', async (field) => {
  const text = 'a log:\nHTTP/1.1 200 OK\r\n'
  for (const body of [text, text + 'x'.repeat(300_000), 'x'.repeat(70_000) + text.repeat(2_000)]) {
    const whole = response('second', body, field)
    for (const cut of [0, 20, whole.length - 3, whole.length - body.length + 15]) {
      const { result, next } = await callInterrupted([whole.slice(0, cut), whole.slice(cut)], 'second')
      expect({ status: result?.status, isWhole: result?.text === body, next }).toEqual({
        status: 200,
        isWhole: true,
        next: 200,
      })
    }
  }
})
