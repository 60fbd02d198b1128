import fc from 'fast-check'
import { expect, test } from 'vitest'
import { environmentName, failureDomain, revision, replicaId } from '@bilberrystall/base'
import {
  applyCommand,
  decodeCommand,
  emptyState,
  encodeCommand,
  decodeSnapshot,
  encodeSnapshot,
  type Command,
} from '../src/index'
import { digestOfText, promote, rosterEntry, submit } from './fixture'

const SEED = 20_261
const smallNumber = fc.integer({ min: 0, max: 4 })
const command: fc.Arbitrary<Command> = fc.oneof(
  fc.tuple(smallNumber, smallNumber, smallNumber).map(([id, base, text]) => submit(`c${id}`, base, `text ${text}`)),
  fc
    .tuple(smallNumber, smallNumber, smallNumber, smallNumber)
    .map(([id, base, source, text]) => promote(`p${id}`, base, source, digestOfText(`text ${text}`))),
  fc.tuple(smallNumber, fc.integer({ min: 0, max: 200_000 })).map(([id, at]): Command => {
    return { kind: 'roster-propose', at, entries: [rosterEntry(`n${id}`)] }
  }),
  smallNumber.map((epoch): Command => ({ kind: 'roster-seal', at: 5, epoch: epoch + 1 })),
  smallNumber.map((epoch): Command => ({ kind: 'roster-void', at: 5, epoch: epoch + 1 })),
  smallNumber.map((id): Command => {
    return { kind: 'replica-step', at: id, action: 'promote', replica: replicaId(`r${id}`), reason: 'lost for 60 s' }
  }),
  fc.tuple(smallNumber, smallNumber, fc.constantFrom('start', 'end')).map(([id, domain, action]): Command => {
    const origin = { at: id, requester: 'asha', source: '10.0.0.1' }
    return { kind: 'evacuate', ...origin, action, domain: failureDomain(`d${domain}`), order: `o${id}` }
  }),
  smallNumber.map((id): Command => {
    return { kind: 'refuse', at: id, requester: 'eve', source: '10.0.0.2', code: 'requestInvalid' }
  }),
)

test('replicas that apply the same log, one of them from a snapshot at any point, have equal snapshots', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 40 }), fc.nat(40), (commands, snapshotAt) => {
      const continuous = emptyState()
      let resumed = emptyState()
      commands.forEach((next, index) => {
        if (index === snapshotAt) resumed = decodeSnapshot(encodeSnapshot(resumed))._unsafeUnwrap()
        const decoded = decodeCommand(encodeCommand(next))._unsafeUnwrap()
        expect(applyCommand(resumed, decoded).result).toEqual(applyCommand(continuous, next).result)
      })
      expect(Buffer.compare(encodeSnapshot(continuous), encodeSnapshot(resumed))).toBe(0)
    }),
    { seed: SEED, numRuns: 200 },
  )
})

test('revisions of an environment only ever increase by one', () => {
  fc.assert(
    fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
      const state = emptyState()
      for (const next of commands) applyCommand(state, next)
      for (const kept of state.environments.values()) {
        expect(kept.map((document) => document.revision)).toEqual(kept.map((_, index) => index + 1))
      }
    }),
    { seed: SEED, numRuns: 200 },
  )
})

test('commands and snapshots of another format version are rejected', () => {
  const bytes = encodeCommand(submit('c1', 0))
  const newer = Uint8Array.from(bytes)
  newer[0] = 2
  const snapshotOfNewer = Buffer.from('{"format":2}', 'utf8')
  expect(decodeCommand(newer)._unsafeUnwrapErr().code).toBe('formatUnknown')
  expect(decodeCommand(bytes.subarray(0, 20))._unsafeUnwrapErr().code).toBe('formatUnknown')
  expect(decodeSnapshot(snapshotOfNewer)._unsafeUnwrapErr().code).toBe('formatUnknown')
  expect(decodeSnapshot(Buffer.from('{"form', 'utf8'))._unsafeUnwrapErr().code).toBe('snapshotDamaged')
})

test('a command outside the limits is rejected', () => {
  const outside = submit('c1', 0, 'text', { environment: environmentName('../etc'), baseRevision: revision(-1) })
  expect(decodeCommand(encodeCommand(outside)).isErr()).toBe(true)
})
