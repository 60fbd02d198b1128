/** Generates cases of extra copies of responses, and plays them with three calls behind each other. */
import { randomInt, seededRandom, serviceName, type RandomSource } from '@bilberrystall/base'
import { Router } from '@bilberrystall/routing'
import { setTimeout as sleep } from 'node:timers/promises'
import { addServer, sendCall, startEntry, waitUntil, type CallResult, type Setup } from '../harness'
import { ATTEMPT_DIALECT, PATIENT_ATTEMPT_DOCUMENT } from './attempt-dialect'
import { auditCall } from './response-audit'
import {
  createResponse,
  type ResponseKind,
  type ResponsePlan,
  type Schedule,
  type StutteringServer,
} from './stuttering-server'

type Method = 'GET' | 'POST'

export interface StrayCase {
  readonly name: string
  readonly seed: number
  readonly copied: ResponsePlan
  readonly next: ResponsePlan
  readonly method: Method
  readonly schedule: Schedule
  /** Number of bytes of the copy that are written. */
  readonly cut: number
  readonly firstBytes: number
  /** Whether the next request is sent some time after the copy was written; otherwise right away. */
  readonly waits: boolean
  /** Whether a second server is known as soon as the next request was sent, so that it can be sent again. */
  readonly hasSecondServer: boolean
}

export interface CaseResult {
  readonly name: string
  readonly wrong: readonly string[]
  /** Whether the server wrote the extra bytes; it cannot if the entry has closed the connection. */
  readonly written: boolean
}

export const RESPONSE_KINDS: readonly ResponseKind[] = ['success', 'failure', 'refusal', 'interim']
export const NEXT_KINDS: readonly ResponseKind[] = ['success', 'failure', 'refusal']
const COPIED_FRAMINGS = ['length', 'chunked'] as const
const NEXT_FRAMINGS = ['length', 'chunked', 'close'] as const
const METHODS: readonly Method[] = ['GET', 'POST']
/** Cuts of the body of each kind and framing. */
const BODY_SAMPLE = 20
/** Cases in progress at a time. */
const LANES = 24

export const pick = <Item>(random: RandomSource, items: readonly Item[]): Item => {
  const item = items[randomInt(random, items.length)]
  if (item === undefined) throw new Error('nothing to pick from')
  return item
}
const chance = (random: RandomSource): boolean => random() < 0.5

export function plan(
  random: RandomSource,
  kind: ResponseKind,
  framing: ResponsePlan['framing'],
  name: string,
): ResponsePlan {
  return {
    kind,
    framing,
    isNamed: chance(random),
    isFailureSigned: chance(random),
    attemptLast: chance(random),
    body: `body of ${name} ${'.'.repeat(randomInt(random, 60))}`,
  }
}

export type Region = 'head' | 'body'

/** Ids have one length, so that the size of a head does not depend on them. */
export const idOf = (letter: string, seed: number): string => `${letter}${String(seed).padStart(6, '0')}`

/** Returns a case for each byte of the head, or for a sample of the body, of each kind of response and framing. */
export function generateCases(region: Region, schedules: readonly Schedule[], seed: number): StrayCase[] {
  const cases: StrayCase[] = []
  for (const kind of RESPONSE_KINDS) {
    for (const framing of COPIED_FRAMINGS) {
      const base = seededRandom(seed + cases.length)
      const copied = { ...plan(base, kind, framing, 'copied'), isNamed: true }
      const { bytes, headBytes } = createResponse(idOf('a', 0), copied)
      const bodyCuts = Array.from({ length: BODY_SAMPLE }, () => headBytes + randomInt(base, bytes.length - headBytes))
      const cuts =
        region === 'head'
          ? Array.from({ length: headBytes - 1 }, (_, index) => index + 1)
          : [headBytes, ...bodyCuts, bytes.length]
      for (const cut of cuts) {
        const caseSeed = seed + 1_000 + cases.length
        const random = seededRandom(caseSeed)
        cases.push({
          name: `${kind}, ${framing}, cut at ${cut} of ${bytes.length}, seed ${caseSeed}`,
          seed: caseSeed,
          copied: { ...copied, attemptLast: chance(random) },
          next: plan(random, pick(random, NEXT_KINDS), pick(random, NEXT_FRAMINGS), 'next'),
          method: pick(random, METHODS),
          schedule: pick(random, schedules),
          cut,
          firstBytes: 1 + randomInt(random, Math.max(1, cut - 1)),
          waits: chance(random),
          hasSecondServer: chance(random),
        })
      }
    }
  }
  return cases
}

const PATHS: Readonly<Record<Method, string>> = { GET: '/read', POST: '/write' }

export interface CallVariation {
  readonly path?: string
  readonly key?: string
}

/** Resolves to undefined if the connection ends without a whole response. */
export function call(
  { origin }: Setup,
  method: Method,
  attempt: string,
  { path = PATHS[method], key }: CallVariation = {},
): Promise<CallResult | undefined> {
  const headers = { 'x-attempt': attempt, 'x-left': '20000', ...(key === undefined ? {} : { 'idempotency-key': key }) }
  const body = method === 'POST' ? { body: attempt } : {}
  return sendCall(`${origin}${path}`, { method, headers, ...body }).catch(() => undefined)
}

/** Enough for a retry of each call; the budget of a new entry allows one, which a refusal of the first call takes. */
const RETRIES = { minimum: 1_000 }

export function start(server: StutteringServer): Promise<Setup> {
  const router = new Router({ random: seededRandom(1) })
  router.configure(serviceName('booking'), { retries: RETRIES }, performance.now())
  return startEntry([server.servers[0]], { dialect: ATTEMPT_DIALECT, document: () => PATIENT_ATTEMPT_DOCUMENT, router })
}

/** Only the second call may meet the extra bytes that follow the response to the first one. */
async function playCase(server: StutteringServer, item: StrayCase): Promise<CaseResult> {
  const setup = await start(server)
  const [first, second, third] = [idOf('a', item.seed), idOf('b', item.seed), idOf('c', item.seed)]
  const { schedule, cut, firstBytes, method } = item
  server.plan(first, { ...item.copied, stutter: { cut, firstBytes, schedule } })
  server.plan(second, item.next)
  server.plan(third, { ...item.next, kind: 'success', framing: 'length', body: 'the one after' })
  if (item.hasSecondServer) {
    server.onMet(second, () => {
      addServer(setup.entry, server.servers[1], 1)
    })
  }
  const results = [await call(setup, 'POST', first)]
  if (['attached', 'idle', 'idle-split'].includes(schedule)) await waitUntil(() => server.written(first))
  if (item.waits) await sleep(4)
  results.push(await call(setup, method, second), await call(setup, 'POST', third))
  const calls = [
    { name: 'first', method: 'POST', attempt: first },
    { name: 'next', method, attempt: second },
    { name: 'third', method: 'POST', attempt: third },
  ] as const
  const wrong = calls.flatMap(({ name, attempt, ...audited }, index) => {
    const audit = {
      ...audited,
      result: results[index],
      records: server.recordsOf(attempt),
      mayFail: server.met(attempt),
    }
    return auditCall(audit).map((text) => `${name}: ${text}`)
  })
  await setup.entry.stop()
  return { name: item.name, wrong, written: server.written(first) }
}

export function playCases(server: StutteringServer, cases: readonly StrayCase[]): Promise<CaseResult[]> {
  return runInLanes(cases, (item) => playCase(server, item))
}

const FAILURES_SHOWN = 5

export interface Summary {
  /** Number of failing cases. */
  readonly failing: number
  /** Number of cases with each kind of failure. */
  readonly symptoms: Readonly<Record<string, number>>
  readonly examples: readonly string[]
}

export function summarise(results: readonly CaseResult[]): Summary {
  const failed = results.filter(({ wrong }) => wrong.length > 0)
  const symptoms: Record<string, number> = {}
  for (const { wrong } of failed) for (const text of new Set(wrong)) symptoms[text] = (symptoms[text] ?? 0) + 1
  const examples = failed.slice(0, FAILURES_SHOWN).map(({ name, wrong }) => `${name}: ${wrong.join('; ')}`)
  return { failing: failed.length, symptoms, examples }
}

export const NONE_FAILING: Summary = { failing: 0, symptoms: {}, examples: [] }

export async function runInLanes<Item, Result>(
  items: readonly Item[],
  run: (item: Item) => Promise<Result>,
): Promise<Result[]> {
  const results: Result[] = []
  const queue = [...items]
  const lane = async () => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) results.push(await run(item))
  }
  await Promise.all(Array.from({ length: LANES }, lane))
  return results
}
