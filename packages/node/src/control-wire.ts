/** Protobuf encoding of consensus messages and log entries, for the streams between replicas and for storage. */
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import { logIndex, nodeId, replicaId, term, type LogIndex, type ReplicaId, type Term } from '@bilberrystall/base'
import type { Entry, Message, ReplicaSet, Snapshot } from '@bilberrystall/consensus'
import {
  LogEntryBodySchema,
  ReplicaMessageSchema,
  SnapshotContentSchema,
  type LogEntryBody,
  type LogEntry,
  type ReplicaMessage,
  type ReplicaSet as ReplicaSetMessage,
} from '@bilberrystall/rpc'

type MessageBody = NonNullable<MessageInitShape<typeof ReplicaMessageSchema>['body']>

/** Replica ids of the previous message in a stream; ids are sent only when they change. */
export interface StreamIds {
  from: string
  to: string
}

export function encodeMessage(message: Message, ids: StreamIds): ReplicaMessage {
  const from = message.from === ids.from ? '' : message.from
  const to = message.to === ids.to ? '' : message.to
  ids.from = message.from
  ids.to = message.to
  return create(ReplicaMessageSchema, { from, to, term: BigInt(message.term), body: encodeBody(message) })
}

/** Returns undefined for a message kind that this version does not know. */
export function decodeMessage(message: ReplicaMessage, ids: StreamIds): Message | undefined {
  if (message.from !== '') ids.from = message.from
  if (message.to !== '') ids.to = message.to
  const envelope = { from: replicaId(ids.from), to: replicaId(ids.to), term: term(Number(message.term)) }
  return decodeBody(message.body, envelope)
}

function encodeBody(message: Message): MessageBody {
  switch (message.kind) {
    case 'pre-vote':
      return { case: 'preVote', value: encodePosition(message) }
    case 'vote':
      return { case: 'vote', value: { ...encodePosition(message), transfer: message.transfer } }
    case 'pre-vote-response':
      return { case: 'preVoteResponse', value: { granted: message.granted } }
    case 'vote-response':
      return { case: 'voteResponse', value: { granted: message.granted } }
    case 'append': {
      const { previousIndex, previousTerm, commit, entries } = message
      const positions = {
        previousIndex: BigInt(previousIndex),
        previousTerm: BigInt(previousTerm),
        commit: BigInt(commit),
      }
      return { case: 'append', value: { ...encodeRound(message), ...positions, entries: entries.map(encodeEntry) } }
    }
    case 'append-response': {
      const { accepted, match, hint } = message
      const value = { ...encodeRound(message), accepted, match: BigInt(match), hint: BigInt(hint) }
      return { case: 'appendResponse', value }
    }
    case 'snapshot-chunk': {
      const { index, term: indexTerm, replicas } = message.position
      const position = { index: BigInt(index), indexTerm: BigInt(indexTerm), replicas: encodeReplicas(replicas) }
      const chunk = { size: BigInt(message.size), offset: BigInt(message.offset), data: message.data }
      return { case: 'snapshotChunk', value: { ...encodeRound(message), ...position, ...chunk } }
    }
    case 'snapshot-response': {
      const { index, offset, installed } = message
      const value = { ...encodeRound(message), index: BigInt(index), offset: BigInt(offset), installed }
      return { case: 'snapshotResponse', value }
    }
    case 'transfer':
      return { case: 'transfer', value: {} }
    case 'read-request':
      return { case: 'readRequest', value: { read: BigInt(message.read) } }
    case 'read-response': {
      const { read, confirmed, index } = message
      return { case: 'readResponse', value: { read: BigInt(read), confirmed, index: BigInt(index) } }
    }
  }
}

interface Envelope {
  readonly from: ReplicaId
  readonly to: ReplicaId
  readonly term: Term
}

function decodeBody(body: ReplicaMessage['body'], envelope: Envelope): Message | undefined {
  switch (body.case) {
    case 'preVote':
      return { kind: 'pre-vote', ...envelope, ...decodePosition(body.value) }
    case 'vote':
      return { kind: 'vote', ...envelope, ...decodePosition(body.value), transfer: body.value.transfer }
    case 'preVoteResponse':
      return { kind: 'pre-vote-response', ...envelope, granted: body.value.granted }
    case 'voteResponse':
      return { kind: 'vote-response', ...envelope, granted: body.value.granted }
    case 'append': {
      const { previousIndex, previousTerm, commit, entries } = body.value
      const positions = {
        previousIndex: toIndex(previousIndex),
        previousTerm: toTerm(previousTerm),
        commit: toIndex(commit),
      }
      const decoded = entries.map(decodeEntry)
      return { kind: 'append', ...envelope, ...decodeRound(body.value), ...positions, entries: decoded }
    }
    case 'appendResponse': {
      const { accepted, match, hint } = body.value
      const positions = { match: toIndex(match), hint: toIndex(hint) }
      return { kind: 'append-response', ...envelope, ...decodeRound(body.value), accepted, ...positions }
    }
    case 'snapshotChunk': {
      const { index, indexTerm, replicas, size, offset, data } = body.value
      const position = { index: toIndex(index), term: toTerm(indexTerm), replicas: decodeReplicas(replicas) }
      const chunk = { size: Number(size), offset: Number(offset), data }
      return { kind: 'snapshot-chunk', ...envelope, ...decodeRound(body.value), position, ...chunk }
    }
    case 'snapshotResponse': {
      const { index, offset, installed } = body.value
      const progress = { index: toIndex(index), offset: Number(offset), installed }
      return { kind: 'snapshot-response', ...envelope, ...decodeRound(body.value), ...progress }
    }
    case 'transfer':
      return { kind: 'transfer', ...envelope }
    case 'readRequest':
      return { kind: 'read-request', ...envelope, read: Number(body.value.read) }
    case 'readResponse': {
      const { read, confirmed, index } = body.value
      return { kind: 'read-response', ...envelope, read: Number(read), confirmed, index: toIndex(index) }
    }
    case undefined:
      return undefined
  }
}

const toIndex = (value: bigint): LogIndex => logIndex(Number(value))
const toTerm = (value: bigint): Term => term(Number(value))

function encodePosition(message: { readonly lastIndex: LogIndex; readonly lastTerm: Term }) {
  return { lastIndex: BigInt(message.lastIndex), lastTerm: BigInt(message.lastTerm) }
}

function decodePosition(value: { readonly lastIndex: bigint; readonly lastTerm: bigint }) {
  return { lastIndex: toIndex(value.lastIndex), lastTerm: toTerm(value.lastTerm) }
}

function encodeRound(message: { readonly round: number; readonly sentAt: number }) {
  return { round: BigInt(message.round), sentAt: message.sentAt }
}

function decodeRound(value: { readonly round: bigint; readonly sentAt: number }) {
  return { round: Number(value.round), sentAt: value.sentAt }
}

function encodeEntry(entry: Entry) {
  return { index: BigInt(entry.index), term: BigInt(entry.term), body: encodeEntryBody(entry) }
}

function decodeEntry(message: LogEntry): Entry {
  return decodeEntryBody({ index: toIndex(message.index), term: toTerm(message.term) }, message.body)
}

function encodeEntryBody(entry: Entry): LogEntryBody {
  switch (entry.kind) {
    case 'no-op':
      return create(LogEntryBodySchema)
    case 'command':
      return create(LogEntryBodySchema, { body: { case: 'command', value: entry.command } })
    case 'replica-set':
      return create(LogEntryBodySchema, { body: { case: 'replicas', value: encodeReplicas(entry.replicas) } })
  }
}

function decodeEntryBody(
  position: { readonly index: LogIndex; readonly term: Term },
  message: LogEntryBody | undefined,
): Entry {
  const body = message?.body
  switch (body?.case) {
    case 'command':
      return { ...position, kind: 'command', command: body.value }
    case 'replicas':
      return { ...position, kind: 'replica-set', replicas: decodeReplicas(body.value) }
    case undefined:
      return { ...position, kind: 'no-op' }
  }
}

function encodeReplicas(replicas: ReplicaSet) {
  const members = replicas.map(({ replica, node, role }) => ({ replica, node, voter: role === 'voter' }))
  return { $typeName: 'bilberrystall.v1.ReplicaSet' as const, members: members.map(withTypeName) }
}

function withTypeName(member: { replica: string; node: string; voter: boolean }) {
  return { $typeName: 'bilberrystall.v1.ReplicaMember' as const, ...member }
}

function decodeReplicas(message: ReplicaSetMessage | undefined): ReplicaSet {
  return (message?.members ?? []).map(({ replica, node, voter }) => ({
    replica: replicaId(replica),
    node: nodeId(node),
    role: voter ? 'voter' : 'learner',
  }))
}

/** Encodes an entry for storage, without its index and term. */
export function encodeEntryData(entry: Entry): Uint8Array {
  return toBinary(LogEntryBodySchema, encodeEntryBody(entry))
}

export function decodeEntryData(stored: { index: LogIndex; term: Term; data: Uint8Array }): Entry {
  return decodeEntryBody({ index: stored.index, term: stored.term }, fromBinary(LogEntryBodySchema, stored.data))
}

export function encodeSnapshotData(snapshot: Snapshot): Uint8Array {
  const content = { replicas: encodeReplicas(snapshot.replicas), data: snapshot.data }
  return toBinary(SnapshotContentSchema, create(SnapshotContentSchema, content))
}

export function decodeSnapshotData(stored: { index: LogIndex; term: Term; data: Uint8Array }): Snapshot {
  const { replicas, data } = fromBinary(SnapshotContentSchema, stored.data)
  return { index: stored.index, term: stored.term, replicas: decodeReplicas(replicas), data }
}
