/** Calls over the quota of their organisation, and calls that wait for the decision. Load: single calls. */
import { parseDocument } from '@bilberrystall/document'
import type { QuotaDecision, SettledQuota } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { DOCUMENT, respond, sendCall, startEntry, startFakeServer, waitUntil } from './harness'

const document = parseDocument(`${DOCUMENT}\n[organisation.north]\nkeys = k1\n`)._unsafeUnwrap()
const QUOTA_EXCEEDED = 28

async function startWithQuota(decision: QuotaDecision) {
  const server = await startFakeServer((received) => {
    respond(received, 'ran')
  })
  const taken: string[] = []
  const { origin, results } = await startEntry([server], {
    document: () => document,
    admission: {
      areKeysConfirmed: () => true,
      takeQuota: (organisation) => {
        taken.push(organisation)
        return decision
      },
    },
  })
  const call = (options = {}) => sendCall(`${origin}/read`, { headers: { authorization: 'Bearer k1' }, ...options })
  return { server, taken, results, call, origin }
}

function pending() {
  let settle: ((settled: SettledQuota) => void) | undefined
  const decision: QuotaDecision = {
    kind: 'pending',
    onSettled: (listener) => {
      settle = listener
    },
  }
  return { decision, isAwaited: () => settle !== undefined, settle: (settled: SettledQuota) => settle?.(settled) }
}

test('a call over the quota gets 429 with a time to wait and does not run', async () => {
  const { server, taken, call } = await startWithQuota({ kind: 'refused', retryAfterMs: 1_500 })
  const result = await call()
  expect(result).toMatchObject({ status: 429, code: QUOTA_EXCEEDED, outcome: 'not-run' })
  expect(result.headers['retry-after']).toBe('2')
  expect(taken).toEqual(['north'])
  expect(server.received).toEqual([])
})

// Guards against a call that reaches a server before its quota is known.
test('a call whose quota is not decided yet reaches no server until it is admitted', async () => {
  const quota = pending()
  const { server, call } = await startWithQuota(quota.decision)
  const result = call()
  await waitUntil(quota.isAwaited)
  expect(server.received).toEqual([])
  quota.settle({ kind: 'admitted' })
  expect(await result).toMatchObject({ status: 200, text: 'ran' })
})

test('a call that waits for its quota gets 429 when it is refused, also with a body', async () => {
  const quota = pending()
  const { server, call, origin, results } = await startWithQuota(quota.decision)
  const result = call()
  await waitUntil(quota.isAwaited)
  quota.settle({ kind: 'refused', retryAfterMs: 100 })
  expect(await result).toMatchObject({ status: 429, code: QUOTA_EXCEEDED, outcome: 'not-run' })
  const withBody = sendCall(`${origin}/write`, {
    method: 'POST',
    body: 'content',
    headers: { authorization: 'Bearer k1' },
  })
  await waitUntil(() => results.length === 1 && quota.isAwaited())
  const settling = setInterval(() => {
    quota.settle({ kind: 'refused', retryAfterMs: 100 })
  }, 10)
  expect(await withBody).toMatchObject({ status: 429, code: QUOTA_EXCEEDED })
  clearInterval(settling)
  expect(server.received).toEqual([])
})

// Guards against a call that starts after its caller has given up.
test('a call whose deadline passes while it waits for its quota does not run', async () => {
  const quota = pending()
  const { server, origin } = await startWithQuota(quota.decision)
  const result = await sendCall(`${origin}/brief`, { headers: { authorization: 'Bearer k1' } })
  expect(result).toMatchObject({ status: 503, outcome: 'not-run' })
  quota.settle({ kind: 'admitted' })
  await new Promise((resolve) => setTimeout(resolve, 50))
  expect(server.received).toEqual([])
})
