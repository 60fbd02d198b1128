/** Snapshots: taking them to compact the log, and sending them in chunks to followers that need discarded entries. */
import { logIndex } from '@bilberrystall/base'
import { positionOf, type Core, type Leadership } from './core'
import { entryBytes } from './log'
import type { Snapshot, SnapshotChunkMessage, SnapshotResponseMessage } from './message'
import type { Progress } from './progress'
import { followLeader, followerOf, sendPending } from './replication'

/** Number of heartbeat intervals after which a chunk without a response is sent again. */
const RESEND_HEARTBEATS = 3

const NO_DATA = new Uint8Array(0)

/** Requests a snapshot from the host once the log, or the part of it that a restart replays, has reached its limit. */
export function shortenLog(core: Core): void {
  if (core.applied - (core.snapshot?.index ?? 0) >= replayLimit(core)) requestSnapshot(core)
  if (!isLogLong(core)) return
  const covered = core.applied - (core.snapshot?.index ?? 0)
  // Entries that are not applied yet cannot be discarded. Waiting for several avoids a snapshot per applied entry.
  if (covered <= 0 || (covered < core.limits.keptEntries && core.log.bytes < core.limits.logBytes)) return
  requestSnapshot(core)
}

function requestSnapshot(core: Core): void {
  const index = core.applied
  const entryTerm = core.log.termAt(index)
  if (core.snapshotRequested !== undefined || entryTerm === undefined) return
  core.snapshotRequested = index
  core.emit({ kind: 'take-snapshot', position: { index, term: entryTerm, replicas: core.sets.at(index) } })
}

function replayLimit(core: Core): number {
  return core.limits.replayEntries + Math.floor(core.snapshotBytes / core.limits.replayBytes)
}

function isLogLong(core: Core): boolean {
  return core.log.length >= core.limits.logEntries || core.log.bytes >= core.limits.logBytes
}

export function snapshotTaken(core: Core, snapshot: Snapshot): void {
  if (snapshot.index === core.snapshotRequested) core.snapshotRequested = undefined
  if (snapshot.index > core.applied || core.log.termAt(snapshot.index) !== snapshot.term) return
  serveWaiting(core, snapshot)
  if (snapshot.index <= (core.snapshot?.index ?? 0)) return
  keepPosition(core, snapshot)
  const through = compactionPoint(core, snapshot)
  if (through <= core.log.baseIndex) return
  core.log.compact(logIndex(through))
  core.sets.compact(logIndex(through))
  core.disk.record({ kind: 'compact', through: logIndex(through) })
}

function keepPosition(core: Core, snapshot: Snapshot): void {
  core.snapshot = positionOf(snapshot)
  core.snapshotBytes = snapshot.data.byteLength
}

/** Index up to which the log is compacted. Keeps entries within the limits for followers that are slightly behind. */
function compactionPoint(core: Core, snapshot: Snapshot): number {
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
export function startSnapshotTransfer(core: Core, progress: Progress): boolean {
  if (core.lead === undefined || isSilent(core, progress)) return false
  progress.state = 'snapshot'
  progress.inFlight = []
  progress.transfer = undefined
  const { snapshot } = core.lead
  if (snapshot === undefined || core.log.termAt(snapshot.index) !== snapshot.term) {
    requestSnapshot(core)
    return false
  }
  sendFirstChunk(core, progress, snapshot)
  return true
}

function isSilent(core: Core, progress: Progress): boolean {
  return !progress.heard || core.now - progress.lastContact >= core.limits.majorityTimeout
}

function sendFirstChunk(core: Core, progress: Progress, snapshot: Snapshot): void {
  progress.transfer = { snapshot, offset: 0, sentAt: core.now }
  sendChunk(core, progress)
}

function serveWaiting(core: Core, snapshot: Snapshot): void {
  if (core.lead === undefined) return
  for (const progress of core.lead.progress.values()) {
    if (progress.state !== 'snapshot' || progress.transfer !== undefined) continue
    core.lead.snapshot = snapshot
    sendFirstChunk(core, progress, snapshot)
  }
}

/**
 * Called with every heartbeat: resends a chunk without a response, and aborts the transfer to a follower out of
 * contact.
 */
export function continueTransfer(core: Core, progress: Progress): void {
  const { transfer } = progress
  if (isSilent(core, progress)) progress.probeFrom(logIndex(progress.match + 1))
  else if (transfer === undefined) startSnapshotTransfer(core, progress)
  else if (core.now - transfer.sentAt >= RESEND_HEARTBEATS * core.limits.heartbeat) sendChunk(core, progress)
}

/** Releases the snapshot once no follower is receiving one. */
export function releaseSnapshot(lead: Leadership): void {
  if (lead.snapshot === undefined) return
  for (const progress of lead.progress.values()) if (progress.state === 'snapshot') return
  lead.snapshot = undefined
}

function sendChunk(core: Core, progress: Progress): void {
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
    round: core.lead?.round ?? 0,
    sentAt: core.now,
  })
}

export function receiveChunk(core: Core, message: SnapshotChunkMessage): void {
  if (message.term < core.term) {
    respond(core, message, 0, false)
    return
  }
  if (!followLeader(core, message)) return
  const { index, term } = message.position
  if (index <= core.commit || core.log.termAt(index) === term) {
    // The local log already contains everything that the snapshot covers.
    if (index > core.commit) core.commit = index
    respond(core, message, message.size, index <= core.disk.durable)
    return
  }
  const received = storeChunk(core, message)
  if (received !== undefined) respond(core, message, received, false)
}

/** Returns the offset of the next byte needed, or undefined for a chunk with an invalid size or offset. */
function storeChunk(core: Core, message: SnapshotChunkMessage): number | undefined {
  const end = message.offset + message.data.byteLength
  if (message.size > core.limits.snapshotBytes || !(message.offset >= 0 && end <= message.size)) return undefined
  let incoming = core.incoming
  if (incoming?.position.index !== message.position.index || incoming.size !== message.size) incoming = undefined
  if (incoming?.leader !== message.from || incoming.position.term !== message.position.term) incoming = undefined
  const { position, size } = message
  incoming ??= { position, size, leader: message.from, chunks: [], received: 0 }
  core.incoming = incoming
  if (message.offset !== incoming.received) return incoming.received
  if (message.data.byteLength > 0) incoming.chunks.push(message.data)
  incoming.received = end
  if (end !== size) return end
  install(core, { ...position, data: joinChunks(incoming.chunks, size) })
  core.installing = { ...message, data: NO_DATA }
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
function install(core: Core, snapshot: Snapshot): void {
  core.incoming = undefined
  core.snapshotRequested = undefined
  core.log.reset(snapshot.index, snapshot.term)
  core.sets.reset(snapshot.index, snapshot.replicas)
  core.commit = snapshot.index
  core.matched = snapshot.index
  core.unanswered = undefined
  core.disk.record({ kind: 'install', snapshot })
}

/** Called when a received snapshot is synced: restores the state machine from it and answers the leader. */
export function snapshotInstalled(core: Core, snapshot: Snapshot): void {
  if (snapshot.index > (core.snapshot?.index ?? 0)) keepPosition(core, snapshot)
  if (snapshot.index <= core.applied) return
  core.applied = snapshot.index
  core.emit({ kind: 'restore', snapshot })
  const message = core.installing
  core.installing = undefined
  // After a change of term `installingChunk` is unset: the new leader gets a response to its own chunk instead.
  if (message?.position.index === snapshot.index) respond(core, message, message.size, true)
}

function respond(core: Core, message: SnapshotChunkMessage, offset: number, installed: boolean): void {
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

export function receiveSnapshotResponse(core: Core, message: SnapshotResponseMessage): void {
  const progress = followerOf(core, message)
  if (progress === undefined) return
  progress.contact(core.now, message.round, message.sentAt)
  if (message.installed && message.index <= core.commit) progress.matched(message.index)
  const transfer = progress.transfer
  if (progress.state !== 'snapshot' || transfer?.snapshot.index !== message.index) return
  if (message.installed) {
    progress.probeFrom(logIndex(progress.match + 1))
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
