/** Proposals to the leader: commands, and changes of one member of the replica set. */
import { failure, logIndex, type CodeName, type Failure, type ReplicaId } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { ReplicaCore, LeaderState } from './replica-core'
import type { ChangeReplicaSetInput, ProposeInput, ReplicaSetChange } from './input'
import { hasCommittedInTerm } from './majority'
import type { Entry, ReplicaSet } from './message'
import { broadcast, updateFollowers } from './replication'

export function propose(core: ReplicaCore, input: ProposeInput): void {
  const rejection = rejectionCode(core, input.command.byteLength)
  if (rejection !== undefined) {
    core.rejectProposal(input.proposal, failure(rejection))
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendProposal(core, input.proposal, { kind: 'command', index, term: core.term, command: input.command })
}

export function changeReplicaSet(core: ReplicaCore, input: ChangeReplicaSetInput): void {
  if (core.leaderState?.promotion !== undefined) {
    core.rejectProposal(input.proposal, failure('replicaSetBusy'))
    return
  }
  const changed = checkChange(core, input.change)
  const awaitsLearner =
    changed.isErr() && changed.error.code === 'replicaBehind' && isInContact(core, input.change.replica)
  if (core.leaderState !== undefined && awaitsLearner) {
    // The caller saw the learner as caught up. Entries committed since then are still being sent to it.
    core.leaderState.promotion = { input, deadline: core.now + core.limits.majorityTimeout }
    return
  }
  finishChange(core, input.proposal, changed)
}

/** Completes a promotion that waits for its learner, or rejects it at the deadline. */
export function advancePromotion(core: ReplicaCore): void {
  const promotion = core.leaderState?.promotion
  if (core.leaderState === undefined || promotion === undefined) return
  const changed = checkChange(core, promotion.input.change)
  if (changed.isErr() && changed.error.code === 'replicaBehind' && core.now < promotion.deadline) return
  core.leaderState.promotion = undefined
  finishChange(core, promotion.input.proposal, changed)
}

function isInContact(core: ReplicaCore, replica: ReplicaId): boolean {
  const progress = core.leaderState?.progress.get(replica)
  return progress?.hasResponded === true && core.now - progress.lastContact < core.limits.majorityTimeout
}

function checkChange(core: ReplicaCore, change: ReplicaSetChange): Result<ReplicaSet, Failure> {
  const rejection = rejectionCode(core, 0)
  if (core.leaderState === undefined || rejection !== undefined) return err(failure(rejection ?? 'notLeader'))
  return nextReplicaSet(core, core.leaderState, change)
}

function finishChange(core: ReplicaCore, proposal: number, changed: Result<ReplicaSet, Failure>): void {
  if (changed.isErr()) {
    core.rejectProposal(proposal, changed.error)
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendProposal(core, proposal, { kind: 'replica-set', index, term: core.term, replicas: changed.value })
}

function rejectionCode(core: ReplicaCore, bytes: number): CodeName | undefined {
  if (core.leaderState === undefined || core.leaderState.transfer !== undefined) return 'notLeader'
  if (bytes > core.limits.maxCommandBytes) return 'changeTooLarge'
  // Entries stay in memory until they are committed and synced to the local disk.
  if (core.leaderState.unappliedBytes + bytes > core.limits.maxUnappliedBytes) return 'logBacklog'
  return undefined
}

function appendProposal(core: ReplicaCore, proposal: number, entry: Entry): void {
  core.appendEntries([entry])
  core.emit({ kind: 'accepted', proposal, index: entry.index, term: entry.term })
  if (entry.kind === 'replica-set') updateFollowers(core)
  broadcast(core)
}

/**
 * Returns the replica set after a change of one member. Majorities of two sets that differ by one voter overlap,
 * provided that the previous change is committed and this leader has committed an entry of its own term.
 */
function nextReplicaSet(
  core: ReplicaCore,
  leaderState: LeaderState,
  change: ReplicaSetChange,
): Result<ReplicaSet, Failure> {
  if (core.replicaSets.currentIndex > core.commitIndex || !hasCommittedInTerm(core))
    return err(failure('replicaSetBusy'))
  const current = core.replicaSets.current
  const member = current.find((info) => info.replica === change.replica)
  switch (change.kind) {
    case 'add-learner':
      if (member !== undefined) return invalidChange('The replica is already a member of the replica set.')
      return ok([...current, { replica: change.replica, node: change.node, role: 'learner' }])
    case 'promote': {
      if (member?.role !== 'learner') return invalidChange('The replica is not a learner of the replica set.')
      const progress = leaderState.progress.get(change.replica)
      if (progress === undefined || !progress.hasResponded || progress.match < core.commitIndex)
        return err(failure('replicaBehind'))
      return ok(current.map((info) => (info === member ? { ...info, role: 'voter' } : info)))
    }
    case 'remove':
      if (member === undefined) return invalidChange('The replica is not a member of the replica set.')
      if (core.replicaSets.voters.length === 1 && member.role === 'voter')
        return invalidChange('The only voter cannot be removed from the replica set.')
      return ok(current.filter((info) => info !== member))
  }
}

function invalidChange(message: string): Result<ReplicaSet, Failure> {
  return err(failure('replicaSetInvalid', message))
}
