/** Outputs of a replica, which the host executes in the given order. */
import type { Failure, LogIndex, ReplicaId, Term } from '@bilberrystall/base'
import type { Ballot, Entry, Message, Snapshot, SnapshotPosition } from './message'

/** A change of the stored state. */
export type PersistRecord =
  | { readonly kind: 'ballot'; readonly ballot: Ballot }
  /** Consecutive entries. They replace all stored entries from the first index on. */
  | { readonly kind: 'append'; readonly entries: readonly Entry[] }
  /** A snapshot received from the leader. It replaces the stored snapshot and all stored entries. */
  | { readonly kind: 'install'; readonly snapshot: Snapshot }
  /** Entries up to and including `through` are covered by the stored snapshot and may be discarded. */
  | { readonly kind: 'compact'; readonly through: LogIndex }

/**
 * Records to store, in order. The number `persist` increases by one per output. The host syncs the records without
 * blocking and then passes `persisted`. It may sync several outputs at once and report only the last number.
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

/** Consecutive entries of any kind that are committed and synced to the local disk. */
export interface ApplyOutput {
  readonly kind: 'apply'
  readonly entries: readonly Entry[]
}

/** The host replaces the state machine's state by a snapshot that was received from the leader and synced. */
export interface RestoreOutput {
  readonly kind: 'restore'
  readonly snapshot: Snapshot
}

/**
 * The host stores a snapshot of its state machine at `index` and passes `snapshot-taken` once it is synced. The
 * snapshot is used to compact the log or to bring a follower up to date. The index may be the one of the stored
 * snapshot.
 */
export interface TakeSnapshotOutput {
  readonly kind: 'take-snapshot'
  readonly position: SnapshotPosition
}

/**
 * The proposal was appended to the log. It has taken effect once `apply` contains an entry with this index and term.
 */
export interface AcceptedOutput {
  readonly kind: 'accepted'
  readonly proposal: number
  readonly index: LogIndex
  readonly term: Term
}

/** The proposal was not appended to any log. */
export interface RejectedOutput {
  readonly kind: 'rejected'
  readonly proposal: number
  readonly failure: Failure
  readonly leader: ReplicaId | undefined
}

/** Entries up to the confirmed `index` are applied, so a read of the local state machine is linearizable. */
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

/** `idle` is a replica that is not in its current replica set, `learner` a member without a vote. */
export type Role = 'idle' | 'learner' | 'follower' | 'candidate' | 'leader'

/** The role, the term or the known leader changed. */
export interface RoleOutput {
  readonly kind: 'role'
  readonly role: Role
  readonly term: Term
  readonly leader: ReplicaId | undefined
}

/** A transfer of leadership failed. This replica stays leader if it still is one. */
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
