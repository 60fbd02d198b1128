/**
 * Entries of the replicated log, the replica set, snapshots, and the messages between replicas. These are plain data:
 * the transport and the disk storage encode them without interpreting them.
 */
import type { LogIndex, NodeId, ReplicaId, Term } from '@bilberrystall/base'

/** A voter counts for majorities. A learner receives the log and has no vote. */
export type ReplicaRole = 'voter' | 'learner'

/** One member of the replica set. */
export interface ReplicaInfo {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: ReplicaRole
}

export type ReplicaSet = readonly ReplicaInfo[]

interface EntryPosition {
  readonly index: LogIndex
  readonly term: Term
}

/** Appended by every new leader, so that it can commit entries of earlier terms. */
export interface NoOpEntry extends EntryPosition {
  readonly kind: 'no-op'
}

/** A command for the state machine, opaque to the log. */
export interface CommandEntry extends EntryPosition {
  readonly kind: 'command'
  readonly command: Uint8Array
}

/**
 * The complete replica set. It takes effect at a replica as soon as the entry is in its log, before it is committed.
 */
export interface ReplicaSetEntry extends EntryPosition {
  readonly kind: 'replica-set'
  readonly replicas: ReplicaSet
}

export type Entry = NoOpEntry | CommandEntry | ReplicaSetEntry

/** The current term and the vote cast in it. Synced before any message that depends on it is sent. */
export interface Ballot {
  readonly term: Term
  readonly votedFor: ReplicaId | undefined
}

/** Position of a snapshot: index and term of the last entry it covers, and the replica set at that entry. */
export interface SnapshotPosition {
  readonly index: LogIndex
  readonly term: Term
  readonly replicas: ReplicaSet
}

/** Encoded state of the state machine after the entry at `index`. */
export interface Snapshot extends SnapshotPosition {
  readonly data: Uint8Array
}

interface Envelope {
  readonly from: ReplicaId
  /** A replica drops messages that are addressed to another id, for example to the id of its lost disk. */
  readonly to: ReplicaId
  readonly term: Term
}

/** Asks whether an election in `term` could succeed. Does not change the state of the receiver. */
export interface PreVoteMessage extends Envelope {
  readonly kind: 'pre-vote'
  readonly lastIndex: LogIndex
  readonly lastTerm: Term
}

/** `term` is the requested term if the pre-vote is granted, otherwise the term of the sender. */
export interface PreVoteResponseMessage extends Envelope {
  readonly kind: 'pre-vote-response'
  readonly granted: boolean
}

export interface VoteMessage extends Envelope {
  readonly kind: 'vote'
  readonly lastIndex: LogIndex
  readonly lastTerm: Term
  /**
   * Set if the leader transferred its leadership: the receiver then votes although it is in contact with that leader.
   */
  readonly transfer: boolean
}

export interface VoteResponseMessage extends Envelope {
  readonly kind: 'vote-response'
  readonly granted: boolean
}

/**
 * Fields that a follower returns unchanged in its response, so that the leader can confirm reads and extend its lease.
 */
export interface Probe {
  /** Number of the read round at the time of sending. */
  readonly round: number
  /** Time of sending on the leader's clock, in milliseconds. */
  readonly sentAt: number
}

/** Entries after `previousIndex`. An append without entries is a heartbeat. */
export interface AppendMessage extends Envelope, Probe {
  readonly kind: 'append'
  readonly previousIndex: LogIndex
  readonly previousTerm: Term
  readonly entries: readonly Entry[]
  readonly commit: LogIndex
}

export interface AppendResponseMessage extends Envelope, Probe {
  readonly kind: 'append-response'
  readonly accepted: boolean
  /** Highest index at which the sender's log matches the leader's log and is synced. */
  readonly match: LogIndex
  /** If not accepted: the leader retries from the entry after this index or from an earlier one. */
  readonly hint: LogIndex
}

/** A part of the leader's snapshot. */
export interface SnapshotChunkMessage extends Envelope, Probe {
  readonly kind: 'snapshot-chunk'
  readonly position: SnapshotPosition
  readonly size: number
  readonly offset: number
  readonly data: Uint8Array
}

export interface SnapshotResponseMessage extends Envelope, Probe {
  readonly kind: 'snapshot-response'
  readonly index: LogIndex
  /** Offset of the next byte the sender needs. */
  readonly offset: number
  /** True once the snapshot is synced, or if the sender's log already covers it. */
  readonly installed: boolean
}

/** Tells the target of a leadership transfer to start an election immediately. */
export interface TransferMessage extends Envelope {
  readonly kind: 'transfer'
}

/** Requests a confirmed commit index from the leader for a read at the sender. */
export interface ReadRequestMessage extends Envelope {
  readonly kind: 'read-request'
  readonly read: number
}

export interface ReadResponseMessage extends Envelope {
  readonly kind: 'read-response'
  readonly read: number
  readonly confirmed: boolean
  readonly index: LogIndex
}

export type Message =
  | PreVoteMessage
  | PreVoteResponseMessage
  | VoteMessage
  | VoteResponseMessage
  | AppendMessage
  | AppendResponseMessage
  | SnapshotChunkMessage
  | SnapshotResponseMessage
  | TransferMessage
  | ReadRequestMessage
  | ReadResponseMessage
