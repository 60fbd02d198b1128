/** Outputs of a replica: everything the host carries out, in the given order. */
import type { Failure, LogIndex, ReplicaId, Term } from '@bilberrystall/base'
import type { Ballot, Entry, Message, Snapshot, SnapshotPosition } from './message'

/** One change of the stored state. */
export type PersistRecord =
  | { readonly kind: 'ballot'; readonly ballot: Ballot }
  /** Entries in order of index without gaps. Stored entries from the first index on are discarded first. */
  | { readonly kind: 'append'; readonly entries: readonly Entry[] }
  /** A snapshot received from the leader. It replaces the stored snapshot and the whole stored log. */
  | { readonly kind: 'install'; readonly snapshot: Snapshot }
  /** Entries up to and including `through` are covered by the stored snapshot and may be discarded. */
  | { readonly kind: 'compact'; readonly through: LogIndex }

/**
 * Records to store, in order. Numbers increase by one. The host syncs them without blocking and then sends `persisted`;
 * it may sync several outputs at once and report only the last number.
 */
export interface PersistOutput {
  readonly kind: 'persist'
  readonly persist: number
  readonly records: readonly PersistRecord[]
}

export interface SendOutput {
  readonly kind: 'send'
  readonly message: Message
}

/** Committed entries, in order without gaps and synced on the local disk, of every kind. */
export interface ApplyOutput {
  readonly kind: 'apply'
  readonly entries: readonly Entry[]
}

/** The state machine is to be replaced by the state of a snapshot that was received and synced. */
export interface RestoreOutput {
  readonly kind: 'restore'
  readonly snapshot: Snapshot
}

/**
 * The host stores a snapshot of its state machine as of `index` and answers with `snapshot-taken` once it is synced. The
 * request serves to shorten the log or to bring a follower up to date; it may repeat the index of the stored snapshot.
 */
export interface TakeSnapshotOutput {
  readonly kind: 'take-snapshot'
  readonly position: SnapshotPosition
}

/** The proposal has a place in the log. It took effect when `apply` shows this index with this term. */
export interface AcceptedOutput {
  readonly kind: 'accepted'
  readonly proposal: number
  readonly index: LogIndex
  readonly term: Term
}

/** The proposal was not appended anywhere. */
export interface RejectedOutput {
  readonly kind: 'rejected'
  readonly proposal: number
  readonly failure: Failure
  readonly leader: ReplicaId | undefined
}

/** Everything up to `index` has been applied here, so a read of the local state machine is not stale. */
export interface ReadReadyOutput {
  readonly kind: 'read-ready'
  readonly read: number
  readonly index: LogIndex
}

export interface ReadFailedOutput {
  readonly kind: 'read-failed'
  readonly read: number
  readonly failure: Failure
  readonly leader: ReplicaId | undefined
}

/** `idle` is a replica outside every replica set it knows, `learner` one without a vote. */
export type Role = 'idle' | 'learner' | 'follower' | 'candidate' | 'leader'

/** Role, term or leader hint changed. */
export interface RoleOutput {
  readonly kind: 'role'
  readonly role: Role
  readonly term: Term
  readonly leader: ReplicaId | undefined
}

/** A requested transfer of leadership did not complete; this replica goes on as leader if it still is one. */
export interface TransferFailedOutput {
  readonly kind: 'transfer-failed'
  readonly failure: Failure
}

export type Output =
  | PersistOutput
  | SendOutput
  | ApplyOutput
  | RestoreOutput
  | TakeSnapshotOutput
  | AcceptedOutput
  | RejectedOutput
  | ReadReadyOutput
  | ReadFailedOutput
  | RoleOutput
  | TransferFailedOutput
