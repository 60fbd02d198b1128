/** Guards against a body that ends with its connection and takes in a copy of the response, or a part of one, behind it. */
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
import { createResponse, startStutteringServer } from './support/stuttering-server'

const CLOSE_AFTER_MS = [0, 2, 10]
const STATUS_LINE_START = 'HTTP/1.1 200 '

type Part = 'the whole copy' | 'a status line and more' | 'less than a status line'

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
