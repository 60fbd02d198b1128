/**
 * Guards against a late copy of a refusal that answers a request with the same attempt id, and against passing on a body
 * without a length together with a copy that follows it.
 */
import { randomInt, seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
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
const CLOSE_AFTER_MS = [0, 2, 10]
const STATUS_LINE_START = 'HTTP/1.1 200 '

/**
 * Guards against a late copy of a refusal that is taken for the response to a request with the same attempt id, which
 * would be reported as not run although it ran.
 */
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

type Part = 'the whole copy' | 'a status line and more' | 'less than a status line'

/** Guards against a body that ends with its connection and takes in the extra bytes before the end. */
test.each<Part>(['the whole copy', 'a status line and more', 'less than a status line'])(
  'a body without a length does not take in %s that follows',
  async (part) => {
    const server = await startStutteringServer()
    const results = await runInLanes(
      CLOSE_AFTER_MS.flatMap((closeAfterMs) =>
        Array.from({ length: 40 }, (_, index) => ({ closeAfterMs, seed: 50_000 + 1_000 * closeAfterMs + index })),
      ),
      async ({ closeAfterMs, seed }): Promise<CaseResult> => {
        const random = seededRandom(seed)
        const setup = await start(server)
        const attempt = idOf('a', seed)
        const response = plan(random, pick(random, ['success', 'failure']), 'close', 'unframed')
        const { bytes } = createResponse(attempt, response)
        const least = STATUS_LINE_START.length
        const cuts: Readonly<Record<Part, number>> = {
          'the whole copy': bytes.length,
          'a status line and more': least + randomInt(random, bytes.length - least),
          'less than a status line': 1 + randomInt(random, least - 1),
        }
        const cut = cuts[part]
        const schedule = pick(random, ['attached', 'idle'] as const)
        server.plan(attempt, { ...response, closeAfterMs, stutter: { cut, firstBytes: cut, schedule } })
        const method = pick(random, ['GET', 'POST'] as const)
        const result = await call(setup, method, attempt)
        const wrong = auditCall({ method, result, records: server.recordsOf(attempt), mayFail: true })
        await setup.entry.stop()
        const name = `${response.kind}, cut at ${cut} of ${bytes.length}, ${schedule}, end after ${closeAfterMs} ms, seed ${seed}`
        return { name, wrong, written: server.written(attempt) }
      },
    )
    expect(summarise(results)).toEqual(NONE_FAILING)
  },
)
