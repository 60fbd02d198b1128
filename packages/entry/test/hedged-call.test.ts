/** Guards against hedged attempts beyond what the operator allows, and against losing count of them. */
import { failureDomain, seededRandom, serviceName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { HedgingPolicies, Router, type HedgeTotals, type RetryLimits } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { respond, sendCall, startEntry, startFakeServer, waitUntil, type ReceivedRequest } from './harness'

const DOCUMENT = parseDocument(`
[document]
title = test
[service.booking]
[route.read]
service = booking
path = /read
repeatable = yes
target = 200ms
deadline = 40s
[route.single]
service = booking
path = /single
repeatable = yes
attempts = 1
target = 200ms
deadline = 40s
[route.write]
service = booking
path = /write
methods = POST
target = 200ms
deadline = 40s
`)._unsafeUnwrap()

const SERVICE = serviceName('booking')
const LIMITS = { connectMs: 4_000 }
/** On a busy machine no load query is late, no hedged attempt too late and no request unanswered by this clock. */
const SLOW_CLOCK = { monotonic: () => performance.now() / 100, unix: () => Date.now() }
const SLOW_MS = 700
const isProbe = ({ head }: ReceivedRequest) => head.startsWith('GET /.bilberrystall/probe')

interface Setup {
  readonly limit: number | undefined
  readonly retries?: RetryLimits
  /** Whether servers have no free slot once one of them has a call. */
  readonly fillsUp?: boolean
}

/** Two servers, of which the first that gets a call answers it after `SLOW_MS`, and the other one at once. */
async function start({ limit, retries = { minimum: 1_000 }, fillsUp = false }: Setup) {
  const calls: ReceivedRequest[] = []
  const handler = (received: ReceivedRequest) => {
    const inflight = fillsUp && calls.length > 0 ? 3 : 0
    const load = [`bilberrystall-load: inflight=${inflight};slots=3;queue=${inflight}`]
    if (isProbe(received)) {
      respond(received, '', load)
      return
    }
    calls.push(received)
    if (calls.length === 1) setTimeout(respond, SLOW_MS, received, 'slow')
    else respond(received, 'fast')
  }
  const servers = [await startFakeServer(handler), await startFakeServer(handler)]
  const hedging = new HedgingPolicies({ defaultLimit: limit })
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), loadQueries })
  router.configure(SERVICE, { retries }, 0)
  const { origin } = await startEntry(servers, {
    router,
    hedging,
    document: () => DOCUMENT,
    limits: LIMITS,
    clock: SLOW_CLOCK,
  })
  return { origin, calls, totals: hedging.of(SERVICE).totals, policy: hedging.of(SERVICE) }
}

/** Results and denials that are not 0. */
function counted({ results, denials }: HedgeTotals) {
  return Object.fromEntries(Object.entries({ ...results, ...denials }).filter(([, total]) => total > 0))
}

test.each([undefined, 1])(
  'with a limit of %s the first response wins and the connection of the loser is closed',
  async (limit) => {
    const { origin, calls, totals, policy } = await start({ limit })
    expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200, text: 'fast' })
    expect(calls).toHaveLength(2)
    expect(counted(totals)).toEqual({ won: 1 })
    expect(policy.extraWorkPercent(SLOW_CLOCK.monotonic())).toBe(100)
    await waitUntil(() => calls[0]!.socket.destroyed || calls[0]!.socket.readableEnded)
  },
)

test('a limit of 0% leaves the call to its server', async () => {
  const { origin, calls, totals } = await start({ limit: 0 })
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200, text: 'slow' })
  expect(calls).toHaveLength(1)
  expect(counted(totals)).toEqual({})
})

test.each([
  ['the limit amounts to none', '/read', { limit: 0.1 }, 'limit'],
  ['the retry budget is used up', '/read', { limit: 1, retries: { share: 0, minimum: 0, burst: 0 } }, 'retry-budget'],
  ['no server has a free slot', '/read', { limit: 1, fillsUp: true }, 'no-free-server'],
  ['the call has no attempt left', '/single', { limit: 1 }, 'not-resendable'],
])('a call is not hedged when %s, and the denial is counted once', async (_, path, setup, reason) => {
  const { origin, calls, totals } = await start(setup)
  expect(await sendCall(`${origin}${path}`)).toMatchObject({ status: 200, text: 'slow' })
  expect(calls).toHaveLength(1)
  expect(counted(totals)).toEqual({ [reason]: 1 })
})

test('a call that may not be repeated is not hedged', async () => {
  const { origin, calls, totals } = await start({ limit: 1 })
  expect(await sendCall(`${origin}/write`, { method: 'POST', body: 'x' })).toMatchObject({ text: 'slow' })
  expect(calls).toHaveLength(1)
  expect(counted(totals)).toEqual({})
})
