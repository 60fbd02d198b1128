/** Snapshots: taking them to compact the log, and sending them in chunks to followers that need discarded entries. */
import { logIndex } from '@bilberrystall/base'
import { positionOf, type ReplicaCore, type LeaderState } from './replica-core'
import { entryBytes } from './log'
import type { Snapshot, SnapshotChunkMessage, SnapshotResponseMessage } from './message'
import type { Progress } from './progress'
import { acceptLeader, senderProgress, sendPending } from './replication'

/** Number of heartbeat intervals after which a chunk without a response is sent again. */
const RESEND_AFTER_HEARTBEATS = 3

const EMPTY_DATA = new Uint8Array(0)

/** Requests a snapshot from the host once the log, or the part of it that a restart replays, has reached its limit. */
export function requestSnapshotIfDue(core: ReplicaCore): void {
  if (core.appliedIndex - (core.snapshot?.index ?? 0) >= replayLimit(core)) requestSnapshot(core)
  if (!isLogOverLimit(core)) return
  const newlyApplied = core.appliedIndex - (core.snapshot?.index ?? 0)
  // Entries that are not applied yet cannot be discarded. Waiting for several avoids a snapshot per applied entry.
  if (newlyApplied <= 0 || (newlyApplied < core.limits.keptEntries && core.log.bytes < core.limits.logBytes)) return
  requestSnapshot(core)
}

function requestSnapshot(core: ReplicaCore): void {
  const index = core.appliedIndex
  const entryTerm = core.log.termAt(index)
  if (core.requestedSnapshotIndex !== undefined || entryTerm === undefined) return
  core.requestedSnapshotIndex = index
  core.emit({ kind: 'take-snapshot', position: { index, term: entryTerm, replicas: core.replicaSets.at(index) } })
}

function replayLimit(core: ReplicaCore): number {
  return core.limits.replayEntries + Math.floor(core.snapshotBytes / core.limits.replayBytes)
}

function isLogOverLimit(core: ReplicaCore): boolean {
  return core.log.length >= core.limits.logEntries || core.log.bytes >= core.limits.logBytes
}

export function snapshotTaken(core: ReplicaCore, snapshot: Snapshot): void {
  if (snapshot.index === core.requestedSnapshotIndex) core.requestedSnapshotIndex = undefined
  if (snapshot.index > core.appliedIndex || core.log.termAt(snapshot.index) !== snapshot.term) return
  startWaitingTransfers(core, snapshot)
  if (snapshot.index <= (core.snapshot?.index ?? 0)) return
  recordSnapshot(core, snapshot)
  const through = compactionPoint(core, snapshot)
  if (through <= core.log.baseIndex) return
  core.log.compact(logIndex(through))
  core.replicaSets.compact(logIndex(through))
  core.persistence.record({ kind: 'compact', through: logIndex(through) })
}

function recordSnapshot(core: ReplicaCore, snapshot: Snapshot): void {
  core.snapshot = positionOf(snapshot)
  core.snapshotBytes = snapshot.data.byteLength
}

/** Index up to which the log is compacted. Keeps entries within the limits for followers that are slightly behind. */
function compactionPoint(core: ReplicaCore, snapshot: Snapshot): number {
  let through: number = snapshot.index
  let bytes = 0
  const lowest = Math.max(core.log.baseIndex, snapshot.index - core.limits.keptEntries)
  while (through > lowest) {
    const entry = core.log.at(logIndex(through))
    bytes += entry === undefined ? 0 : entryBytes(entry)
    if (bytes > core.limits.keptBytes) break
    through -= 1
  }
  return through
}

/**
 * Starts to send a snapshot to a follower in contact. If no usable snapshot is in memory, the host is asked for a new
 * one, so that the data of the last snapshot does not have to stay in memory. True if a chunk was sent.
 */
export function startSnapshotTransfer(core: ReplicaCore, progress: Progress): boolean {
  if (core.leaderState === undefined || isOutOfContact(core, progress)) return false
  progress.state = 'snapshot'
  progress.inFlight = []
  progress.transfer = undefined
  const { snapshot } = core.leaderState
  if (snapshot === undefined || core.log.termAt(snapshot.index) !== snapshot.term) {
    requestSnapshot(core)
    return false
  }
  sendFirstChunk(core, progress, snapshot)
  return true
}

function isOutOfContact(core: ReplicaCore, progress: Progress): boolean {
  return !progress.hasResponded || core.now - progress.lastContact >= core.limits.majorityTimeout
}

function sendFirstChunk(core: ReplicaCore, progress: Progress, snapshot: Snapshot): void {
  progress.transfer = { snapshot, offset: 0, sentAt: core.now }
  sendChunk(core, progress)
}

function startWaitingTransfers(core: ReplicaCore, snapshot: Snapshot): void {
  if (core.leaderState === undefined) return
  for (const progress of core.leaderState.progress.values()) {
    if (progress.state !== 'snapshot' || progress.transfer !== undefined) continue
    core.leaderState.snapshot = snapshot
    sendFirstChunk(core, progress, snapshot)
  }
}

/**
 * Called with every heartbeat: resends a chunk without a response, and aborts the transfer to a follower out of
 * contact.
 */
export function continueSnapshotTransfer(core: ReplicaCore, progress: Progress): void {
  const { transfer } = progress
  if (isOutOfContact(core, progress)) progress.startProbing(logIndex(progress.match + 1))
  else if (transfer === undefined) startSnapshotTransfer(core, progress)
  else if (core.now - transfer.sentAt >= RESEND_AFTER_HEARTBEATS * core.limits.heartbeatInterval)
    sendChunk(core, progress)
}

/** Releases the snapshot once no follower is receiving one. */
export function releaseSnapshot(leaderState: LeaderState): void {
  if (leaderState.snapshot === undefined) return
  for (const progress of leaderState.progress.values()) if (progress.state === 'snapshot') return
  leaderState.snapshot = undefined
}

function sendChunk(core: ReplicaCore, progress: Progress): void {
  const transfer = progress.transfer
  if (transfer === undefined) return
  transfer.sentAt = core.now
  const { index, term, replicas, data } = transfer.snapshot
  core.send({
    kind: 'snapshot-chunk',
    ...core.envelope(progress.replica),
    position: { index, term, replicas },
    size: data.byteLength,
    offset: transfer.offset,
    data: data.subarray(transfer.offset, transfer.offset + core.limits.chunkBytes),
    round: core.leaderState?.round ?? 0,
    sentAt: core.now,
  })
}

export function receiveChunk(core: ReplicaCore, message: SnapshotChunkMessage): void {
  if (message.term < core.term) {
    sendSnapshotResponse(core, message, 0, false)
    return
  }
  if (!acceptLeader(core, message)) return
  const { index, term } = message.position
  if (index <= core.commitIndex || core.log.termAt(index) === term) {
    // The local log already contains everything that the snapshot covers.
    if (index > core.commitIndex) core.commitIndex = index
    sendSnapshotResponse(core, message, message.size, index <= core.persistence.durableIndex)
    return
  }
  const received = storeChunk(core, message)
  if (received !== undefined) sendSnapshotResponse(core, message, received, false)
}

/** Returns the offset of the next byte needed, or undefined for a chunk with an invalid size or offset. */
function storeChunk(core: ReplicaCore, message: SnapshotChunkMessage): number | undefined {
  const end = message.offset + message.data.byteLength
  if (message.size > core.limits.maxSnapshotBytes || !(message.offset >= 0 && end <= message.size)) return undefined
  let incoming = core.incomingSnapshot
  if (incoming?.position.index !== message.position.index || incoming.size !== message.size) incoming = undefined
  if (incoming?.leader !== message.from || incoming.position.term !== message.position.term) incoming = undefined
  const { position, size } = message
  incoming ??= { position, size, leader: message.from, chunks: [], received: 0 }
  core.incomingSnapshot = incoming
  if (message.offset !== incoming.received) return incoming.received
  if (message.data.byteLength > 0) incoming.chunks.push(message.data)
  incoming.received = end
  if (end !== size) return end
  installSnapshot(core, { ...position, data: joinChunks(incoming.chunks, size) })
  core.installingChunk = { ...message, data: EMPTY_DATA }
  return end
}

function joinChunks(chunks: readonly Uint8Array[], size: number): Uint8Array {
  const data = new Uint8Array(size)
  let offset = 0
  for (const chunk of chunks) {
    data.set(chunk, offset)
    offset += chunk.byteLength
  }
  return data
}

/** Replaces the log and the replica set. The state machine is restored and the leader answered once it is synced. */
function installSnapshot(core: ReplicaCore, snapshot: Snapshot): void {
  core.incomingSnapshot = undefined
  core.requestedSnapshotIndex = undefined
  core.log.reset(snapshot.index, snapshot.term)
  core.replicaSets.reset(snapshot.index, snapshot.replicas)
  core.commitIndex = snapshot.index
  core.matchedIndex = snapshot.index
  core.unansweredProbe = undefined
  core.persistence.record({ kind: 'install', snapshot })
}

/** Called when a received snapshot is synced: restores the state machine from it and answers the leader. */
export function snapshotInstalled(core: ReplicaCore, snapshot: Snapshot): void {
  if (snapshot.index > (core.snapshot?.index ?? 0)) recordSnapshot(core, snapshot)
  if (snapshot.index <= core.appliedIndex) return
  core.appliedIndex = snapshot.index
  core.emit({ kind: 'restore', snapshot })
  const message = core.installingChunk
  core.installingChunk = undefined
  // After a change of term `installingChunk` is unset: the new leader gets a response to its own chunk instead.
  if (message?.position.index === snapshot.index) sendSnapshotResponse(core, message, message.size, true)
}

function sendSnapshotResponse(
  core: ReplicaCore,
  message: SnapshotChunkMessage,
  offset: number,
  installed: boolean,
): void {
  core.send({
    kind: 'snapshot-response',
    ...core.envelope(message.from),
    index: message.position.index,
    offset,
    installed,
    round: message.round,
    sentAt: message.sentAt,
  })
}

export function receiveSnapshotResponse(core: ReplicaCore, message: SnapshotResponseMessage): void {
  const progress = senderProgress(core, message)
  if (progress === undefined) return
  progress.recordContact(core.now, message.round, message.sentAt)
  if (message.installed && message.index <= core.commitIndex) progress.advanceMatch(message.index)
  const transfer = progress.transfer
  if (progress.state !== 'snapshot' || transfer?.snapshot.index !== message.index) return
  if (message.installed) {
    progress.startProbing(logIndex(progress.match + 1))
    sendPending(core, progress)
    return
  }
  const size = transfer.snapshot.data.byteLength
  if (message.offset < 0 || message.offset > size) return
  // The next chunk is sent only if the offset advanced. Sending one for every late or duplicate response would multiply
  // the chunks in flight.
  const isForward = message.offset > transfer.offset
  transfer.offset = message.offset
  if (isForward && message.offset < size) sendChunk(core, progress)
}
