/** What a host may ask of a replica between steps. */
import type { LogIndex, NodeId, ReplicaId, Term } from '@bilberrystall/base'
import type { Core } from './core'
import { holdsLease } from './majority'
import type { ReplicaRole, ReplicaSet } from './message'
import type { Role } from './output'
import type { ProgressState } from './progress'

/** What a leader knows of one member other than itself. */
export interface FollowerStatus {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: ReplicaRole
  readonly state: ProgressState
  /** Highest index known to be synced there. */
  readonly match: LogIndex
  /** Receipt of its last message in this term, or the start of the leadership, in milliseconds of the `step` clock. */
  readonly lastContact: number
  /** Whether it holds every committed entry, which a promotion needs. */
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
  /** Empty unless this replica leads. */
  readonly followers: readonly FollowerStatus[]
}

export function statusOf(core: Core): Status {
  return {
    replica: core.replica,
    node: core.node,
    role: core.role(),
    term: core.term,
    leader: core.leader,
    commit: core.commit,
    applied: core.applied,
    lastIndex: core.log.lastIndex,
    snapshotIndex: core.snapshot?.index,
    logEntries: core.log.length,
    logBytes: core.log.bytes,
    replicas: core.sets.current,
    replicasCommitted: core.sets.currentIndex <= core.commit,
    lease: core.lead !== undefined && holdsLease(core, core.lead),
    followers: followersOf(core),
  }
}

function followersOf(core: Core): readonly FollowerStatus[] {
  const followers: FollowerStatus[] = []
  for (const info of core.sets.current) {
    const progress = core.lead?.progress.get(info.replica)
    if (progress === undefined) continue
    const { replica, state, match, lastContact } = progress
    const caughtUp = progress.heard && match >= core.commit
    followers.push({ replica, node: info.node, role: info.role, state, match, lastContact, caughtUp })
  }
  return followers
}
