/**
 * Guards against joining the start of an extra copy of a response with the next response: callers get statuses, signatures,
 * fields and bodies that no server gave them, and a request that ran counts as not run.
 */
import { randomInt, seededRandom } from '@bilberrystall/base'
import { createKey, type Decision, type Ending } from '@bilberrystall/claims'
import { expect, test } from 'vitest'
import type { Claim } from '../src/claim-coordinator'
import { ATTEMPT_DIALECT, PATIENT_ATTEMPT_DOCUMENT, startQueryingEntry } from './support/attempt-dialect'
import { startEntry } from './harness'
import { auditCall } from './support/response-audit'
import {
  call,
  generateCases,
  idOf,
  NEXT_KINDS,
  NONE_FAILING,
  pick,
  plan,
  playCases,
  RESPONSE_KINDS,
  runInLanes,
  summarise,
  type CaseResult,
} from './support/stray-cases'
import {
  createResponse,
  PROBE_ATTEMPT,
  probeResponse,
  startStutteringServer,
  type Schedule,
} from './support/stuttering-server'

/** Schedules in which extra bytes arrive after the next request was sent. */
const LATE_SCHEDULES: readonly Schedule[] = ['joined', 'ahead', 'split']

test('a copy that is cut off within its head does not join the next response', async () => {
  const server = await startStutteringServer()
  const results = await playCases(server, generateCases('head', LATE_SCHEDULES, 1))
  expect(summarise(results)).toEqual(NONE_FAILING)
})

/** Guards against a second run of a request that may run once, because a refusal is joined from two responses. */
test('a request that ran is not sent again because of a copy of a refusal', async () => {
  const server = await startStutteringServer()
  const cases = generateCases('head', LATE_SCHEDULES, 60_000)
    .filter(({ copied }) => copied.kind === 'refusal')
    .map((item) => ({
      ...item,
      method: 'POST' as const,
      hasSecondServer: true,
      next: { ...item.next, kind: 'success' as const },
    }))
  expect(summarise(await playCases(server, cases))).toEqual(NONE_FAILING)
})

/** Guards against a load query whose copy, cut off within its head, joins the response to the call behind it. */
test('the copy of a response to a load query does not join the response to a call', async () => {
  const cuts = Array.from({ length: probeResponse('server-0').length }, (_, index) => index + 1)
  const cases = cuts.flatMap((cut) => [0, 1].map((round) => ({ cut, seed: 10_000 + 1_000 * round + cut })))
  const results = await runInLanes(cases, async ({ cut, seed }): Promise<CaseResult> => {
    const random = seededRandom(seed)
    const server = await startStutteringServer()
    const setup = await startQueryingEntry([server.servers[0]], { document: () => PATIENT_ATTEMPT_DOCUMENT })
    const attempt = idOf('a', seed)
    server.plan(attempt, plan(random, pick(random, NEXT_KINDS), 'length', 'called'))
    const schedule = pick(random, LATE_SCHEDULES)
    server.planProbes({ stutter: { cut, firstBytes: 1 + randomInt(random, cut), schedule } })
    const result = await call(setup, 'POST', attempt)
    const records = server.recordsOf(attempt)
    const wrong = auditCall({ method: 'POST', result, records, mayFail: server.met(attempt) })
    await setup.entry.stop()
    return { name: `cut at ${cut}, ${schedule}, seed ${seed}`, wrong, written: server.written(PROBE_ATTEMPT) }
  })
  expect(summarise(results)).toEqual(NONE_FAILING)
})

/** Guards against a copy, cut off within its head, that joins the response to a load query and changes what follows. */
test('the copy of a response to a call does not join the response to a load query', async () => {
  const seeds = Array.from({ length: 120 }, (_, index) => 20_000 + index)
  const results = await runInLanes(seeds, async (seed): Promise<CaseResult> => {
    const random = seededRandom(seed)
    const own = await startStutteringServer()
    const setup = await startQueryingEntry([own.servers[0]], { document: () => PATIENT_ATTEMPT_DOCUMENT })
    const copied = {
      ...plan(random, pick(random, RESPONSE_KINDS), pick(random, ['length', 'chunked']), 'copied'),
      isNamed: true,
    }
    const attempts = [idOf('a', seed), idOf('b', seed), idOf('c', seed)]
    const { bytes } = createResponse(attempts[0] ?? '', copied)
    const cut = 1 + randomInt(random, bytes.length)
    const stutter = { cut, firstBytes: 1 + randomInt(random, cut), schedule: pick(random, LATE_SCHEDULES) }
    const wrong: string[] = []
    for (const [index, attempt] of attempts.entries()) {
      // A refusal that names no attempt is not believed behind a load query, whether extra bytes precede it or not.
      const response = { ...plan(random, pick(random, NEXT_KINDS), 'length', 'called'), isNamed: true }
      own.plan(attempt, index === 0 ? { ...copied, stutter } : response)
      const result = await call(setup, 'POST', attempt)
      const audit = { method: 'POST', result, records: own.recordsOf(attempt), mayFail: own.met(attempt) } as const
      wrong.push(...auditCall(audit).map((text) => `call ${index}: ${text}`))
    }
    await setup.entry.stop()
    return { name: `cut at ${cut}, seed ${seed}`, wrong, written: own.written(attempts[0] ?? '') }
  })
  expect(summarise(results)).toEqual(NONE_FAILING)
})

/** Guards against keeping, for replays of its key, a response that is joined from two. */
test('a kept response of a keyed request is not joined from two', async () => {
  const server = await startStutteringServer()
  const cases = generateCases('head', LATE_SCHEDULES, 30_000).filter((_, index) => index % 2 === 0)
  const results = await runInLanes(cases, async (item): Promise<CaseResult> => {
    const endings: Ending[] = []
    const claims = {
      claim: (_: unknown, decided: (decision: Decision, claim: Claim) => void) => {
        decided({ kind: 'run' }, { complete: (ending) => endings.push(ending), release: () => undefined })
      },
      settled: () => Promise.resolve(),
    } as never
    const setup = await startEntry([server.servers[0]], {
      dialect: ATTEMPT_DIALECT,
      document: () => PATIENT_ATTEMPT_DOCUMENT,
      claims,
    })
    const [first, second] = [idOf('a', item.seed), idOf('b', item.seed)]
    const { cut, firstBytes, schedule } = item
    server.plan(first, { ...item.copied, stutter: { cut, firstBytes, schedule } })
    server.plan(second, { ...item.next, framing: 'length' })
    await call(setup, 'POST', first)
    const key = createKey(Date.now(), new Uint8Array(10))
    const result = await call(setup, 'POST', second, { path: '/keyed', key })
    const records = server.recordsOf(second)
    const wrong = auditCall({ method: 'POST', result, records, mayFail: server.met(second) })
    for (const ending of endings) {
      if (ending.kind !== 'response') continue
      const body = Buffer.from(ending.body ?? []).toString()
      const isGiven = records.some((record) => record.status === ending.status && record.body === body)
      if (!isGiven) wrong.push(`a kept ${ending.status} that no server gave`)
    }
    if (endings.length === 0 && records.some(({ ran }) => ran)) wrong.push('the key of a request that ran was released')
    await setup.entry.stop()
    return { name: item.name, wrong, written: server.written(first) }
  })
  expect(summarise(results)).toEqual(NONE_FAILING)
})
