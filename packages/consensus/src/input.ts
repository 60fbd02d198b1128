/** Inputs of a replica: everything that reaches it from the host. */
import type { NodeId, ReplicaId } from '@bilberrystall/base'
import type { Message, Snapshot } from './message'

/** One step of the replica set. Only one may be in progress at a time. */
export type ReplicaSetChange =
  | { readonly kind: 'add-learner'; readonly replica: ReplicaId; readonly node: NodeId }
  | { readonly kind: 'promote'; readonly replica: ReplicaId }
  | { readonly kind: 'remove'; readonly replica: ReplicaId }

/** Passage of time; expected at least every 50 ms. */
export interface TickInput {
  readonly kind: 'tick'
}

export interface MessageInput {
  readonly kind: 'message'
  readonly message: Message
}

/** The `persist` output with this number, and all with lower numbers, are synced. */
export interface PersistedInput {
  readonly kind: 'persisted'
  readonly persist: number
}

/** Appends a command. The host chooses `proposal` and finds it again in `accepted` or `rejected`. */
export interface ProposeInput {
  readonly kind: 'propose'
  readonly proposal: number
  readonly command: Uint8Array
}

/**
 * Appends a change of the replica set; answered like a proposal. A promotion whose learner is in contact but lacks the
 * entries committed last is answered once it holds them, or refused with `replicaBehind` after 1 s.
 */
export interface ChangeReplicaSetInput {
  readonly kind: 'change-replica-set'
  readonly proposal: number
  readonly change: ReplicaSetChange
}

/**
 * Asks for a point from which a read of the local state machine is not stale. `quorum` asks a majority; `lease` skips the
 * round while the leader holds its lease, which relies on clocks that run at nearly the same rate. Any member may read.
 */
export interface ReadInput {
  readonly kind: 'read'
  readonly read: number
  readonly mode?: 'quorum' | 'lease'
}

/** Hands leadership to `target`, or to the most advanced voter, for a graceful shutdown. */
export interface TransferInput {
  readonly kind: 'transfer'
  readonly target?: ReplicaId
}

/** Answer to `take-snapshot`: the snapshot is synced on disk. */
export interface SnapshotTakenInput {
  readonly kind: 'snapshot-taken'
  readonly snapshot: Snapshot
}

/**
 * Starts a new cluster with this replica as the only voter. It has no effect on a replica that holds anything; the host
 * has to see to it that only one replica founds a cluster.
 */
export interface FoundInput {
  readonly kind: 'found'
}

export type Input =
  | TickInput
  | MessageInput
  | PersistedInput
  | ProposeInput
  | ChangeReplicaSetInput
  | ReadInput
  | TransferInput
  | SnapshotTakenInput
  | FoundInput
