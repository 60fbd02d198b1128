/** Log replication: sending of entries by the leader, acceptance by followers, and handling of the responses. */
import { logIndex, term, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { Core, Leadership } from './core'
import type { AppendMessage, AppendResponseMessage, Entry } from './message'
import { Progress } from './progress'
import { continueTransfer, releaseSnapshot, startSnapshotTransfer } from './snapshots'

/**
 * Time for which a removed replica still receives messages, in milliseconds, so that it learns of its removal and
 * starts no elections.
 */
const LEAVING_MS = 5_000

/** Updates the leader's list of followers after a change of the replica set. */
export function syncFollowers(core: Core): void {
  const lead = core.lead
  if (lead === undefined) return
  const members = new Set(core.sets.current.map((info) => info.replica))
  for (const progress of lead.progress.values()) {
    if (members.has(progress.replica)) progress.leaving = undefined
    else progress.leaving ??= { index: core.sets.currentIndex, until: core.now + LEAVING_MS }
  }
  for (const replica of members) {
    if (replica === core.replica || lead.progress.has(replica)) continue
    lead.progress.set(replica, new Progress(replica, logIndex(core.log.lastIndex + 1), core.now))
  }
}

function dropRemoved(core: Core, lead: Leadership): void {
  for (const [replica, { leaving, match }] of lead.progress) {
    if (leaving !== undefined && (match >= leaving.index || core.now >= leaving.until)) lead.progress.delete(replica)
  }
}

/** Sends each follower the entries that flow control allows. */
export function broadcast(core: Core): void {
  for (const progress of core.lead?.progress.values() ?? []) sendPending(core, progress)
}

/**
 * Sends an advanced commit index at once, instead of with the next heartbeat, to followers with no message in flight.
 */
export function notifyCommit(core: Core): void {
  for (const progress of core.lead?.progress.values() ?? []) sendCommit(core, progress)
}

function sendCommit(core: Core, progress: Progress): void {
  const isIdle = progress.state === 'replicate' && progress.match === core.log.lastIndex
  if (isIdle && progress.commitSent < core.commit) sendHeartbeat(core, progress)
}

/** Sends a message to every follower, with entries if there are any to send. */
export function heartbeat(core: Core, lead: Leadership): void {
  lead.heartbeatDue = core.now + core.limits.heartbeat
  dropRemoved(core, lead)
  for (const progress of lead.progress.values()) {
    progress.probeSent = false
    if (progress.state === 'snapshot') continueTransfer(core, progress)
    if (progress.state === 'snapshot' || !sendPending(core, progress)) sendHeartbeat(core, progress)
  }
  releaseSnapshot(lead)
}

/** Sends an append without entries. It also carries the commit index and the read round. */
export function sendHeartbeat(core: Core, progress: Progress): void {
  const previousIndex = progress.state === 'snapshot' ? logIndex(0) : logIndex(progress.next - 1)
  sendAppend(core, progress, previousIndex, [])
}

/** Sends the follower its next entries, or a snapshot if the log no longer holds them. False if nothing was sent. */
export function sendPending(core: Core, progress: Progress): boolean {
  if (progress.state === 'snapshot') return false
  if (core.log.termAt(logIndex(progress.next - 1)) === undefined) return startSnapshotTransfer(core, progress)
  return progress.state === 'probe' ? sendProbe(core, progress) : sendBatches(core, progress)
}

function sendProbe(core: Core, progress: Progress): boolean {
  if (progress.probeSent) return false
  progress.probeSent = true
  sendAppend(core, progress, logIndex(progress.next - 1), nextBatch(core, progress))
  return true
}

function sendBatches(core: Core, progress: Progress): boolean {
  let sent = false
  while (progress.next <= core.log.lastIndex && progress.inFlight.length < core.limits.inFlight) {
    const entries = nextBatch(core, progress)
    const last = logIndex(progress.next - 1 + entries.length)
    sendAppend(core, progress, logIndex(progress.next - 1), entries)
    progress.inFlight.push(last)
    progress.next = logIndex(last + 1)
    sent = true
  }
  return sent
}

function nextBatch(core: Core, progress: Progress): readonly Entry[] {
  return core.log.batch(progress.next, core.limits.batchEntries, core.limits.batchBytes)
}

function sendAppend(core: Core, progress: Progress, previousIndex: LogIndex, entries: readonly Entry[]): void {
  const previousTerm = core.log.termAt(previousIndex)
  const known = previousTerm !== undefined
  progress.commitSent = core.commit
  core.send({
    kind: 'append',
    ...core.envelope(progress.replica),
    // Index 0 matches every log, so a follower that needs a snapshot still accepts the heartbeat and confirms the
    // leader.
    previousIndex: known ? previousIndex : logIndex(0),
    previousTerm: previousTerm ?? term(0),
    entries,
    commit: core.commit,
    round: core.lead?.round ?? 0,
    sentAt: core.now,
  })
}

export function receiveAppend(core: Core, message: AppendMessage): void {
  if (message.term < core.term) {
    respond(core, message.from, { accepted: false, hint: core.commit, probe: message })
    return
  }
  if (!isWellFormed(message) || !followLeader(core, message)) return
  if (!matchesPrevious(core, message)) {
    respond(core, message.from, { accepted: false, hint: conflictHint(core, message), probe: message })
    return
  }
  acceptEntries(core, message)
  const last = logIndex(message.previousIndex + message.entries.length)
  if (last > core.matched) core.matched = last
  const commit = logIndex(Math.min(message.commit, last))
  if (commit > core.commit) core.commit = commit
  core.heard = { commit: message.commit, at: core.now }
  if (message.entries.length > 0 && last > core.disk.durable) {
    core.unanswered = { round: message.round, sentAt: message.sentAt }
    return
  }
  respond(core, message.from, { accepted: true, hint: last, probe: message })
}

/** Accepts the sender as leader of its term. False if this replica is the leader of that term itself. */
export function followLeader(core: Core, message: { readonly from: ReplicaId; readonly term: Core['term'] }): boolean {
  if (message.term === core.term && core.mode === 'leader') return false
  core.becomeFollower(message.term, message.from)
  core.leaderContact = core.now
  return true
}

/** Called when more entries are synced: sends the append response that waited for them. */
export function respondSynced(core: Core): void {
  const probe = core.unanswered
  if (probe === undefined || core.leader === undefined || core.mode !== 'follower') return
  if (core.disk.durable >= core.matched) core.unanswered = undefined
  respond(core, core.leader, { accepted: true, hint: core.matched, probe })
}

interface Response {
  readonly accepted: boolean
  readonly hint: LogIndex
  readonly probe: { readonly round: number; readonly sentAt: number }
}

function respond(core: Core, to: ReplicaId, response: Response): void {
  core.send({
    kind: 'append-response',
    ...core.envelope(to),
    accepted: response.accepted,
    match: logIndex(Math.min(Math.max(core.matched, core.commit), core.disk.durable)),
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
function matchesPrevious(core: Core, message: AppendMessage): boolean {
  if (message.previousIndex <= core.commit) return true
  return core.log.termAt(message.previousIndex) === message.previousTerm
}

/** Index after which the leader retries: skips all consecutive entries of the conflicting term. */
function conflictHint(core: Core, message: AppendMessage): LogIndex {
  if (message.previousIndex > core.log.lastIndex) return core.log.lastIndex
  const conflicting = core.log.termAt(message.previousIndex)
  let index = message.previousIndex
  while (index > core.commit && core.log.termAt(index) === conflicting) index = logIndex(index - 1)
  return index
}

/** Appends the entries that are not in the log yet. Committed entries are never replaced. */
function acceptEntries(core: Core, message: AppendMessage): void {
  const fresh = message.entries.findIndex(
    (entry) => entry.index > core.commit && core.log.termAt(entry.index) !== entry.term,
  )
  if (fresh >= 0) core.append(message.entries.slice(fresh))
}

export function receiveAppendResponse(core: Core, message: AppendResponseMessage): void {
  const progress = followerOf(core, message)
  if (progress === undefined || message.match > core.log.lastIndex) return
  progress.contact(core.now, message.round, message.sentAt)
  progress.matched(message.match)
  if (progress.state === 'snapshot') {
    leaveSnapshot(core, progress)
    return
  }
  if (!message.accepted) rewind(core, progress, message.hint)
  else if (progress.state === 'probe') progress.replicateFrom(logIndex(progress.match + 1))
  if (!sendPending(core, progress)) sendCommit(core, progress)
}

/** Progress of the sender if this replica is the leader in the message's term. Steps down if that term is newer. */
export function followerOf(
  core: Core,
  message: { readonly from: ReplicaId; readonly term: Core['term'] },
): Progress | undefined {
  if (message.term > core.term) {
    core.becomeFollower(message.term, undefined)
    return undefined
  }
  return message.term === core.term ? core.lead?.progress.get(message.from) : undefined
}

function leaveSnapshot(core: Core, progress: Progress): void {
  if (core.log.termAt(progress.match) === undefined) return
  progress.replicateFrom(logIndex(progress.match + 1))
  sendPending(core, progress)
}

/**
 * Moves `next` back to where the logs may match. If it does not move, the next probe waits for the heartbeat, which
 * prevents a loop of probes and rejections.
 */
function rewind(core: Core, progress: Progress, hint: LogIndex): void {
  const next = Math.min(Math.max(hint, progress.match) + 1, core.log.lastIndex + 1)
  const moved = next < progress.next
  progress.probeFrom(logIndex(next))
  progress.probeSent = !moved
}
