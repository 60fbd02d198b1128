/** Guards against a slow server that stays in use because hedged attempts overtake each of its calls. */
import { failureDomain, seededRandom, serverId, serviceName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { HedgingPolicies, Router, type ServerChange } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { respond, sendCall, startEntry, startFakeServer, type ReceivedRequest } from './harness'

const DOCUMENT = parseDocument(`
[document]
title = test
[service.booking]
[route.read]
service = booking
path = /read
repeatable = yes
target = 400ms
deadline = 30s
`)._unsafeUnwrap()

const FREE_LOAD = 'bilberrystall-load: inflight=0;slots=3;queue=0'
/** Longer than a call can last when it is hedged. */
const SLOW_MS = 10_000
const MAX_CALLS = 100

test('a server whose calls are all overtaken is ejected as slow', async () => {
  const answer = (delayMs: number) => (received: ReceivedRequest) => {
    const isProbe = received.head.startsWith('GET /.bilberrystall/probe')
    if (isProbe || delayMs === 0) respond(received, 'done', [FREE_LOAD])
    else setTimeout(respond, delayMs, received, 'done', [FREE_LOAD])
  }
  const servers = await Promise.all([SLOW_MS, 0, 0].map((delayMs) => startFakeServer(answer(delayMs))))
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), loadQueries })
  router.configure(serviceName('booking'), { retries: { minimum: 1_000 } }, 0)
  const changes: ServerChange[] = []
  const { origin } = await startEntry(servers, {
    router,
    hedging: new HedgingPolicies({ defaultLimit: 1 }),
    document: () => DOCUMENT,
    limits: { connectMs: 4_000, silenceMs: 10_000 },
    events: { serverChanged: (change) => changes.push(change) },
  })
  const isEjected = () => changes.some((change) => change.kind === 'ejected' && change.server === serverId('server-0'))
  for (let call = 0; call < MAX_CALLS && !isEjected(); call += 1) {
    expect((await sendCall(`${origin}/read`)).status).toBe(200)
  }
  expect(isEjected()).toBe(true)
})
