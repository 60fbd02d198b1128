/** Records of the log and their encoding as protobuf messages, which the rpc package defines. */
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import { err, ok, type Result } from 'neverthrow'
import { errorMessage, failure, type Failure, type LogIndex, type ReplicaId, type Term } from '@bilberrystall/base'
import {
  LogFrameSchema,
  type LogRecord as LogRecordMessage,
  type LogRecordSchema,
  type StoredBallot as StoredBallotMessage,
} from '@bilberrystall/rpc'

export interface StoredBallot {
  readonly term: Term
  readonly votedFor: ReplicaId | undefined
}

export interface StoredEntry {
  readonly index: LogIndex
  readonly term: Term
  readonly data: Uint8Array
}

/** An entry replaces all stored entries with the same or a higher index. */
export type LogRecord =
  { readonly kind: 'ballot'; readonly ballot: StoredBallot } | { readonly kind: 'entry'; readonly entry: StoredEntry }

export interface SegmentStart {
  readonly kind: 'start'
  readonly ballot: StoredBallot
  readonly lastIndex: LogIndex
  readonly lastTerm: Term
  /** Whether a snapshot up to `lastIndex` replaces all earlier entries. */
  readonly reset: boolean
}

export type FrameRecord = LogRecord | SegmentStart

export function encodeRecords(records: readonly FrameRecord[]): Uint8Array {
  return toBinary(LogFrameSchema, create(LogFrameSchema, { records: records.map(encodeRecord) }))
}

/** The checksum has been verified, so a payload that cannot be decoded was written by another version. */
export function decodeRecords(payload: Uint8Array): Result<readonly FrameRecord[], Failure> {
  try {
    const { records } = fromBinary(LogFrameSchema, payload)
    return ok(records.map(({ record }) => decodeRecord(record)))
  } catch (cause) {
    return err(failure('formatUnknown', `cannot decode a log record: ${errorMessage(cause)}`))
  }
}

type RecordMessage = MessageInitShape<typeof LogRecordSchema>

function encodeRecord(record: FrameRecord): RecordMessage {
  switch (record.kind) {
    case 'ballot':
      return { record: { case: 'ballot', value: encodeBallot(record.ballot) } }
    case 'entry': {
      const { index, term, data } = record.entry
      return { record: { case: 'entry', value: { index: BigInt(index), term: BigInt(term), data } } }
    }
    case 'start': {
      const lastIndex = BigInt(record.lastIndex)
      const lastTerm = BigInt(record.lastTerm)
      const value = { ballot: encodeBallot(record.ballot), lastIndex, lastTerm, reset: record.reset }
      return { record: { case: 'start', value } }
    }
  }
}

function encodeBallot(ballot: StoredBallot): { term: bigint; votedFor: string } {
  return { term: BigInt(ballot.term), votedFor: ballot.votedFor ?? '' }
}

function decodeRecord(record: LogRecordMessage['record']): FrameRecord {
  switch (record.case) {
    case 'ballot':
      return { kind: 'ballot', ballot: decodeBallot(record.value) }
    case 'entry': {
      const { index, term, data } = record.value
      return { kind: 'entry', entry: { index: Number(index) as LogIndex, term: Number(term) as Term, data } }
    }
    case 'start': {
      const { ballot, lastIndex, lastTerm, reset } = record.value
      if (ballot === undefined) throw new Error('the segment start has no ballot')
      return {
        kind: 'start',
        ballot: decodeBallot(ballot),
        lastIndex: Number(lastIndex) as LogIndex,
        lastTerm: Number(lastTerm) as Term,
        reset,
      }
    }
    case undefined:
      throw new Error('unknown record kind')
  }
}

function decodeBallot(message: StoredBallotMessage): StoredBallot {
  const votedFor = message.votedFor === '' ? undefined : (message.votedFor as ReplicaId)
  return { term: Number(message.term) as Term, votedFor }
}
