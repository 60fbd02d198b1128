/** Transfer of leadership to another voter, used for a graceful shutdown. */
import { failure, type ReplicaId } from '@bilberrystall/base'
import type { ReplicaCore, LeaderState } from './replica-core'
import { startElection } from './election'
import type { TransferMessage } from './message'
import { sendPending } from './replication'

export function startTransfer(core: ReplicaCore, target: ReplicaId | undefined): void {
  const leaderState = core.leaderState
  if (leaderState === undefined) {
    core.emit({ kind: 'transfer-failed', failure: failure('notLeader') })
    return
  }
  const targetVoter = target ?? mostAdvancedVoter(core, leaderState)
  if (targetVoter === undefined || targetVoter === core.replica || core.replicaSets.roleOf(targetVoter) !== 'voter') {
    core.emit({ kind: 'transfer-failed', failure: failure('noQuorum', 'No other voter can take over leadership.') })
    return
  }
  leaderState.transfer = { target: targetVoter, deadline: core.now + core.limits.maxElectionTimeout, sent: false }
  const progress = leaderState.progress.get(targetVoter)
  if (progress !== undefined) sendPending(core, progress)
  advanceTransfer(core)
}

/** The voter in contact with the longest matching log. */
function mostAdvancedVoter(core: ReplicaCore, leaderState: LeaderState): ReplicaId | undefined {
  const since = core.now - core.limits.majorityTimeout
  const voters = [...leaderState.progress.values()].filter(
    (progress) =>
      core.replicaSets.roleOf(progress.replica) === 'voter' && progress.hasResponded && progress.lastContact > since,
  )
  voters.sort((left, right) => right.match - left.match)
  return voters[0]?.replica
}

/** Sends the transfer message once the target has the whole log, and gives up at the deadline. */
export function advanceTransfer(core: ReplicaCore): void {
  const transfer = core.leaderState?.transfer
  if (core.leaderState === undefined || transfer === undefined) return
  if (core.now >= transfer.deadline || core.replicaSets.roleOf(transfer.target) !== 'voter') {
    core.leaderState.transfer = undefined
    core.emit({
      kind: 'transfer-failed',
      failure: failure('noQuorum', 'The target did not take over leadership in time or is no longer a voter.'),
    })
    return
  }
  if (!transfer.sent) sendTransfer(core)
}

/** Sends the transfer message. Called again with every heartbeat, because the message may be lost. */
export function sendTransfer(core: ReplicaCore): void {
  const transfer = core.leaderState?.transfer
  if (core.leaderState === undefined || transfer === undefined) return
  const progress = core.leaderState.progress.get(transfer.target)
  if (progress?.match !== core.log.lastIndex) return
  transfer.sent = true
  core.leaderState.leaseRevoked = true
  core.send({ kind: 'transfer', ...core.envelope(transfer.target) })
}

export function receiveTransfer(core: ReplicaCore, message: TransferMessage): void {
  const isCurrent = message.term === core.term && core.mode === 'follower' && core.leader === message.from
  if (isCurrent && core.isVoter()) startElection(core, true)
}
