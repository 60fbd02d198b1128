/**
 * Linearizable reads. The leader confirms a read once an entry of its term is committed and a majority has responded in
 * its term to messages sent after the read arrived. Other replicas request the leader's commit index and wait until
 * they have applied it. A member that knows no leader keeps the read until one is elected: after a power loss every
 * entry waits for such a read.
 */
import { logIndex, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { ReplicaCore, LeaderState, LocalRead, PendingRead } from './replica-core'
import type { ReadInput } from './input'
import { holdsLease, isRoundConfirmed, hasCommittedInTerm } from './majority'
import type { ReadRequestMessage, ReadResponseMessage } from './message'
import { sendHeartbeat } from './replication'

export function startRead(core: ReplicaCore, input: ReadInput): void {
  if (core.pendingReads.length + core.localReads.size >= core.limits.maxPendingReads) {
    core.failRead(input.read, 'noQuorum')
    return
  }
  const leaderState = core.leaderState
  if (leaderState === undefined) {
    deferUntilLeader(core, input)
    return
  }
  if (input.mode === 'lease' && hasCommittedInTerm(core) && holdsLease(core, leaderState)) {
    queueForApply(core, input.read, core.commitIndex)
    return
  }
  queueForRound(core, leaderState, input.read, undefined)
}

function deferUntilLeader(core: ReplicaCore, { read, mode }: ReadInput): void {
  // A replica outside the replica set may never learn of a leader, so its reads fail at once.
  const canWait = mode === 'quorum' && core.replicaSets.roleOf(core.replica) !== undefined
  if (core.leader === undefined && !canWait) {
    core.failRead(read, 'notLeader')
    return
  }
  const deadline = core.now + core.limits.readTimeout
  core.localReads.set(nextLocalReadId(core), { read, deadline, index: undefined, requestedLeader: undefined })
}

/** Sends a read request to a new leader, or starts a read round if this replica has become the leader. */
function requestConfirmation(core: ReplicaCore, readId: number, waiting: LocalRead): void {
  const { leaderState, leader } = core
  if (leaderState !== undefined) {
    core.localReads.delete(readId)
    queueForRound(core, leaderState, waiting.read, undefined)
  } else if (leader !== undefined && leader !== waiting.requestedLeader) {
    waiting.requestedLeader = leader
    core.send({ kind: 'read-request', ...core.envelope(leader), read: readId })
  }
}

function queueForApply(core: ReplicaCore, read: number, index: LogIndex): void {
  const deadline = core.now + core.limits.readTimeout
  core.localReads.set(nextLocalReadId(core), { read, deadline, index, requestedLeader: undefined })
}

function nextLocalReadId(core: ReplicaCore): number {
  core.localReadCounter += 1
  return core.localReadCounter
}

/** Starts a read round, or queues the read for the round that starts once the current one is confirmed. */
function queueForRound(
  core: ReplicaCore,
  leaderState: LeaderState,
  read: number,
  requester: ReplicaId | undefined,
): void {
  const isRunning = !isRoundConfirmed(core, leaderState, leaderState.round)
  const round = leaderState.round + 1
  core.pendingReads.push({ read, requester, round, deadline: core.now + core.limits.readTimeout })
  if (!isRunning) startRound(core, leaderState)
}

function startRound(core: ReplicaCore, leaderState: LeaderState): void {
  leaderState.round += 1
  for (const progress of leaderState.progress.values()) {
    if (core.replicaSets.roleOf(progress.replica) === 'voter') sendHeartbeat(core, progress)
  }
}

export function receiveReadRequest(core: ReplicaCore, message: ReadRequestMessage): void {
  const leaderState = core.leaderState
  if (
    leaderState === undefined ||
    message.term > core.term ||
    core.pendingReads.length >= core.limits.maxPendingReads
  ) {
    sendReadResponse(core, message.from, message.read, undefined)
    return
  }
  const isDuplicate = core.pendingReads.some((read) => read.requester === message.from && read.read === message.read)
  if (!isDuplicate) queueForRound(core, leaderState, message.read, message.from)
}

function sendReadResponse(core: ReplicaCore, to: ReplicaId, read: number, index: LogIndex | undefined): void {
  core.send({
    kind: 'read-response',
    ...core.envelope(to),
    read,
    confirmed: index !== undefined,
    index: index ?? logIndex(0),
  })
}

export function receiveReadResponse(core: ReplicaCore, message: ReadResponseMessage): void {
  const waiting = core.localReads.get(message.read)
  if (waiting?.index !== undefined || waiting === undefined) return
  if (message.confirmed) {
    waiting.index = message.index
    return
  }
  core.localReads.delete(message.read)
  core.failRead(waiting.read, 'notLeader')
}

/** Confirms reads, reports those whose index is applied, and fails those that are past their deadline. */
export function advanceReads(core: ReplicaCore): void {
  for (const [readId, read] of core.localReads) if (read.index === undefined) requestConfirmation(core, readId, read)
  if (core.pendingReads.length > 0 && core.leaderState !== undefined) confirmReads(core, core.leaderState)
  for (const [readId, read] of core.localReads) {
    if (finishLocalRead(core, read)) core.localReads.delete(readId)
  }
}

function confirmReads(core: ReplicaCore, leaderState: LeaderState): void {
  if (hasCommittedInTerm(core)) {
    const confirmed = core.pendingReads.filter((read) => isConfirmed(core, leaderState, read))
    if (confirmed.length > 0) {
      core.pendingReads = core.pendingReads.filter((read) => !confirmed.includes(read))
      for (const read of confirmed) completeRead(core, read)
    }
  }
  expirePendingReads(core)
  // A round is complete once no read waits for it. Reads that arrived while it was in progress need the next one.
  const needsRound = core.pendingReads.some((read) => read.round > leaderState.round)
  if (needsRound && isRoundConfirmed(core, leaderState, leaderState.round)) {
    startRound(core, leaderState)
    if (core.isSoleVoter()) confirmReads(core, leaderState)
  }
}

function isConfirmed(core: ReplicaCore, leaderState: LeaderState, read: PendingRead): boolean {
  return read.round <= leaderState.round && isRoundConfirmed(core, leaderState, read.round)
}

function completeRead(core: ReplicaCore, read: PendingRead): void {
  if (read.requester === undefined) queueForApply(core, read.read, core.commitIndex)
  else sendReadResponse(core, read.requester, read.read, core.commitIndex)
}

function expirePendingReads(core: ReplicaCore): void {
  const expired = core.pendingReads.filter((read) => read.deadline <= core.now)
  if (expired.length === 0) return
  core.pendingReads = core.pendingReads.filter((read) => read.deadline > core.now)
  for (const read of expired) {
    if (read.requester === undefined) core.failRead(read.read, 'noQuorum')
  }
}

function finishLocalRead(core: ReplicaCore, read: LocalRead): boolean {
  if (read.index !== undefined && core.appliedIndex >= read.index) {
    core.emit({ kind: 'read-ready', read: read.read, index: read.index })
    return true
  }
  if (read.deadline > core.now) return false
  core.failRead(read.read, 'noQuorum')
  return true
}
