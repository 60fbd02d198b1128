import { expect, test } from 'vitest'
import { toDigest } from '@bilberrystall/base'
import {
  MAX_DOCUMENT_BYTES,
  MAX_REVISIONS,
  documentInForce,
  emptyState,
  decodeSnapshot,
  encodeSnapshot,
} from '../src/index'
import { PRODUCTION, TRIAL_ENVIRONMENT, change, digestOfText, promote, submit } from './fixture'

test('a resent change gets the first response and has no second effect, also after a restore', () => {
  const state = emptyState()
  const first = change(state, submit('c1', 0))
  const resent = change(state, submit('c1', 0, undefined, { source: '10.0.0.9' }))
  const restored = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap()
  const afterRestore = change(restored, submit('c1', 0))
  expect(first).toMatchObject({ repeated: false, result: { kind: 'accepted', revision: 1 } })
  expect(resent).toEqual({ ...first, repeated: true })
  expect(afterRestore).toEqual(resent)
  expect(documentInForce(restored, TRIAL_ENVIRONMENT)?.revision).toBe(1)
})

test('of two changes with equal base revisions one is accepted and the other gets the current revision', () => {
  const state = emptyState()
  change(state, submit('c1', 0))
  expect(change(state, submit('c2', 0, 'other')).result).toMatchObject({
    kind: 'refused',
    code: 'revisionConflict',
    currentRevision: 1,
  })
  expect(change(state, submit('c3', 1, 'other')).result).toMatchObject({ kind: 'accepted', revision: 2 })
})

test('a change that reuses a change id with different content is refused', () => {
  const state = emptyState()
  change(state, submit('c1', 0))
  expect(change(state, submit('c1', 0, 'forged')).result).toMatchObject({ kind: 'refused', code: 'changeIdReused' })
  expect(change(state, submit('c1', 0)).result.kind).toBe('accepted')
  expect(documentInForce(state, TRIAL_ENVIRONMENT)?.text).toBe('text of c1')
})

test('a refused change stays refused when it is repeated, even if it would be valid by then', () => {
  const state = emptyState()
  const early = change(state, submit('c2', 1))
  change(state, submit('c1', 0))
  expect(change(state, submit('c2', 1))).toEqual({ ...early, repeated: true })
})

test('promotion copies the bytes tested in trial and refuses any other digest or revision', () => {
  const state = emptyState()
  const digest = digestOfText('tested')
  change(state, submit('c1', 0, 'tested'))
  const wrongDigest = change(state, promote('p1', 0, 1, digestOfText('untested')))
  const wrongRevision = change(state, promote('p2', 0, 2, digest))
  const toTrial = change(state, { ...promote('p3', 1, 1, digest), environment: TRIAL_ENVIRONMENT })
  expect([wrongDigest, wrongRevision, toTrial].map(({ result }) => 'code' in result && result.code)).toEqual([
    'notInTrial',
    'notInTrial',
    'requestInvalid',
  ])
  expect(change(state, promote('p4', 0, 1, digest)).result).toEqual({ kind: 'accepted', revision: 1, digest })
  expect(documentInForce(state, PRODUCTION)?.text).toBe('tested')
})

test('an invalid or oversized document changes nothing, and the reason is reported', () => {
  const state = emptyState()
  const faults = [{ section: 'service a', key: 'slots', reason: 'must be positive' }]
  const digest = toDigest('a'.repeat(64))
  const invalid = change(state, submit('c1', 0, '', { content: { validity: 'invalid', digest, faults } }))
  // Each character takes two bytes, so its length in characters is within the limit.
  const oversized = change(state, submit('c2', 0, 'é'.repeat(MAX_DOCUMENT_BYTES / 2 + 1)))
  expect(invalid.result).toMatchObject({ code: 'documentInvalid', faults })
  expect(oversized.result).toMatchObject({ code: 'changeTooLarge' })
  expect(documentInForce(state, TRIAL_ENVIRONMENT)).toBeUndefined()
})

test('memory is bounded: only the newest revisions of an environment are kept', () => {
  const state = emptyState()
  for (let base = 0; base < MAX_REVISIONS + 5; base += 1) change(state, submit(`c${base}`, base))
  const kept = state.environments.get(TRIAL_ENVIRONMENT)?.map((document) => document.revision)
  expect(kept).toHaveLength(MAX_REVISIONS)
  expect(kept?.[0]).toBe(6)
})
