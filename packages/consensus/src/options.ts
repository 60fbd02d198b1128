/** Construction of a replica: identity, stored state and limits with their defaults. */
import type { NodeId, Random, ReplicaId } from '@bilberrystall/base'
import type { Ballot, Entry, Snapshot } from './message'

/** What the host read back from its disk. Entries are in order of index without gaps and may start before the snapshot. */
export interface StoredState {
  readonly ballot?: Ballot
  readonly snapshot?: Snapshot
  readonly entries?: readonly Entry[]
}

export interface Limits {
  /**
   * Time after a start for which a replica grants no pre-vote, because it forgot when it last heard a leader whose lease
   * may run, in milliseconds. 0 where nobody relies on the lease for confirmed reads.
   */
  readonly startSilence: number
  /** Longest time after a start before the first election, in milliseconds; after a loss of power all wait for it. */
  readonly firstElection: number
  /** Interval between heartbeats of a leader, in milliseconds. */
  readonly heartbeat: number
  /** Shortest time without a leader before an election, in milliseconds. */
  readonly electionMin: number
  /** Longest time without a leader before an election, in milliseconds. */
  readonly electionMax: number
  /** A leader that hears from no majority for this time steps down, in milliseconds. */
  readonly majorityTimeout: number
  /** Length of the leader lease from the sending of a confirmed heartbeat, in milliseconds; below `electionMin`. */
  readonly lease: number
  /** A leader whose oldest write is not synced after this time steps down, in milliseconds. */
  readonly syncTimeout: number
  /** A read that is not confirmed in this time fails, in milliseconds. */
  readonly readTimeout: number
  /** Most entries in one append message. */
  readonly batchEntries: number
  /** Most bytes of commands in one append message; one larger entry is sent alone. */
  readonly batchBytes: number
  /** Most append messages with entries to one follower without a response. */
  readonly inFlight: number
  /** Largest command, in bytes. */
  readonly commandBytes: number
  /** Most bytes of entries appended and not yet applied. */
  readonly uncommittedBytes: number
  /** Log length that triggers a snapshot, in entries. */
  readonly logEntries: number
  /** Log size that triggers a snapshot, in bytes. */
  readonly logBytes: number
  /** Fewest entries applied since the last snapshot that lead to the next one: a restart applies them all again. */
  readonly replayEntries: number
  /** Each part of the last snapshot of this many bytes adds one to them, so that large snapshots stay rare. */
  readonly replayBytes: number
  /** Entries kept after a snapshot so that a follower slightly behind needs no snapshot. */
  readonly keptEntries: number
  /** Most bytes of the entries kept after a snapshot. */
  readonly keptBytes: number
  /** Bytes of one snapshot chunk. */
  readonly chunkBytes: number
  /** Largest snapshot accepted from a leader, in bytes. */
  readonly snapshotBytes: number
  /** Most reads waiting at one replica. */
  readonly reads: number
}

export const DEFAULT_LIMITS: Limits = {
  startSilence: 600,
  firstElection: 1_200,
  heartbeat: 100,
  electionMin: 600,
  electionMax: 1_200,
  majorityTimeout: 1_000,
  // 100 ms below the shortest election timeout allow for clocks whose rates differ by up to a sixth.
  lease: 500,
  syncTimeout: 2_000,
  readTimeout: 1_000,
  batchEntries: 256,
  batchBytes: 256 * 1024,
  inFlight: 8,
  commandBytes: 1024 * 1024,
  uncommittedBytes: 2 * 1024 * 1024,
  logEntries: 1_000,
  logBytes: 4 * 1024 * 1024,
  replayEntries: 4,
  replayBytes: 256 * 1024,
  keptEntries: 200,
  keptBytes: 1024 * 1024,
  chunkBytes: 64 * 1024,
  snapshotBytes: 64 * 1024 * 1024,
  reads: 1_000,
}

export interface ReplicaOptions {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly random: Random
  /** Time of construction in milliseconds, on the clock that `step` uses. */
  readonly now: number
  readonly stored?: StoredState
  /**
   * Starts a new cluster with this replica as the only voter. It has no effect when stored state exists. To be set only
   * by an explicit decision of the operator: a second bootstrap creates a second cluster.
   */
  readonly bootstrap?: boolean
  readonly limits?: Partial<Limits>
}
