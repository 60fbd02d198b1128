/**
 * Write-ahead log and snapshots of one replica, stored in one data folder.
 *
 * Appends that arrive during a sync are written in one batch and share the next sync. A write that the full disk refuses
 * is repeated until there is room, and everything behind it waits; nothing is reported as stored before it is synced.
 * After any other failed write or sync the log rejects every further operation. A failed sync is not retried, because
 * the operating system may have dropped the unwritten pages and a second sync could then succeed without having stored
 * them.
 */
import { randomBytes } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure, type LogIndex } from '@bilberrystall/base'
import {
  localFileSystem,
  storageFailure,
  writeAll,
  writeFileAtomically,
  type FileSystem,
  type OpenFile,
} from './file-system'
import { FullDiskRetry } from './full-disk-retry'
import { lockFolder, type FolderLock } from './lock'
import { encodeRecords, type LogRecord, type StoredBallot, type StoredEntry } from './record'
import { createDiskId, readSegments, readSnapshot, scanFolder, segmentName, type SegmentInfo } from './recover'
import { LOG_START, reconcileWithSnapshot, type LogPosition } from './replay'
import { encodeFrame, encodeHeader, encodeMarker, type SegmentHeader } from './segment'
import { encodeSnapshot, snapshotName, type StoredSnapshot } from './snapshot-file'

const MAX_SEGMENT_BYTES = 4 * 1024 * 1024
/** A compaction rotates the current segment if it is larger than this, so that the next compaction can remove it. */
const COMPACTION_ROTATION_BYTES = 64 * 1024
/** Maximum size of a batch. A larger record is written in a batch of its own. */
const MAX_BATCH_BYTES = 1024 * 1024
/** Estimated size of an encoded record without the data of its entry. */
const RECORD_OVERHEAD_BYTES = 64

export interface StoredLog {
  /** Random id of the data folder, generated on first use. */
  readonly diskId: string
  readonly ballot: StoredBallot
  readonly snapshot: StoredSnapshot | undefined
  /** Sorted by index without gaps. The first entries may be covered by the snapshot. */
  readonly entries: readonly StoredEntry[]
  /** Whether the log replaces a damaged one, so that it must not be taken for the first log of this node. */
  readonly replacesDamaged: boolean
}

export interface LogOptions {
  readonly folder: string
  readonly fileSystem?: FileSystem
  readonly lock?: (folder: string) => Promise<Result<FolderLock, Failure>>
  /** Called when the disk starts to refuse writes because it is full, and when it accepts them again. */
  readonly onFull?: (isFull: boolean) => void
}

export interface OpenedLog {
  readonly log: WriteAheadLog
  readonly stored: StoredLog
}

type ResolveOperation = (result: Result<void, Failure>) => void

type Operation =
  | { readonly kind: 'append'; readonly records: readonly LogRecord[]; readonly resolve: ResolveOperation }
  | { readonly kind: 'task'; readonly run: () => Promise<void>; readonly resolve: ResolveOperation }

interface Segment {
  readonly header: SegmentHeader
  readonly file: OpenFile
  offset: number
}

interface LogState {
  readonly folder: string
  readonly fileSystem: FileSystem
  readonly lock: FolderLock
  segment: Segment
  segments: SegmentInfo[]
  ballot: StoredBallot
  lastPosition: LogPosition
  snapshotIndex: LogIndex
  readonly retry: FullDiskRetry
}

/**
 * Opens the log and recovers its content, which writes to the disk. Errors: `folder-in-use`, `folder-unusable`,
 * `log-damaged`, `snapshot-damaged`, `format-unknown`, `sync-failed`; `disk-full`, after which it may be opened again.
 */
export async function openLog(options: LogOptions): Promise<Result<OpenedLog, Failure>> {
  const { folder, fileSystem = localFileSystem } = options
  try {
    await fileSystem.makeFolder(folder)
    const lock = await (options.lock ?? lockFolder)(folder)
    if (lock.isErr()) return err(lock.error)
    const opened = await recover(folder, fileSystem, lock.value, new FullDiskRetry(options.onFull))
    if (opened.isErr()) await lock.value.release()
    return opened
  } catch (cause) {
    return err(storageFailure(cause, 'folderUnusable', `cannot open ${folder}`))
  }
}

async function recover(
  folder: string,
  fileSystem: FileSystem,
  lock: FolderLock,
  retry: FullDiskRetry,
): Promise<Result<OpenedLog, Failure>> {
  try {
    const contents = await scanFolder(fileSystem, folder)
    const diskId = contents.diskId ?? (await initializeFolder(fileSystem, folder, contents))
    if (typeof diskId !== 'string') return err(diskId)
    const numbers = contents.diskId === undefined ? [1] : contents.segmentNumbers
    const snapshot = await readSnapshot(fileSystem, folder, contents.snapshotNames)
    if (snapshot.isErr()) return err(snapshot.error)
    const recovered = await readSegments(fileSystem, folder, numbers)
    if (recovered.isErr()) return err(recovered.error)
    const { replay, header, endOffset } = recovered.value
    const entries = reconcileWithSnapshot(replay, snapshot.value)
    if (entries.isErr()) return err(entries.error)
    const file = await fileSystem.open(`${folder}/${segmentName(header.number)}`)
    const log = new WriteAheadLog({
      folder,
      fileSystem,
      lock,
      segment: { header, file, offset: endOffset },
      segments: [...recovered.value.segments],
      ballot: replay.ballot,
      lastPosition: replay.last,
      snapshotIndex: snapshot.value?.index ?? LOG_START.index,
      retry,
    })
    if (entries.value === undefined && snapshot.value !== undefined) {
      try {
        await log.reset(snapshot.value)
      } catch (cause) {
        await file.close().catch(() => undefined)
        throw cause
      }
    }
    retry.start()
    const { replacesDamaged } = contents
    const recoveredEntries = entries.value ?? []
    const { ballot } = replay
    const stored = { diskId, ballot, snapshot: snapshot.value, entries: recoveredEntries, replacesDamaged }
    return ok({ log, stored })
  } catch (cause) {
    return err(storageFailure(cause, 'folderUnusable', `cannot read ${folder}`))
  }
}

/** Initializes an empty folder. The first segment may exist already if an earlier initialization was interrupted. */
async function initializeFolder(
  fileSystem: FileSystem,
  folder: string,
  contents: { readonly segmentNumbers: readonly number[]; readonly snapshotNames: readonly string[] },
): Promise<string | Failure> {
  const wasInterrupted = contents.segmentNumbers.length <= 1 && (contents.segmentNumbers[0] ?? 1) === 1
  if (!wasInterrupted || contents.snapshotNames.length > 0)
    return failure('logDamaged', 'the folder contains segments or snapshots, but disk.json is missing')
  if (contents.segmentNumbers.length === 1) {
    const recovered = await readSegments(fileSystem, folder, contents.segmentNumbers)
    if (recovered.isErr()) return recovered.error
    if (recovered.value.replay.last.index > 0)
      return failure('logDamaged', 'the folder contains segments or snapshots, but disk.json is missing')
  }
  const ballot: StoredBallot = { term: 0 as StoredBallot['term'], votedFor: undefined }
  await createSegment(fileSystem, folder, 1, ballot, LOG_START, false)
  return createDiskId(fileSystem, folder)
}

async function createSegment(
  fileSystem: FileSystem,
  folder: string,
  number: number,
  ballot: StoredBallot,
  last: LogPosition,
  reset: boolean,
): Promise<{ readonly header: SegmentHeader; readonly offset: number }> {
  const header: SegmentHeader = { number, salt: randomBytes(8) }
  const headerBytes = encodeHeader(header)
  const start = encodeRecords([{ kind: 'start', ballot, lastIndex: last.index, lastTerm: last.term, reset }])
  const frame = encodeFrame(header, headerBytes.byteLength, start)
  const end = headerBytes.byteLength + frame.byteLength
  const marker = encodeMarker(header, end)
  // The file gets its name only after it has been synced, so the marker is correct whenever the segment is found.
  await writeFileAtomically(fileSystem, folder, segmentName(number), [headerBytes, frame, marker])
  return { header, offset: end + marker.byteLength }
}

export class WriteAheadLog {
  readonly #state: LogState
  #queue: Operation[] = []
  #processing: Promise<void> | undefined
  #snapshotWrites: Promise<unknown> = Promise.resolve()
  #failure: Failure | undefined

  constructor(state: LogState) {
    this.#state = state
  }

  /** Resolves when these records and all earlier ones are synced. Errors: `sync-failed`, `disk-full`. */
  append(records: readonly LogRecord[]): Promise<Result<void, Failure>> {
    return this.#enqueue((resolve) => ({ kind: 'append', records, resolve }))
  }

  /** Resolves when all records appended so far are synced. */
  sync(): Promise<Result<void, Failure>> {
    return this.append([])
  }

  /** Stores a snapshot of the state machine. Appends continue meanwhile. */
  saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    return this.#runUnlessFailed(() => this.#writeSnapshot(snapshot))
  }

  /** Stores a snapshot that replaces the whole log. Runs in order with the appends. */
  installSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    return this.#enqueue((resolve) => ({
      kind: 'task',
      run: async () => {
        await this.#writeSnapshot(snapshot)
        if (this.#state.snapshotIndex === snapshot.index) await this.reset(snapshot)
      },
      resolve,
    }))
  }

  /** Removes segments that only have entries up to `through`. A stored snapshot must cover these entries. */
  compact(through: LogIndex): Promise<Result<void, Failure>> {
    return this.#enqueue((resolve) => ({ kind: 'task', run: () => this.#compact(through), resolve }))
  }

  /** Waits for pending operations, closes the log and unlocks the folder. Operations that wait for room fail. */
  async close(): Promise<void> {
    this.#state.retry.stop()
    while (this.#processing !== undefined) await this.#processing
    await this.#snapshotWrites
    this.#failure ??= failure('folderUnusable', 'the log is closed')
    try {
      await this.#state.segment.file.close()
    } finally {
      await this.#state.lock.release()
    }
  }

  /** Discards all entries in favor of a snapshot by starting a new segment. Used on opening and on installing. */
  async reset(position: LogPosition): Promise<void> {
    this.#state.lastPosition = { index: position.index, term: position.term }
    await this.#rotateSegment(true)
    await this.#removeSegments((segment) => segment.number !== this.#state.segment.header.number)
  }

  #enqueue(createOperation: (resolve: ResolveOperation) => Operation): Promise<Result<void, Failure>> {
    if (this.#failure !== undefined) return Promise.resolve(err(this.#failure))
    return new Promise((resolve) => {
      this.#queue.push(createOperation(resolve))
      this.#processing ??= this.#processQueue()
    })
  }

  async #processQueue(): Promise<void> {
    // Wait for the other operations of this turn of the event loop, so that they are written in one batch.
    await Promise.resolve()
    while (this.#queue.length > 0) {
      const batch = this.#takeBatch()
      const result = await this.#runUnlessFailed(() => this.#execute(batch))
      for (const { resolve } of batch) resolve(result)
    }
    this.#processing = undefined
  }

  /** Removes the next task from the queue, or as many appends as fit into one batch. */
  #takeBatch(): readonly Operation[] {
    let bytes = 0
    let count = 0
    for (const operation of this.#queue) {
      if (operation.kind === 'task') break
      bytes += estimateBytes(operation.records)
      if (count > 0 && bytes > MAX_BATCH_BYTES) break
      count += 1
    }
    return this.#queue.splice(0, Math.max(1, count))
  }

  async #execute(batch: readonly Operation[]): Promise<void> {
    const [first] = batch
    if (first?.kind === 'task') {
      await first.run()
      return
    }
    const records = batch.flatMap((operation) => (operation.kind === 'append' ? operation.records : []))
    if (records.length > 0) await this.#write(records)
  }

  /** Runs `work` unless the log has failed already. A failure of `work` makes the log fail permanently. */
  async #runUnlessFailed(work: () => Promise<void>): Promise<Result<void, Failure>> {
    if (this.#failure !== undefined) return err(this.#failure)
    try {
      await work()
      return ok()
    } catch (cause) {
      this.#failure ??= storageFailure(cause, 'syncFailed', `cannot write to ${this.#state.folder}`)
      return err(this.#failure)
    }
  }

  async #write(records: readonly LogRecord[]): Promise<void> {
    if (this.#state.segment.offset >= MAX_SEGMENT_BYTES) await this.#rotateSegment(false)
    const { segment, retry } = this.#state
    const frame = encodeFrame(segment.header, segment.offset, encodeRecords(records))
    // A sync that fails for lack of room is repeated together with the write, so that all pages are written again.
    await retry.run(async () => {
      await writeAll(segment.file, frame, segment.offset)
      await segment.file.datasync()
    })
    const end = segment.offset + frame.byteLength
    for (const record of records) this.#updateState(record)
    const marker = encodeMarker(segment.header, end)
    await retry.run(() => writeAll(segment.file, marker, end))
    segment.offset = end + marker.byteLength
  }

  /** Updates the state in memory after a record has been synced. */
  #updateState(record: LogRecord): void {
    if (record.kind === 'ballot') {
      this.#state.ballot = record.ballot
      return
    }
    const { index, term } = record.entry
    this.#state.lastPosition = { index, term }
    const current = this.#state.segments.pop()
    if (current === undefined) return
    this.#state.segments.push(index > current.highestIndex ? { ...current, highestIndex: index } : current)
  }

  async #rotateSegment(reset: boolean): Promise<void> {
    const state = this.#state
    const { folder, fileSystem, ballot, lastPosition } = state
    const number = state.segment.header.number + 1
    const { header, offset } = await state.retry.run(() =>
      createSegment(fileSystem, folder, number, ballot, lastPosition, reset),
    )
    const file = await fileSystem.open(`${folder}/${segmentName(number)}`)
    await state.segment.file.close()
    state.segment = { header, file, offset }
    state.segments.push({ number, highestIndex: LOG_START.index })
  }

  async #compact(through: LogIndex): Promise<void> {
    if (this.#state.segment.offset > COMPACTION_ROTATION_BYTES) await this.#rotateSegment(false)
    const current = this.#state.segment.header.number
    let isCovered = true
    await this.#removeSegments((segment) => {
      isCovered = isCovered && segment.number !== current && segment.highestIndex <= through
      return isCovered
    })
  }

  /** Removes the oldest segment first, so that the remaining segments are contiguous after a crash. */
  async #removeSegments(shouldRemove: (segment: SegmentInfo) => boolean): Promise<void> {
    const { folder, fileSystem, segments } = this.#state
    const removed = segments.filter(shouldRemove)
    for (const { number } of removed) {
      await fileSystem.remove(`${folder}/${segmentName(number)}`)
      await fileSystem.syncFolder(folder)
    }
    this.#state.segments = segments.filter((segment) => !removed.includes(segment))
  }

  /** Writes one snapshot at a time and skips those that are not newer than the stored one. */
  #writeSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const written = this.#snapshotWrites.then(() => this.#replaceSnapshot(snapshot))
    this.#snapshotWrites = written.catch(() => undefined)
    return written
  }

  async #replaceSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const { folder, fileSystem, snapshotIndex: previousIndex, retry } = this.#state
    if (snapshot.index <= previousIndex) return
    const name = snapshotName(snapshot.index)
    await retry.run(() => writeFileAtomically(fileSystem, folder, name, encodeSnapshot(snapshot)))
    this.#state.snapshotIndex = snapshot.index
    if (previousIndex > 0) await fileSystem.remove(`${folder}/${snapshotName(previousIndex)}`)
  }
}

function estimateBytes(records: readonly LogRecord[]): number {
  let bytes = 0
  for (const record of records)
    bytes += RECORD_OVERHEAD_BYTES + (record.kind === 'entry' ? record.entry.data.byteLength : 0)
  return bytes
}
