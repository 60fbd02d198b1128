/** Status of a replica, which a host may request between steps. */
import type { LogIndex, NodeId, ReplicaId, Term } from '@bilberrystall/base'
import type { ReplicaCore } from './replica-core'
import { holdsLease, hasCommittedInTerm } from './majority'
import type { ReplicaRole, ReplicaSet } from './message'
import type { Role } from './output'
import type { ProgressState } from './progress'

/** What the leader knows about another member of the replica set. */
export interface FollowerStatus {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: ReplicaRole
  readonly state: ProgressState
  /** Highest index known to be synced at the member. */
  readonly match: LogIndex
  /** Time of its last message in this term, or of the leader's election, in milliseconds on the clock of `step`. */
  readonly lastContact: number
  /** Whether it has every committed entry, which a promotion requires. */
  readonly caughtUp: boolean
}

export interface Status {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: Role
  readonly term: Term
  readonly leader: ReplicaId | undefined
  readonly commit: LogIndex
  readonly applied: LogIndex
  readonly lastIndex: LogIndex
  readonly snapshotIndex: LogIndex | undefined
  readonly logEntries: number
  readonly logBytes: number
  readonly replicas: ReplicaSet
  /** False while a change of the replica set is in progress. */
  readonly replicasCommitted: boolean
  readonly lease: boolean
  /**
   * Time on the clock of `step` up to which the applied state includes every committed entry, or negative infinity if
   * unknown. It relies on the leader lease, so it can bound staleness but cannot replace a linearizable read.
   */
  readonly currentAt: number
  /** Empty unless this replica is the leader. */
  readonly followers: readonly FollowerStatus[]
}

export function statusOf(core: ReplicaCore): Status {
  return {
    replica: core.replica,
    node: core.node,
    role: core.role(),
    term: core.term,
    leader: core.leader,
    commit: core.commitIndex,
    applied: core.appliedIndex,
    lastIndex: core.log.lastIndex,
    snapshotIndex: core.snapshot?.index,
    logEntries: core.log.length,
    logBytes: core.log.bytes,
    replicas: core.replicaSets.current,
    replicasCommitted: core.replicaSets.currentIndex <= core.commitIndex,
    lease: core.leaderState !== undefined && holdsLease(core, core.leaderState),
    currentAt: currentAt(core),
    followers: followersOf(core),
  }
}

function currentAt(core: ReplicaCore): number {
  const { leaderState, lastLeaderCommit } = core
  if (leaderState !== undefined) {
    const isCurrent = holdsLease(core, leaderState) && hasCommittedInTerm(core) && core.appliedIndex >= core.commitIndex
    return isCurrent ? core.now : Number.NEGATIVE_INFINITY
  }
  return lastLeaderCommit !== undefined && core.appliedIndex >= lastLeaderCommit.commitIndex
    ? lastLeaderCommit.at
    : Number.NEGATIVE_INFINITY
}

function followersOf(core: ReplicaCore): readonly FollowerStatus[] {
  const followers: FollowerStatus[] = []
  for (const info of core.replicaSets.current) {
    const progress = core.leaderState?.progress.get(info.replica)
    if (progress === undefined) continue
    const { replica, state, match, lastContact } = progress
    const caughtUp = progress.hasResponded && match >= core.commitIndex
    followers.push({ replica, node: info.node, role: info.role, state, match, lastContact, caughtUp })
  }
  return followers
}
