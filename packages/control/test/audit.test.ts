import { expect, test } from 'vitest'
import {
  MAX_AUDIT_RECORDS,
  AUDIT_SCAN_LIMIT,
  AuditLog,
  emptyState,
  decodeSnapshot,
  encodeSnapshot,
  verifyAudit,
  type AuditEvent,
} from '../src/index'
import { change, submit } from './fixture'

const auditEvent = (at: number): AuditEvent => ({
  at,
  operation: 'submit',
  requester: at % 2 === 0 ? 'asha' : 'jana',
  source: '10.0.0.1',
  environment: 'trial',
  result: at % 3 === 0 ? 'revision-conflict' : 'ok',
})

function auditLogOf(count: number): AuditLog {
  const log = new AuditLog()
  for (let at = 1; at <= count; at += 1) log.append(auditEvent(at))
  return log
}

test('verification detects a changed, removed, reordered or appended record', () => {
  const content = auditLogOf(6).content()
  const { lines } = content
  const forged = lines.map((line, index) => (index === 3 ? line.replace('asha', 'eve') : line))
  const swapped = [lines[1] ?? '', lines[0] ?? '', ...lines.slice(2)]
  expect(verifyAudit(content)).toMatchObject({ intact: true, records: 6 })
  expect(verifyAudit({ ...content, lines: forged })).toEqual({ intact: false, sequence: 5 })
  expect(verifyAudit({ ...content, lines: lines.slice(0, 5) })).toEqual({ intact: false, sequence: 5 })
  expect(verifyAudit({ ...content, lines: lines.slice(1) })).toEqual({ intact: false, sequence: 1 })
  expect(verifyAudit({ ...content, lines: swapped })).toEqual({ intact: false, sequence: 1 })
  expect(verifyAudit({ ...content, lines: [...lines, 'not json'] })).toEqual({ intact: false, sequence: 7 })
})

test('the order of JSON members is fixed, so that a reader that encodes a record again gets the same digest', () => {
  const log = new AuditLog()
  const { at, ...rest } = auditEvent(1)
  log.append({ ...rest, revision: 2, digest: 'd', at })
  expect(log.content().lines[0]).toBe(
    `{"sequence":1,"previous":"${'0'.repeat(64)}","at":1,"operation":"submit","requester":"jana",` +
      '"source":"10.0.0.1","environment":"trial","digest":"d","revision":2,"result":"ok"}',
  )
})

test('the chain remains verifiable after old records were dropped', () => {
  const log = auditLogOf(MAX_AUDIT_RECORDS + 700)
  const content = log.content()
  expect(content.lines).toHaveLength(MAX_AUDIT_RECORDS)
  expect(content.dropped).toBe(700)
  expect(verifyAudit(content).intact).toBe(true)
  expect(log.query({}, 1).records[0]?.sequence).toBe(MAX_AUDIT_RECORDS + 700)
  const state = { ...emptyState(), audit: log }
  const restored = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap()
  for (const audit of [log, restored.audit]) audit.append(auditEvent(1))
  expect(restored.audit.content()).toEqual(log.content())
  expect(verifyAudit(restored.audit.content())).toMatchObject({ intact: true, records: MAX_AUDIT_RECORDS })
  expect(restored.audit.query({}, 1, 702).records[0]?.sequence).toBeUndefined()
  expect(restored.audit.query({}, 1, 703).records[0]?.sequence).toBe(702)
})

test('filters by time, requester, environment and result select exactly the matching records', () => {
  const log = auditLogOf(30)
  const { records } = log.query({ from: 10, until: 20, requester: 'asha', environment: 'trial', result: 'ok' }, 100)
  expect(records.map(({ at }) => at)).toEqual([16, 14, 10])
  expect(log.query({ environment: 'production' }, 100).records).toEqual([])
})

test('paging reads every record once although each call scans a limited number of records', () => {
  const log = auditLogOf(AUDIT_SCAN_LIMIT * 2 + 10)
  const seen: number[] = []
  let before: number | undefined = Number.POSITIVE_INFINITY
  while (before !== undefined) {
    const page = log.query({ requester: 'jana' }, 700, before)
    seen.push(...page.records.map(({ sequence }) => sequence))
    before = page.next
  }
  expect(seen).toHaveLength(AUDIT_SCAN_LIMIT + 5)
  expect(new Set(seen).size).toBe(seen.length)
})

test('accepted, refused and repeated requests are recorded with requester, source and result', () => {
  const state = emptyState()
  change(state, submit('c1', 0))
  change(state, submit('c2', 0))
  change(state, submit('c1', 0))
  const records = state.audit.query({}, 10).records.toReversed()
  expect(records.map(({ changeId, result, repeated }) => ({ changeId, result, repeated }))).toEqual([
    { changeId: 'c1', result: 'ok', repeated: undefined },
    { changeId: 'c2', result: 'revision-conflict', repeated: undefined },
    { changeId: 'c1', result: 'ok', repeated: true },
  ])
  expect(records[0]).toMatchObject({ requester: 'asha', source: '10.0.0.1', at: 1_000, revision: 1 })
})
