/**
 * Linearizable reads. The leader confirms a read once an entry of its term is committed and a majority has responded in
 * its term to messages sent after the read arrived. Other replicas request the leader's commit index and wait until
 * they have applied it. A member that knows no leader keeps the read until one is elected: after a power loss all entry
 * nodes wait for such a read.
 */
import { logIndex, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { Core, Leadership, LocalRead, WaitingRead } from './core'
import type { ReadInput } from './input'
import { holdsLease, isRoundConfirmed, knowsCommit } from './majority'
import type { ReadRequestMessage, ReadResponseMessage } from './message'
import { sendHeartbeat } from './replication'

export function startRead(core: Core, input: ReadInput): void {
  if (core.waitingReads.length + core.localReads.size >= core.limits.reads) {
    core.failRead(input.read, 'noQuorum')
    return
  }
  const lead = core.lead
  if (lead === undefined) {
    keepForLeader(core, input)
    return
  }
  if (input.mode === 'lease' && knowsCommit(core) && holdsLease(core, lead)) {
    waitForApply(core, input.read, core.commit)
    return
  }
  waitForRound(core, lead, input.read, undefined)
}

function keepForLeader(core: Core, { read, mode }: ReadInput): void {
  // A replica outside the replica set may never learn of a leader, so its reads fail at once.
  const mayWait = mode === 'quorum' && core.sets.roleOf(core.replica) !== undefined
  if (core.leader === undefined && !mayWait) {
    core.failRead(read, 'notLeader')
    return
  }
  const deadline = core.now + core.limits.readTimeout
  core.localReads.set(nextNumber(core), { read, deadline, index: undefined, asked: undefined })
}

/** Sends a read request to a new leader, or starts a read round if this replica has become the leader. */
function askLeader(core: Core, number: number, waiting: LocalRead): void {
  const { lead, leader } = core
  if (lead !== undefined) {
    core.localReads.delete(number)
    waitForRound(core, lead, waiting.read, undefined)
  } else if (leader !== undefined && leader !== waiting.asked) {
    waiting.asked = leader
    core.send({ kind: 'read-request', ...core.envelope(leader), read: number })
  }
}

function waitForApply(core: Core, read: number, index: LogIndex): void {
  const deadline = core.now + core.limits.readTimeout
  core.localReads.set(nextNumber(core), { read, deadline, index, asked: undefined })
}

function nextNumber(core: Core): number {
  core.nextLocalRead += 1
  return core.nextLocalRead
}

/** Starts a read round, or queues the read for the round that starts once the current one is confirmed. */
function waitForRound(core: Core, lead: Leadership, read: number, origin: ReplicaId | undefined): void {
  const isRunning = !isRoundConfirmed(core, lead, lead.round)
  const round = lead.round + 1
  core.waitingReads.push({ read, origin, round, deadline: core.now + core.limits.readTimeout })
  if (!isRunning) startRound(core, lead)
}

function startRound(core: Core, lead: Leadership): void {
  lead.round += 1
  for (const progress of lead.progress.values()) {
    if (core.sets.roleOf(progress.replica) === 'voter') sendHeartbeat(core, progress)
  }
}

export function receiveReadRequest(core: Core, message: ReadRequestMessage): void {
  const lead = core.lead
  if (lead === undefined || message.term > core.term || core.waitingReads.length >= core.limits.reads) {
    sendResponse(core, message.from, message.read, undefined)
    return
  }
  const repeated = core.waitingReads.some((read) => read.origin === message.from && read.read === message.read)
  if (!repeated) waitForRound(core, lead, message.read, message.from)
}

function sendResponse(core: Core, to: ReplicaId, read: number, index: LogIndex | undefined): void {
  core.send({
    kind: 'read-response',
    ...core.envelope(to),
    read,
    confirmed: index !== undefined,
    index: index ?? logIndex(0),
  })
}

export function receiveReadResponse(core: Core, message: ReadResponseMessage): void {
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
export function advanceReads(core: Core): void {
  for (const [number, read] of core.localReads) if (read.index === undefined) askLeader(core, number, read)
  if (core.waitingReads.length > 0 && core.lead !== undefined) confirmReads(core, core.lead)
  for (const [number, read] of core.localReads) {
    if (finishLocalRead(core, read)) core.localReads.delete(number)
  }
}

function confirmReads(core: Core, lead: Leadership): void {
  if (knowsCommit(core)) {
    const confirmed = core.waitingReads.filter((read) => isConfirmed(core, lead, read))
    if (confirmed.length > 0) {
      core.waitingReads = core.waitingReads.filter((read) => !confirmed.includes(read))
      for (const read of confirmed) answer(core, read)
    }
  }
  expireWaiting(core)
  // Reads that arrived while a round was in progress need the next round.
  const needsRound = core.waitingReads.some((read) => read.round > lead.round)
  if (needsRound && isRoundConfirmed(core, lead, lead.round)) {
    startRound(core, lead)
    if (core.isSoleVoter()) confirmReads(core, lead)
  }
}

function isConfirmed(core: Core, lead: Leadership, read: WaitingRead): boolean {
  return read.round <= lead.round && isRoundConfirmed(core, lead, read.round)
}

function answer(core: Core, read: WaitingRead): void {
  if (read.origin === undefined) waitForApply(core, read.read, core.commit)
  else sendResponse(core, read.origin, read.read, core.commit)
}

function expireWaiting(core: Core): void {
  const expired = core.waitingReads.filter((read) => read.deadline <= core.now)
  if (expired.length === 0) return
  core.waitingReads = core.waitingReads.filter((read) => read.deadline > core.now)
  for (const read of expired) {
    if (read.origin === undefined) core.failRead(read.read, 'noQuorum')
  }
}

function finishLocalRead(core: Core, read: LocalRead): boolean {
  if (read.index !== undefined && core.applied >= read.index) {
    core.emit({ kind: 'read-ready', read: read.read, index: read.index })
    return true
  }
  if (read.deadline > core.now) return false
  core.failRead(read.read, 'noQuorum')
  return true
}
