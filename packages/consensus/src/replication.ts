/** Log replication: sending of entries by the leader, acceptance by followers, and handling of the responses. */
import { logIndex, term, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { ReplicaCore, LeaderState } from './replica-core'
import type { AppendMessage, AppendResponseMessage, Entry } from './message'
import { Progress } from './progress'
import { continueSnapshotTransfer, releaseSnapshot, startSnapshotTransfer } from './snapshots'

/**
 * Time for which a removed replica still receives messages, in milliseconds, so that it learns of its removal and
 * starts no elections.
 */
const REMOVAL_NOTICE_MS = 5_000

/** Updates the leader's list of followers after a change of the replica set. */
export function updateFollowers(core: ReplicaCore): void {
  const leaderState = core.leaderState
  if (leaderState === undefined) return
  const members = new Set(core.replicaSets.current.map((info) => info.replica))
  for (const progress of leaderState.progress.values()) {
    if (members.has(progress.replica)) progress.removal = undefined
    else progress.removal ??= { index: core.replicaSets.currentIndex, until: core.now + REMOVAL_NOTICE_MS }
  }
  for (const replica of members) {
    if (replica === core.replica || leaderState.progress.has(replica)) continue
    leaderState.progress.set(replica, new Progress(replica, logIndex(core.log.lastIndex + 1), core.now))
  }
}

function forgetRemovedFollowers(core: ReplicaCore, leaderState: LeaderState): void {
  for (const [replica, { removal, match }] of leaderState.progress) {
    if (removal !== undefined && (match >= removal.index || core.now >= removal.until))
      leaderState.progress.delete(replica)
  }
}

/** Sends each follower the entries that flow control allows. */
export function broadcast(core: ReplicaCore): void {
  for (const progress of core.leaderState?.progress.values() ?? []) sendPending(core, progress)
}

/**
 * Sends an advanced commit index at once, instead of with the next heartbeat, to followers with no message in flight.
 */
export function broadcastCommit(core: ReplicaCore): void {
  for (const progress of core.leaderState?.progress.values() ?? []) sendCommit(core, progress)
}

function sendCommit(core: ReplicaCore, progress: Progress): void {
  const isIdle = progress.state === 'replicate' && progress.match === core.log.lastIndex
  if (isIdle && progress.lastSentCommit < core.commitIndex) sendHeartbeat(core, progress)
}

/** Sends a message to every follower, with entries if there are any to send. */
export function heartbeat(core: ReplicaCore, leaderState: LeaderState): void {
  leaderState.nextHeartbeatAt = core.now + core.limits.heartbeatInterval
  forgetRemovedFollowers(core, leaderState)
  for (const progress of leaderState.progress.values()) {
    progress.probeSent = false
    if (progress.state === 'snapshot') continueSnapshotTransfer(core, progress)
    if (progress.state === 'snapshot' || !sendPending(core, progress)) sendHeartbeat(core, progress)
  }
  releaseSnapshot(leaderState)
}

/** Sends an append without entries. It also carries the commit index and the read round. */
export function sendHeartbeat(core: ReplicaCore, progress: Progress): void {
  const previousIndex = progress.state === 'snapshot' ? logIndex(0) : logIndex(progress.next - 1)
  sendAppend(core, progress, previousIndex, [])
}

/** Sends the follower its next entries, or a snapshot if the log no longer holds them. False if nothing was sent. */
export function sendPending(core: ReplicaCore, progress: Progress): boolean {
  if (progress.state === 'snapshot') return false
  if (core.log.termAt(logIndex(progress.next - 1)) === undefined) return startSnapshotTransfer(core, progress)
  return progress.state === 'probe' ? sendProbe(core, progress) : sendBatches(core, progress)
}

function sendProbe(core: ReplicaCore, progress: Progress): boolean {
  if (progress.probeSent) return false
  progress.probeSent = true
  sendAppend(core, progress, logIndex(progress.next - 1), nextBatch(core, progress))
  return true
}

function sendBatches(core: ReplicaCore, progress: Progress): boolean {
  let sent = false
  while (progress.next <= core.log.lastIndex && progress.inFlight.length < core.limits.maxInFlightAppends) {
    const entries = nextBatch(core, progress)
    const last = logIndex(progress.next - 1 + entries.length)
    sendAppend(core, progress, logIndex(progress.next - 1), entries)
    progress.inFlight.push(last)
    progress.next = logIndex(last + 1)
    sent = true
  }
  return sent
}

function nextBatch(core: ReplicaCore, progress: Progress): readonly Entry[] {
  return core.log.batch(progress.next, core.limits.maxBatchEntries, core.limits.maxBatchBytes)
}

function sendAppend(core: ReplicaCore, progress: Progress, previousIndex: LogIndex, entries: readonly Entry[]): void {
  const previousTerm = core.log.termAt(previousIndex)
  const isKnown = previousTerm !== undefined
  progress.lastSentCommit = core.commitIndex
  core.send({
    kind: 'append',
    ...core.envelope(progress.replica),
    // Index 0 matches every log, so a follower that needs a snapshot still accepts the heartbeat and confirms the
    // leader.
    previousIndex: isKnown ? previousIndex : logIndex(0),
    previousTerm: previousTerm ?? term(0),
    entries,
    commit: core.commitIndex,
    round: core.leaderState?.round ?? 0,
    sentAt: core.now,
  })
}

export function receiveAppend(core: ReplicaCore, message: AppendMessage): void {
  if (message.term < core.term) {
    sendAppendResponse(core, message.from, { accepted: false, hint: core.commitIndex, probe: message })
    return
  }
  if (!isWellFormed(message) || !acceptLeader(core, message)) return
  if (!matchesPrevious(core, message)) {
    sendAppendResponse(core, message.from, { accepted: false, hint: conflictHint(core, message), probe: message })
    return
  }
  appendNewEntries(core, message)
  const last = logIndex(message.previousIndex + message.entries.length)
  if (last > core.matchedIndex) core.matchedIndex = last
  const commit = logIndex(Math.min(message.commit, last))
  if (commit > core.commitIndex) core.commitIndex = commit
  core.lastLeaderCommit = { commitIndex: message.commit, at: core.now }
  if (message.entries.length > 0 && last > core.persistence.durableIndex) {
    core.unansweredProbe = { round: message.round, sentAt: message.sentAt }
    return
  }
  sendAppendResponse(core, message.from, { accepted: true, hint: last, probe: message })
}

/** Accepts the sender as leader of its term. False if this replica is the leader of that term itself. */
export function acceptLeader(
  core: ReplicaCore,
  message: { readonly from: ReplicaId; readonly term: ReplicaCore['term'] },
): boolean {
  if (message.term === core.term && core.mode === 'leader') return false
  core.becomeFollower(message.term, message.from)
  core.lastLeaderContact = core.now
  return true
}

/** Called when more entries are synced: sends the append response that waited for them. */
export function respondAfterSync(core: ReplicaCore): void {
  const probe = core.unansweredProbe
  if (probe === undefined || core.leader === undefined || core.mode !== 'follower') return
  if (core.persistence.durableIndex >= core.matchedIndex) core.unansweredProbe = undefined
  sendAppendResponse(core, core.leader, { accepted: true, hint: core.matchedIndex, probe })
}

interface AppendResult {
  readonly accepted: boolean
  readonly hint: LogIndex
  readonly probe: { readonly round: number; readonly sentAt: number }
}

function sendAppendResponse(core: ReplicaCore, to: ReplicaId, response: AppendResult): void {
  core.send({
    kind: 'append-response',
    ...core.envelope(to),
    accepted: response.accepted,
    match: logIndex(Math.min(Math.max(core.matchedIndex, core.commitIndex), core.persistence.durableIndex)),
    hint: response.hint,
    round: response.probe.round,
    sentAt: response.probe.sentAt,
  })
}

function isWellFormed(message: AppendMessage): boolean {
  return message.entries.every(
    (entry, position) => entry.index === message.previousIndex + 1 + position && entry.term <= message.term,
  )
}

/** Committed entries match the log of every later leader, so only entries after the commit index are compared. */
function matchesPrevious(core: ReplicaCore, message: AppendMessage): boolean {
  if (message.previousIndex <= core.commitIndex) return true
  return core.log.termAt(message.previousIndex) === message.previousTerm
}

/** Index after which the leader retries: skips all consecutive entries of the conflicting term. */
function conflictHint(core: ReplicaCore, message: AppendMessage): LogIndex {
  if (message.previousIndex > core.log.lastIndex) return core.log.lastIndex
  const conflicting = core.log.termAt(message.previousIndex)
  let index = message.previousIndex
  while (index > core.commitIndex && core.log.termAt(index) === conflicting) index = logIndex(index - 1)
  return index
}

/** Appends the entries that are not in the log yet. Committed entries are never replaced. */
function appendNewEntries(core: ReplicaCore, message: AppendMessage): void {
  const firstNew = message.entries.findIndex(
    (entry) => entry.index > core.commitIndex && core.log.termAt(entry.index) !== entry.term,
  )
  if (firstNew >= 0) core.appendEntries(message.entries.slice(firstNew))
}

export function receiveAppendResponse(core: ReplicaCore, message: AppendResponseMessage): void {
  const progress = senderProgress(core, message)
  if (progress === undefined || message.match > core.log.lastIndex) return
  progress.recordContact(core.now, message.round, message.sentAt)
  progress.advanceMatch(message.match)
  if (progress.state === 'snapshot') {
    resumeAfterSnapshot(core, progress)
    return
  }
  if (!message.accepted) rewind(core, progress, message.hint)
  else if (progress.state === 'probe') progress.startReplicating(logIndex(progress.match + 1))
  if (!sendPending(core, progress)) sendCommit(core, progress)
}

/** Progress of the sender if this replica is the leader in the message's term. Steps down if that term is newer. */
export function senderProgress(
  core: ReplicaCore,
  message: { readonly from: ReplicaId; readonly term: ReplicaCore['term'] },
): Progress | undefined {
  if (message.term > core.term) {
    core.becomeFollower(message.term, undefined)
    return undefined
  }
  return message.term === core.term ? core.leaderState?.progress.get(message.from) : undefined
}

function resumeAfterSnapshot(core: ReplicaCore, progress: Progress): void {
  if (core.log.termAt(progress.match) === undefined) return
  progress.startReplicating(logIndex(progress.match + 1))
  sendPending(core, progress)
}

/**
 * Moves `next` back to where the logs may match. If it does not move, the next probe waits for the heartbeat, which
 * prevents a loop of probes and rejections.
 */
function rewind(core: ReplicaCore, progress: Progress, hint: LogIndex): void {
  const next = Math.min(Math.max(hint, progress.match) + 1, core.log.lastIndex + 1)
  const hasMoved = next < progress.next
  progress.startProbing(logIndex(next))
  progress.probeSent = !hasMoved
}
