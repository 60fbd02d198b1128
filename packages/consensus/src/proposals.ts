/** Proposals to the leader: commands, and changes of one member of the replica set. */
import { failure, logIndex, type CodeName, type Failure, type ReplicaId } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { Core, Leadership } from './core'
import type { ChangeReplicaSetInput, ProposeInput, ReplicaSetChange } from './input'
import { knowsCommit } from './majority'
import type { Entry, ReplicaSet } from './message'
import { broadcast, syncFollowers } from './replication'

export function propose(core: Core, input: ProposeInput): void {
  const refused = refusal(core, input.command.byteLength)
  if (refused !== undefined) {
    core.reject(input.proposal, failure(refused))
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendOwn(core, input.proposal, { kind: 'command', index, term: core.term, command: input.command })
}

export function changeReplicaSet(core: Core, input: ChangeReplicaSetInput): void {
  if (core.lead?.promotion !== undefined) {
    core.reject(input.proposal, failure('replicaSetBusy'))
    return
  }
  const changed = checkedSet(core, input.change)
  const waits = changed.isErr() && changed.error.code === 'replicaBehind' && isInContact(core, input.change.replica)
  if (core.lead !== undefined && waits) {
    // The caller saw the learner as caught up. Entries committed since then are still being sent to it.
    core.lead.promotion = { input, deadline: core.now + core.limits.majorityTimeout }
    return
  }
  finishChange(core, input.proposal, changed)
}

/** Completes a promotion that waits for its learner, or rejects it at the deadline. */
export function advancePromotion(core: Core): void {
  const promotion = core.lead?.promotion
  if (core.lead === undefined || promotion === undefined) return
  const changed = checkedSet(core, promotion.input.change)
  if (changed.isErr() && changed.error.code === 'replicaBehind' && core.now < promotion.deadline) return
  core.lead.promotion = undefined
  finishChange(core, promotion.input.proposal, changed)
}

function isInContact(core: Core, replica: ReplicaId): boolean {
  const progress = core.lead?.progress.get(replica)
  return progress?.heard === true && core.now - progress.lastContact < core.limits.majorityTimeout
}

function checkedSet(core: Core, change: ReplicaSetChange): Result<ReplicaSet, Failure> {
  const refused = refusal(core, 0)
  if (core.lead === undefined || refused !== undefined) return err(failure(refused ?? 'notLeader'))
  return changedSet(core, core.lead, change)
}

function finishChange(core: Core, proposal: number, changed: Result<ReplicaSet, Failure>): void {
  if (changed.isErr()) {
    core.reject(proposal, changed.error)
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendOwn(core, proposal, { kind: 'replica-set', index, term: core.term, replicas: changed.value })
}

function refusal(core: Core, bytes: number): CodeName | undefined {
  if (core.lead === undefined || core.lead.transfer !== undefined) return 'notLeader'
  if (bytes > core.limits.commandBytes) return 'changeTooLarge'
  // Entries stay in memory until they are committed and synced to the local disk.
  if (core.lead.backlog + bytes > core.limits.uncommittedBytes) return 'logBacklog'
  return undefined
}

function appendOwn(core: Core, proposal: number, entry: Entry): void {
  core.append([entry])
  core.emit({ kind: 'accepted', proposal, index: entry.index, term: entry.term })
  if (entry.kind === 'replica-set') syncFollowers(core)
  broadcast(core)
}

/**
 * Returns the replica set after a change of one member. Majorities of two sets that differ by one voter overlap,
 * provided that the previous change is committed and this leader has committed an entry of its own term.
 */
function changedSet(core: Core, lead: Leadership, change: ReplicaSetChange): Result<ReplicaSet, Failure> {
  if (core.sets.currentIndex > core.commit || !knowsCommit(core)) return err(failure('replicaSetBusy'))
  const current = core.sets.current
  const member = current.find((info) => info.replica === change.replica)
  switch (change.kind) {
    case 'add-learner':
      if (member !== undefined) return invalid('The replica is already a member.')
      return ok([...current, { replica: change.replica, node: change.node, role: 'learner' }])
    case 'promote': {
      if (member?.role !== 'learner') return invalid('The replica is not a learner.')
      const progress = lead.progress.get(change.replica)
      if (progress === undefined || !progress.heard || progress.match < core.commit)
        return err(failure('replicaBehind'))
      return ok(current.map((info) => (info === member ? { ...info, role: 'voter' } : info)))
    }
    case 'remove':
      if (member === undefined) return invalid('The replica is not a member.')
      if (core.sets.voters.length === 1 && member.role === 'voter') return invalid('The replica is the only voter.')
      return ok(current.filter((info) => info !== member))
  }
}

function invalid(message: string): Result<ReplicaSet, Failure> {
  return err(failure('replicaSetInvalid', message))
}
