/**
 * Write-ahead log and snapshots of one replica, stored in one data folder.
 *
 * Appends that arrive during a sync are written in one batch and share the next sync. After the first failed write or
 * sync the log rejects every further operation. A failed sync is not retried, because the operating system may have
 * dropped the unwritten pages and a second sync could then succeed without having stored them.
 */
import { randomBytes } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure, type LogIndex } from '@bilberrystall/base'
import { nodeFileSystem, replaceFile, storageFailure, writeFully, type FileSystem, type OpenFile } from './file-system'
import { lockFolder, type FolderLock } from './lock'
import { encodeRecords, type LogRecord, type StoredBallot, type StoredEntry } from './record'
import { createDisk, readSegments, readSnapshot, segmentName, takeInventory, type SegmentInfo } from './recover'
import { LOG_START, entriesFor, type Position } from './replay'
import { encodeFrame, encodeHeader, encodeMarker, type SegmentHeader } from './segment'
import { encodeSnapshot, snapshotName, type StoredSnapshot } from './snapshot-file'

const SEGMENT_BYTES = 4 * 1024 * 1024
/** A compaction rotates the current segment if it is larger than this, so that the next compaction can remove it. */
const COMPACTED_SEGMENT_BYTES = 64 * 1024
/** Maximum size of a batch. A larger record is written in a batch of its own. */
const GROUP_BYTES = 1024 * 1024
const RECORD_OVERHEAD = 64

export interface StoredLog {
  /** Random id of the data folder, generated on first use. */
  readonly disk: string
  readonly ballot: StoredBallot
  readonly snapshot: StoredSnapshot | undefined
  /** Sorted by index without gaps. The first entries may be covered by the snapshot. */
  readonly entries: readonly StoredEntry[]
}

export interface LogOptions {
  readonly folder: string
  readonly fileSystem?: FileSystem
  readonly lock?: (folder: string) => Promise<Result<FolderLock, Failure>>
}

export interface OpenedLog {
  readonly log: WriteAheadLog
  readonly stored: StoredLog
}

type Done = (result: Result<void, Failure>) => void

type Operation =
  | { readonly kind: 'append'; readonly records: readonly LogRecord[]; readonly done: Done }
  | { readonly kind: 'task'; readonly run: () => Promise<void>; readonly done: Done }

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
  last: Position
  snapshot: LogIndex
}

/**
 * Opens the log and recovers its content. Errors: `folder-in-use`, `folder-unusable`, `log-damaged`,
 * `snapshot-damaged`, `format-unknown`, `sync-failed`, `disk-full`.
 */
export async function openLog(options: LogOptions): Promise<Result<OpenedLog, Failure>> {
  const { folder, fileSystem = nodeFileSystem } = options
  try {
    await fileSystem.makeFolder(folder)
    const lock = await (options.lock ?? lockFolder)(folder)
    if (lock.isErr()) return err(lock.error)
    const opened = await recover(folder, fileSystem, lock.value)
    if (opened.isErr()) await lock.value.release()
    return opened
  } catch (cause) {
    return err(storageFailure(cause, 'folderUnusable', `cannot open ${folder}`))
  }
}

async function recover(folder: string, fileSystem: FileSystem, lock: FolderLock): Promise<Result<OpenedLog, Failure>> {
  try {
    const found = await takeInventory(fileSystem, folder)
    const disk = found.disk ?? (await setUp(fileSystem, folder, found))
    if (typeof disk !== 'string') return err(disk)
    const numbers = found.disk === undefined ? [1] : found.segments
    const snapshot = await readSnapshot(fileSystem, folder, found.snapshots)
    if (snapshot.isErr()) return err(snapshot.error)
    const read = await readSegments(fileSystem, folder, numbers)
    if (read.isErr()) return err(read.error)
    const { replay, header, end } = read.value
    const entries = entriesFor(replay, snapshot.value)
    if (entries.isErr()) return err(entries.error)
    const file = await fileSystem.open(`${folder}/${segmentName(header.number)}`)
    const log = new WriteAheadLog({
      folder,
      fileSystem,
      lock,
      segment: { header, file, offset: end },
      segments: [...read.value.segments],
      ballot: replay.ballot,
      last: replay.last,
      snapshot: snapshot.value?.index ?? LOG_START.index,
    })
    if (entries.value === undefined && snapshot.value !== undefined) await log.reset(snapshot.value)
    const stored = { disk, ballot: replay.ballot, snapshot: snapshot.value, entries: entries.value ?? [] }
    return ok({ log, stored })
  } catch (cause) {
    return err(storageFailure(cause, 'folderUnusable', `cannot read ${folder}`))
  }
}

/** Initializes an empty folder. The first segment may exist already if an earlier initialization was interrupted. */
async function setUp(
  fileSystem: FileSystem,
  folder: string,
  found: { readonly segments: readonly number[]; readonly snapshots: readonly string[] },
): Promise<string | Failure> {
  const interrupted = found.segments.length <= 1 && (found.segments[0] ?? 1) === 1
  if (!interrupted || found.snapshots.length > 0) return failure('logDamaged', 'the disk id is missing')
  if (found.segments.length === 1) {
    const read = await readSegments(fileSystem, folder, found.segments)
    if (read.isErr()) return read.error
    if (read.value.replay.last.index > 0) return failure('logDamaged', 'the disk id is missing')
  }
  const ballot: StoredBallot = { term: 0 as StoredBallot['term'], votedFor: undefined }
  await createSegment(fileSystem, folder, 1, ballot, LOG_START, false)
  return createDisk(fileSystem, folder)
}

async function createSegment(
  fileSystem: FileSystem,
  folder: string,
  number: number,
  ballot: StoredBallot,
  last: Position,
  reset: boolean,
): Promise<{ readonly header: SegmentHeader; readonly offset: number }> {
  const header: SegmentHeader = { number, salt: randomBytes(8) }
  const head = encodeHeader(header)
  const start = encodeRecords([{ kind: 'start', ballot, lastIndex: last.index, lastTerm: last.term, reset }])
  const frame = encodeFrame(header, head.byteLength, start)
  const end = head.byteLength + frame.byteLength
  const marker = encodeMarker(header, end)
  // The file gets its name only after it has been synced, so the marker is correct whenever the segment is found.
  await replaceFile(fileSystem, folder, segmentName(number), [head, frame, marker])
  return { header, offset: end + marker.byteLength }
}

export class WriteAheadLog {
  readonly #state: LogState
  #queue: Operation[] = []
  #running: Promise<void> | undefined
  #snapshots: Promise<unknown> = Promise.resolve()
  #failure: Failure | undefined

  constructor(state: LogState) {
    this.#state = state
  }

  /** Resolves when these records and all earlier ones are synced. Errors: `sync-failed`, `disk-full`. */
  append(records: readonly LogRecord[]): Promise<Result<void, Failure>> {
    return this.#enqueue((done) => ({ kind: 'append', records, done }))
  }

  /** Resolves when all records appended so far are synced. */
  sync(): Promise<Result<void, Failure>> {
    return this.append([])
  }

  /** Stores a snapshot of the state machine. Appends continue meanwhile. */
  saveSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    return this.#guard(() => this.#writeSnapshot(snapshot))
  }

  /** Stores a snapshot that replaces the whole log. Runs in order with the appends. */
  installSnapshot(snapshot: StoredSnapshot): Promise<Result<void, Failure>> {
    return this.#enqueue((done) => ({
      kind: 'task',
      run: async () => {
        await this.#writeSnapshot(snapshot)
        if (this.#state.snapshot === snapshot.index) await this.reset(snapshot)
      },
      done,
    }))
  }

  /** Removes segments that only have entries up to `through`. A stored snapshot must cover these entries. */
  compact(through: LogIndex): Promise<Result<void, Failure>> {
    return this.#enqueue((done) => ({ kind: 'task', run: () => this.#compact(through), done }))
  }

  /** Waits for pending operations, closes the log and unlocks the folder. */
  async close(): Promise<void> {
    while (this.#running !== undefined) await this.#running
    await this.#snapshots
    this.#failure ??= failure('folderUnusable', 'the log is closed')
    await this.#state.segment.file.close()
    await this.#state.lock.release()
  }

  /** Discards all entries in favor of a snapshot by starting a new segment. Used on opening and on installing. */
  async reset(position: Position): Promise<void> {
    this.#state.last = { index: position.index, term: position.term }
    await this.#startSegment(true)
    await this.#removeSegments((segment) => segment.number !== this.#state.segment.header.number)
  }

  #enqueue(operation: (done: Done) => Operation): Promise<Result<void, Failure>> {
    if (this.#failure !== undefined) return Promise.resolve(err(this.#failure))
    return new Promise((resolve) => {
      this.#queue.push(operation(resolve))
      this.#running ??= this.#run()
    })
  }

  async #run(): Promise<void> {
    // Wait for the other operations of this turn of the event loop, so that they are written in one batch.
    await Promise.resolve()
    while (this.#queue.length > 0) {
      const group = this.#takeGroup()
      const result = await this.#guard(() => this.#perform(group))
      for (const { done } of group) done(result)
    }
    this.#running = undefined
  }

  /** Removes the next task from the queue, or as many appends as fit into one batch. */
  #takeGroup(): readonly Operation[] {
    let bytes = 0
    let count = 0
    for (const operation of this.#queue) {
      if (operation.kind === 'task') break
      bytes += bytesOf(operation.records)
      if (count > 0 && bytes > GROUP_BYTES) break
      count += 1
    }
    return this.#queue.splice(0, Math.max(1, count))
  }

  async #perform(group: readonly Operation[]): Promise<void> {
    const [first] = group
    if (first?.kind === 'task') {
      await first.run()
      return
    }
    const records = group.flatMap((operation) => (operation.kind === 'append' ? operation.records : []))
    if (records.length > 0) await this.#write(records)
  }

  async #guard(work: () => Promise<void>): Promise<Result<void, Failure>> {
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
    if (this.#state.segment.offset >= SEGMENT_BYTES) await this.#startSegment(false)
    const { segment } = this.#state
    const frame = encodeFrame(segment.header, segment.offset, encodeRecords(records))
    await writeFully(segment.file, frame, segment.offset)
    await segment.file.datasync()
    const end = segment.offset + frame.byteLength
    for (const record of records) this.#note(record)
    const marker = encodeMarker(segment.header, end)
    await writeFully(segment.file, marker, end)
    segment.offset = end + marker.byteLength
  }

  #note(record: LogRecord): void {
    if (record.kind === 'ballot') {
      this.#state.ballot = record.ballot
      return
    }
    const { index, term } = record.entry
    this.#state.last = { index, term }
    const current = this.#state.segments.pop()
    if (current === undefined) return
    this.#state.segments.push(index > current.highest ? { ...current, highest: index } : current)
  }

  async #startSegment(reset: boolean): Promise<void> {
    const state = this.#state
    const { folder, fileSystem, ballot, last } = state
    const number = state.segment.header.number + 1
    const { header, offset } = await createSegment(fileSystem, folder, number, ballot, last, reset)
    const file = await fileSystem.open(`${folder}/${segmentName(number)}`)
    await state.segment.file.close()
    state.segment = { header, file, offset }
    state.segments.push({ number, highest: LOG_START.index })
  }

  async #compact(through: LogIndex): Promise<void> {
    if (this.#state.segment.offset > COMPACTED_SEGMENT_BYTES) await this.#startSegment(false)
    const current = this.#state.segment.header.number
    let covered = true
    await this.#removeSegments((segment) => {
      covered = covered && segment.number !== current && segment.highest <= through
      return covered
    })
  }

  /** Removes the oldest segment first, so that the remaining segments are contiguous after a crash. */
  async #removeSegments(isRemoved: (segment: SegmentInfo) => boolean): Promise<void> {
    const { folder, fileSystem, segments } = this.#state
    const removed = segments.filter(isRemoved)
    for (const { number } of removed) {
      await fileSystem.remove(`${folder}/${segmentName(number)}`)
      await fileSystem.syncFolder(folder)
    }
    this.#state.segments = segments.filter((segment) => !removed.includes(segment))
  }

  /** Writes one snapshot at a time and skips those that are not newer than the stored one. */
  #writeSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const written = this.#snapshots.then(() => this.#replaceSnapshot(snapshot))
    this.#snapshots = written.catch(() => undefined)
    return written
  }

  async #replaceSnapshot(snapshot: StoredSnapshot): Promise<void> {
    const { folder, fileSystem, snapshot: older } = this.#state
    if (snapshot.index <= older) return
    await replaceFile(fileSystem, folder, snapshotName(snapshot.index), encodeSnapshot(snapshot))
    this.#state.snapshot = snapshot.index
    if (older > 0) await fileSystem.remove(`${folder}/${snapshotName(older)}`)
  }
}

function bytesOf(records: readonly LogRecord[]): number {
  let bytes = 0
  for (const record of records) bytes += RECORD_OVERHEAD + (record.kind === 'entry' ? record.entry.data.byteLength : 0)
  return bytes
}
