import { expect, test } from 'vitest'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { logIndex, nodeId, replicaId, term } from '@bilberrystall/base'
import type { Entry, Message, ReplicaSet } from '@bilberrystall/consensus'
import { ReplicaMessageSchema } from '@bilberrystall/rpc'
import { decodeEntryData, decodeMessage, encodeEntryData, encodeMessage } from '../src/control-wire'

const replicas: ReplicaSet = [
  { replica: replicaId('a/1'), node: nodeId('a'), role: 'voter' },
  { replica: replicaId('b/2'), node: nodeId('b'), role: 'learner' },
]
const entryPosition = (index: number) => ({ index: logIndex(index), term: term(2) })
const entries: Entry[] = [
  { ...entryPosition(1), kind: 'no-op' },
  { ...entryPosition(2), kind: 'command', command: Uint8Array.of(1, 2, 3) },
  { ...entryPosition(3), kind: 'replica-set', replicas },
  { ...entryPosition(4), kind: 'command', command: new Uint8Array(0) },
  { ...entryPosition(5), kind: 'replica-set', replicas: [] },
]
const ids = { from: replicaId('a/1'), to: replicaId('b/2'), term: term(3) }
const last = { lastIndex: logIndex(7), lastTerm: term(2) }
const roundFields = { round: 9, sentAt: 1234.5678 }
const messages: Message[] = [
  { kind: 'pre-vote', ...ids, ...last },
  { kind: 'pre-vote-response', ...ids, granted: true },
  { kind: 'vote', ...ids, ...last, transfer: true },
  { kind: 'vote-response', ...ids, granted: false },
  {
    kind: 'append',
    ...ids,
    ...roundFields,
    previousIndex: logIndex(0),
    previousTerm: term(0),
    entries,
    commit: logIndex(2),
  },
  { kind: 'append-response', ...ids, ...roundFields, accepted: true, match: logIndex(5), hint: logIndex(4) },
  {
    kind: 'snapshot-chunk',
    ...ids,
    ...roundFields,
    position: { ...entryPosition(4), replicas },
    size: 3,
    offset: 1,
    data: Uint8Array.of(1, 2),
  },
  { kind: 'snapshot-response', ...ids, ...roundFields, index: logIndex(4), offset: 3, installed: true },
  { kind: 'transfer', ...ids },
  { kind: 'read-request', ...ids, read: 2 ** 48 },
  { kind: 'read-response', ...ids, read: 2 ** 48, confirmed: true, index: logIndex(4) },
  { kind: 'transfer', ...ids, to: replicaId('c/3') },
]

test('every message kind survives a round trip, and ids are sent only when they change', () => {
  const sender = { from: '', to: '' }
  const receiver = { from: '', to: '' }
  const wire = messages.map((message) => toBinary(ReplicaMessageSchema, encodeMessage(message, sender)))
  const received = wire.map((bytes) => decodeMessage(fromBinary(ReplicaMessageSchema, bytes), receiver))
  expect(received).toEqual(messages)
  expect(fromBinary(ReplicaMessageSchema, wire[1] ?? new Uint8Array()).from).toBe('')
})

test('every entry kind survives a round trip through storage', () => {
  const read = entries.map((entry) => decodeEntryData({ ...entry, data: encodeEntryData(entry) }))
  expect(read).toEqual(entries)
})
