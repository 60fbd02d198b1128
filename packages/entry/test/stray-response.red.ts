/** Guards against a late copy of a refusal that answers a request with the same attempt id. */
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
