/**
 * Checks over a majority of voters, made by the leader: contact, lease, confirmed read rounds and committed entries.
 */
import { logIndex, type LogIndex } from '@bilberrystall/base'
import type { ReplicaCore, LeaderState } from './replica-core'
import type { Progress } from './progress'

/** Whether a majority of voters satisfies `predicate`. The leader counts as satisfying it if it is a voter. */
function majoritySatisfies(
  core: ReplicaCore,
  leaderState: LeaderState,
  predicate: (progress: Progress) => boolean,
): boolean {
  let count = 0
  for (const voter of core.replicaSets.voters) {
    const progress = leaderState.progress.get(voter.replica)
    if (voter.replica === core.replica || (progress !== undefined && predicate(progress))) count += 1
  }
  return count >= core.replicaSets.majority
}

export function hasMajorityContact(core: ReplicaCore, leaderState: LeaderState): boolean {
  const since = core.now - core.limits.majorityTimeout
  return majoritySatisfies(core, leaderState, (progress) => progress.lastContact > since)
}

export function holdsLease(core: ReplicaCore, leaderState: LeaderState): boolean {
  const since = core.now - core.limits.leaseDuration
  return !leaderState.leaseRevoked && majoritySatisfies(core, leaderState, (progress) => progress.confirmedAt > since)
}

export function isRoundConfirmed(core: ReplicaCore, leaderState: LeaderState, round: number): boolean {
  return majoritySatisfies(core, leaderState, (progress) => progress.round >= round)
}

/** Whether an entry of the current term is committed. Before that, earlier leaders may have committed more entries. */
export function hasCommittedInTerm(core: ReplicaCore): boolean {
  return core.log.termAt(core.commitIndex) === core.term
}

/** Highest index that is synced at a majority of voters. */
function majorityMatchIndex(core: ReplicaCore, leaderState: LeaderState): LogIndex {
  const matches = core.replicaSets.voters.map((voter) =>
    voter.replica === core.replica
      ? core.persistence.durableIndex
      : (leaderState.progress.get(voter.replica)?.match ?? 0),
  )
  matches.sort((left, right) => right - left)
  return logIndex(matches[core.replicaSets.majority - 1] ?? 0)
}

/**
 * Advances the commit index to the highest index that a majority has synced. Only an entry of the current term may be
 * committed by counting; it commits the entries before it.
 */
export function advanceCommit(core: ReplicaCore, leaderState: LeaderState): boolean {
  const index = majorityMatchIndex(core, leaderState)
  if (index <= core.commitIndex || core.log.termAt(index) !== core.term) return false
  core.commitIndex = index
  return true
}
