/** Taking snapshots to shorten the log, and sending them in chunks to followers that need entries no longer held. */
import { logIndex } from '@bilberrystall/base'
import type { Core } from './core'
import { entryBytes } from './log'
import type { Snapshot, SnapshotChunkMessage, SnapshotResponseMessage } from './message'
import type { Progress } from './progress'
import { followLeader, followerOf, sendPending } from './replication'

/** A chunk without a response is sent again after this many heartbeat intervals. */
const RESEND_HEARTBEATS = 3

const NO_DATA = new Uint8Array(0)

/** Asks the host for a snapshot once the log has reached one of its limits. */
export function requestSnapshot(core: Core): void {
  if (core.snapshotRequested !== undefined || !isLogLong(core)) return
  const index = core.applied
  const entryTerm = core.log.termAt(index)
  const covered = index - (core.snapshot?.index ?? 0)
  if (entryTerm === undefined || covered <= 0) return
  // Entries that are not applied yet cannot be dropped; waiting for some avoids a snapshot per applied entry.
  if (covered < core.limits.keptEntries && core.log.bytes < core.limits.logBytes) return
  core.snapshotRequested = index
  core.emit({ kind: 'take-snapshot', position: { index, term: entryTerm, replicas: core.sets.at(index) } })
}

function isLogLong(core: Core): boolean {
  return core.log.length >= core.limits.logEntries || core.log.bytes >= core.limits.logBytes
}

export function snapshotTaken(core: Core, snapshot: Snapshot): void {
  if (snapshot.index === core.snapshotRequested) core.snapshotRequested = undefined
  const isNew = snapshot.index > (core.snapshot?.index ?? 0) && snapshot.index <= core.applied
  if (!isNew || core.log.termAt(snapshot.index) !== snapshot.term) return
  core.snapshot = snapshot
  const through = compactionPoint(core, snapshot)
  if (through <= core.log.baseIndex) return
  core.log.compact(logIndex(through))
  core.sets.compact(logIndex(through))
  core.disk.record({ kind: 'compact', through: logIndex(through) })
}

/** Keeps the entries before the snapshot that fit the limits for followers slightly behind. */
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

export function startSnapshotTransfer(core: Core, progress: Progress): boolean {
  const snapshot = core.snapshot
  if (snapshot === undefined) return false
  progress.state = 'snapshot'
  progress.inFlight = []
  progress.transfer = { snapshot, offset: 0, sentAt: core.now }
  sendChunk(core, progress)
  return true
}

export function resendChunk(core: Core, progress: Progress): void {
  const transfer = progress.transfer
  if (transfer === undefined || core.now - transfer.sentAt < RESEND_HEARTBEATS * core.limits.heartbeat) return
  sendChunk(core, progress)
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
    // Everything the snapshot covers is in this log already.
    if (index > core.commit) core.commit = index
    respond(core, message, message.size, index <= core.disk.durable)
    return
  }
  const received = storeChunk(core, message)
  if (received !== undefined) respond(core, message, received, false)
}

/** Returns the offset of the next byte needed, undefined for a chunk that cannot be part of a snapshot. */
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

/** Replaces log and replica set at once; state machine and acknowledgement wait until the snapshot is synced. */
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

/** The snapshot is on disk: the state machine may use it and the leader may count on it. */
export function snapshotInstalled(core: Core, snapshot: Snapshot): void {
  if (snapshot.index > (core.snapshot?.index ?? 0)) core.snapshot = snapshot
  if (snapshot.index <= core.applied) return
  core.applied = snapshot.index
  core.emit({ kind: 'restore', snapshot })
  const message = core.installing
  core.installing = undefined
  // After a change of term the new leader learns of it from the response to its own chunk.
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
  const moved = message.offset !== transfer.offset && message.offset >= 0 && message.offset <= size
  if (!moved) return
  transfer.offset = message.offset
  if (transfer.offset < size) sendChunk(core, progress)
}
