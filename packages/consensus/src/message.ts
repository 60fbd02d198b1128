/**
 * Entries of the replicated log, the replica set, snapshots, and the messages between replicas. All of it is plain data:
 * the transport and the disk shell encode it and never interpret it.
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

/** Appended by every new leader so that it can commit what earlier terms left. */
export interface NoOpEntry extends EntryPosition {
  readonly kind: 'no-op'
}

/** An opaque command of the state machine. */
export interface CommandEntry extends EntryPosition {
  readonly kind: 'command'
  readonly command: Uint8Array
}

/** The complete replica set, in force at each replica from the moment the entry is in its log. */
export interface ReplicaSetEntry extends EntryPosition {
  readonly kind: 'replica-set'
  readonly replicas: ReplicaSet
}

export type Entry = NoOpEntry | CommandEntry | ReplicaSetEntry

/** Current term and the vote given in it; synced before any message that depends on it. */
export interface Ballot {
  readonly term: Term
  readonly votedFor: ReplicaId | undefined
}

/** Position of a snapshot: the last entry it covers and the replica set in force at that entry. */
export interface SnapshotPosition {
  readonly index: LogIndex
  readonly term: Term
  readonly replicas: ReplicaSet
}

/** State of the state machine after the entry at `index`. */
export interface Snapshot extends SnapshotPosition {
  readonly data: Uint8Array
}

interface Envelope {
  readonly from: ReplicaId
  /** A replica drops a message that is addressed to another id, for example to the id of a lost disk. */
  readonly to: ReplicaId
  readonly term: Term
}

/** Asks whether an election in `term` could succeed; changes no state at the receiver. */
export interface PreVoteMessage extends Envelope {
  readonly kind: 'pre-vote'
  readonly lastIndex: LogIndex
  readonly lastTerm: Term
}

/** `term` is the requested term when granted, else the term of the sender. */
export interface PreVoteResponseMessage extends Envelope {
  readonly kind: 'pre-vote-response'
  readonly granted: boolean
}

export interface VoteMessage extends Envelope {
  readonly kind: 'vote'
  readonly lastIndex: LogIndex
  readonly lastTerm: Term
  /** Set when the leader handed over: the receiver then does not wait for the old leader to fall silent. */
  readonly transfer: boolean
}

export interface VoteResponseMessage extends Envelope {
  readonly kind: 'vote-response'
  readonly granted: boolean
}

/** Fields that a follower returns unchanged, so that the leader can confirm reads and extend its lease. */
export interface Probe {
  /** Number of the read round at the time of sending. */
  readonly round: number
  /** Leader's own clock at the time of sending, in milliseconds. */
  readonly sentAt: number
}

/** Entries after `previousIndex`; without entries it is a heartbeat. */
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
  /** Highest index that matches the leader's log and is synced at the sender. */
  readonly match: LogIndex
  /** When not accepted: the leader continues at most from the entry after this index. */
  readonly hint: LogIndex
}

/** One piece of the leader's snapshot. */
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
  /** True once the snapshot is synced or already covered by the sender's log. */
  readonly installed: boolean
}

/** Asks the receiver to start an election now. */
export interface TransferMessage extends Envelope {
  readonly kind: 'transfer'
}

/** Asks the leader for a confirmed commit index on behalf of a read at another replica. */
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
