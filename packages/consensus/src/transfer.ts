/** Transfer of leadership to another voter, used for a graceful shutdown. */
import { failure, type ReplicaId } from '@bilberrystall/base'
import type { Core, Leadership } from './core'
import { startElection } from './election'
import type { TransferMessage } from './message'
import { sendPending } from './replication'

export function startTransfer(core: Core, target: ReplicaId | undefined): void {
  const lead = core.lead
  if (lead === undefined) {
    core.emit({ kind: 'transfer-failed', failure: failure('notLeader') })
    return
  }
  const chosen = target ?? mostAdvanced(core, lead)
  if (chosen === undefined || chosen === core.replica || core.sets.roleOf(chosen) !== 'voter') {
    core.emit({ kind: 'transfer-failed', failure: failure('noQuorum', 'No other voter can take over leadership.') })
    return
  }
  lead.transfer = { target: chosen, deadline: core.now + core.limits.electionMax, sent: false }
  const progress = lead.progress.get(chosen)
  if (progress !== undefined) sendPending(core, progress)
  advanceTransfer(core)
}

/** The voter in contact with the longest matching log. */
function mostAdvanced(core: Core, lead: Leadership): ReplicaId | undefined {
  const since = core.now - core.limits.majorityTimeout
  const voters = [...lead.progress.values()].filter(
    (progress) => core.sets.roleOf(progress.replica) === 'voter' && progress.heard && progress.lastContact > since,
  )
  voters.sort((left, right) => right.match - left.match)
  return voters[0]?.replica
}

/** Sends the transfer message once the target has the whole log, and gives up at the deadline. */
export function advanceTransfer(core: Core): void {
  const transfer = core.lead?.transfer
  if (core.lead === undefined || transfer === undefined) return
  if (core.now >= transfer.deadline || core.sets.roleOf(transfer.target) !== 'voter') {
    core.lead.transfer = undefined
    core.emit({ kind: 'transfer-failed', failure: failure('noQuorum', 'The target did not take over leadership in time.') })
    return
  }
  if (!transfer.sent) sendTransfer(core)
}

/** Sends the transfer message. Called again with every heartbeat, because the message may be lost. */
export function sendTransfer(core: Core): void {
  const transfer = core.lead?.transfer
  if (core.lead === undefined || transfer === undefined) return
  const progress = core.lead.progress.get(transfer.target)
  if (progress?.match !== core.log.lastIndex) return
  transfer.sent = true
  core.lead.leaseVoid = true
  core.send({ kind: 'transfer', ...core.envelope(transfer.target) })
}

export function receiveTransfer(core: Core, message: TransferMessage): void {
  const isCurrent = message.term === core.term && core.mode === 'follower' && core.leader === message.from
  if (isCurrent && core.isVoter()) startElection(core, true)
}
