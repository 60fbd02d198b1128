/** Inputs of a replica: everything that the host passes to `step`. */
import type { NodeId, ReplicaId } from '@bilberrystall/base'
import type { Message, Snapshot } from './message'

/** A change of one member of the replica set. Only one change may be in progress at a time. */
export type ReplicaSetChange =
  | { readonly kind: 'add-learner'; readonly replica: ReplicaId; readonly node: NodeId }
  | { readonly kind: 'promote'; readonly replica: ReplicaId }
  | { readonly kind: 'remove'; readonly replica: ReplicaId }

/** Drives timeouts. Expected at least every 50 ms. */
export interface TickInput {
  readonly kind: 'tick'
}

export interface MessageInput {
  readonly kind: 'message'
  readonly message: Message
}

/** Reports that the `persist` output with this number, and all with lower numbers, are synced. */
export interface PersistedInput {
  readonly kind: 'persisted'
  readonly persist: number
}

/** Appends a command. The host chooses the number `proposal`, which `accepted` or `rejected` returns. */
export interface ProposeInput {
  readonly kind: 'propose'
  readonly proposal: number
  readonly command: Uint8Array
}

/**
 * Appends a change of the replica set, with the same outputs as a proposal. A promotion whose learner is in contact but
 * lacks the latest committed entries waits until the learner has them, and is rejected with `replicaBehind` after 1 s.
 */
export interface ChangeReplicaSetInput {
  readonly kind: 'change-replica-set'
  readonly proposal: number
  readonly change: ReplicaSetChange
}

/**
 * Requests an index from which a read of the local state machine is linearizable. `quorum` confirms the leader with a
 * round of messages to a majority. `lease` skips the round while the leader holds its lease, which relies on clocks
 * that run at nearly the same rate. Any member of the replica set may read.
 */
export interface ReadInput {
  readonly kind: 'read'
  readonly read: number
  readonly mode?: 'quorum' | 'lease'
}

/** Transfers leadership to `target`, or to the voter with the longest log, for a graceful shutdown. */
export interface TransferInput {
  readonly kind: 'transfer'
  readonly target?: ReplicaId
}

/** Reports that the snapshot requested by `take-snapshot` is synced to disk. */
export interface SnapshotTakenInput {
  readonly kind: 'snapshot-taken'
  readonly snapshot: Snapshot
}

/**
 * Bootstraps a new cluster with this replica as its only voter. Has no effect on a replica that has a log, a term or a
 * replica set. The host must ensure that only one replica bootstraps a cluster.
 */
export interface BootstrapInput {
  readonly kind: 'bootstrap'
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
  | BootstrapInput
