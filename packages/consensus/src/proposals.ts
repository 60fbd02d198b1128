/** Proposals to the leader: commands, and changes of the replica set in single steps. */
import { failure, logIndex, type CodeName, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { Core, Leadership } from './core'
import type { ChangeReplicaSetInput, ProposeInput, ReplicaSetChange } from './input'
import { knowsCommit } from './majority'
import type { Entry, ReplicaSet } from './message'
import { broadcast, syncFollowers } from './replication'

export function propose(core: Core, input: ProposeInput): void {
  const refused = refusal(core, input.command.byteLength)
  if (refused !== undefined) {
    reject(core, input.proposal, failure(refused))
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendOwn(core, input.proposal, { kind: 'command', index, term: core.term, command: input.command })
}

export function changeReplicaSet(core: Core, input: ChangeReplicaSetInput): void {
  const lead = core.lead
  const refused = refusal(core, 0)
  if (lead === undefined || refused !== undefined) {
    reject(core, input.proposal, failure(refused ?? 'notLeader'))
    return
  }
  const changed = changedSet(core, lead, input.change)
  if (changed.isErr()) {
    reject(core, input.proposal, changed.error)
    return
  }
  const index = logIndex(core.log.lastIndex + 1)
  appendOwn(core, input.proposal, { kind: 'replica-set', index, term: core.term, replicas: changed.value })
}

function refusal(core: Core, bytes: number): CodeName | undefined {
  if (core.lead === undefined || core.lead.transfer !== undefined) return 'notLeader'
  if (bytes > core.limits.commandBytes) return 'changeTooLarge'
  // Entries wait for commit and for the own disk; both keep them in memory.
  if (core.lead.backlog + bytes > core.limits.uncommittedBytes) return 'logBacklog'
  return undefined
}

function appendOwn(core: Core, proposal: number, entry: Entry): void {
  core.append([entry])
  core.emit({ kind: 'accepted', proposal, index: entry.index, term: entry.term })
  if (entry.kind === 'replica-set') syncFollowers(core)
  broadcast(core)
}

function reject(core: Core, proposal: number, cause: Failure): void {
  const leader = core.lead?.transfer?.target ?? core.leader
  core.emit({ kind: 'rejected', proposal, failure: cause, leader })
}

/**
 * The set after one step. Majorities of sets one voter apart overlap, provided that the previous step is committed and
 * that this leader has committed an entry of its own term.
 */
function changedSet(core: Core, lead: Leadership, change: ReplicaSetChange): Result<ReplicaSet, Failure> {
  if (core.sets.currentIndex > core.commit || !knowsCommit(core)) return err(failure('replicaSetBusy'))
  const current = core.sets.current
  const member = current.find((info) => info.replica === change.replica)
  switch (change.kind) {
    case 'add-learner':
      if (member !== undefined) return invalid('The replica is a member already.')
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
