/**
 * Guards against taking a second copy of an earlier refusal, which a faulty server writes on a kept connection, for the
 * response to the next request: its caller would be told that it has not run.
 */
import { failureDomain, seededRandom } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { DEFAULT_DIALECT, type Dialect } from '../src/index'
import { DOCUMENT, respond, sendCall, startEntry, startFakeServer, type ReceivedRequest } from './harness'

const NAMED: Dialect = { ...DEFAULT_DIALECT, attemptHeader: 'x-attempt', attemptIds: 'caller' }
const ROUNDS = 10

const refuse = (received: ReceivedRequest, fields: readonly string[] = []) => {
  respond(received, 'busy', ['bilberrystall-not-run: 1', ...fields], '503 Service Unavailable')
}

test.each([
  ['without attempt ids', DEFAULT_DIALECT],
  ['with attempt ids that the refusal does not name', NAMED],
])('a refusal that is written again never answers the next request, %s', async (_name, dialect) => {
  const ran = new Set<string>()
  const refusedOn = new Set<unknown>()
  const server = await startFakeServer((received) => {
    const { socket, body, head } = received
    if (refusedOn.has(socket)) {
      refuse(received)
      ran.add(body)
      return
    }
    if (!body.endsWith('refused')) {
      ran.add(body)
      respond(received, 'done', [/^x-attempt: .*$/im.exec(head)?.[0] ?? 'x-none: 1'])
      return
    }
    refusedOn.add(socket)
    refuse(received)
  })
  const { origin } = await startEntry([server], { dialect })
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const body of [`${round} refused`, `${round}`]) {
      const headers = { 'x-attempt': body }
      const result = await sendCall(`${origin}/write`, { method: 'POST', body, headers })
      expect({ body, notRun: result.outcome === 'not-run' && ran.has(body) }).toEqual({ body, notRun: false })
    }
  }
})

test('a refused load query does not leave a second refusal to the call that follows it', async () => {
  const document = parseDocument(`${DOCUMENT}\n`)._unsafeUnwrap()
  const ran = new Set<string>()
  const refusedOn = new Set<unknown>()
  const server = await startFakeServer((received) => {
    const isQuery = received.head.startsWith('GET /.bilberrystall/probe')
    if (isQuery && !refusedOn.has(received.socket)) {
      refusedOn.add(received.socket)
      refuse(received)
      return
    }
    if (isQuery) {
      respond(received, '', ['bilberrystall-load: inflight=0;slots=3;queue=0'])
      return
    }
    ran.add(received.body)
    refuse(received)
  })
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), loadQueries })
  const { origin } = await startEntry([server], { router, document: () => document, dialect: NAMED })
  for (let round = 0; round < ROUNDS; round += 1) {
    const headers = { 'x-attempt': `${round}` }
    const result = await sendCall(`${origin}/write`, { method: 'POST', body: `${round}`, headers })
    const lastUse = server.received.findLast(({ body }) => body === `${round}`)
    const isReused = (lastUse?.requestIndex ?? 0) > 0 && refusedOn.has(lastUse?.socket)
    expect({ round, isReused, outcome: result.outcome }).toEqual({ round, isReused: false, outcome: result.outcome })
  }
  expect(ran.size).toBeLessThanOrEqual(ROUNDS)
})
