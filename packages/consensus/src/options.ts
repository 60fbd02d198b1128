/** Options of a replica: identity, stored state, and timeouts and size limits with their defaults. */
import type { NodeId, RandomSource, ReplicaId } from '@bilberrystall/base'
import type { Ballot, Entry, Snapshot } from './message'

/** State that the host loaded from its disk. Entries are consecutive and may start before the snapshot. */
export interface StoredState {
  readonly ballot?: Ballot
  readonly snapshot?: Snapshot
  readonly entries?: readonly Entry[]
}

/** Timeouts and size limits of a replica. */
export interface Limits {
  /**
   * Time after a start during which a replica grants no pre-vote, in milliseconds: a restart loses the time of the last
   * message from a leader, whose lease may still be valid. May be 0 if no read relies on the lease.
   */
  readonly startupVoteDelay: number
  /**
   * Longest random delay of the first election after a start, in milliseconds. After a power loss the cluster has no
   * leader until this election.
   */
  readonly firstElection: number
  /** Interval between heartbeats of a leader, in milliseconds. */
  readonly heartbeatInterval: number
  /** Shortest election timeout, in milliseconds. */
  readonly minElectionTimeout: number
  /** Longest election timeout, in milliseconds. */
  readonly maxElectionTimeout: number
  /** Time without contact to a majority after which a leader steps down, in milliseconds. */
  readonly majorityTimeout: number
  /**
   * Duration of the leader lease from the sending of a confirmed heartbeat, in milliseconds. Less than
   * `minElectionTimeout`.
   */
  readonly leaseDuration: number
  /** Time after which a leader steps down if its oldest write is still not synced, in milliseconds. */
  readonly syncTimeout: number
  /** Time after which a read that is not confirmed fails, in milliseconds. */
  readonly readTimeout: number
  /** Maximum number of entries in one append message. */
  readonly maxBatchEntries: number
  /** Maximum size of the entries in one append message, in bytes. A larger entry is sent alone. */
  readonly maxBatchBytes: number
  /** Maximum number of append messages with entries that one follower has not answered. */
  readonly maxInFlightAppends: number
  /** Maximum size of a command, in bytes. */
  readonly maxCommandBytes: number
  /** Maximum size of the entries that are appended and not yet applied, in bytes. */
  readonly maxUnappliedBytes: number
  /** Number of log entries that triggers a snapshot. */
  readonly logEntries: number
  /** Log size that triggers a snapshot, in bytes. */
  readonly logBytes: number
  /** Number of entries applied since the last snapshot that triggers the next one. A restart replays these entries. */
  readonly replayEntries: number
  /**
   * Raises `replayEntries` by one for every this many bytes of the last snapshot, so that large snapshots stay rare.
   */
  readonly replayBytes: number
  /** Maximum number of entries kept after a snapshot, so that a follower slightly behind needs no snapshot. */
  readonly keptEntries: number
  /** Maximum size of the entries kept after a snapshot, in bytes. */
  readonly keptBytes: number
  /** Size of a snapshot chunk, in bytes. */
  readonly chunkBytes: number
  /** Maximum size of a snapshot received from a leader, in bytes. */
  readonly maxSnapshotBytes: number
  /** Maximum number of pending reads at one replica. */
  readonly maxPendingReads: number
}

export const DEFAULT_LIMITS: Limits = {
  startupVoteDelay: 600,
  firstElection: 1_200,
  heartbeatInterval: 100,
  minElectionTimeout: 600,
  maxElectionTimeout: 1_200,
  majorityTimeout: 1_000,
  // The 100 ms below the shortest election timeout tolerate clock rates that differ by up to one sixth.
  leaseDuration: 500,
  syncTimeout: 2_000,
  readTimeout: 1_000,
  maxBatchEntries: 256,
  maxBatchBytes: 256 * 1024,
  maxInFlightAppends: 8,
  maxCommandBytes: 1024 * 1024,
  maxUnappliedBytes: 2 * 1024 * 1024,
  logEntries: 1_000,
  logBytes: 4 * 1024 * 1024,
  replayEntries: 4,
  replayBytes: 256 * 1024,
  keptEntries: 200,
  keptBytes: 1024 * 1024,
  chunkBytes: 64 * 1024,
  maxSnapshotBytes: 64 * 1024 * 1024,
  maxPendingReads: 1_000,
}

export interface ReplicaOptions {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly random: RandomSource
  /** Time of construction in milliseconds, on the clock that `step` uses. */
  readonly now: number
  readonly stored?: StoredState
  /**
   * Bootstraps a new cluster with this replica as its only voter. Has no effect if stored state exists. Set it only on
   * an explicit decision of the operator: a second bootstrap creates a second cluster.
   */
  readonly bootstrap?: boolean
  readonly limits?: Partial<Limits>
}
