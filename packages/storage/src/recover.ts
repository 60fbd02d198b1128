/**
 * Recovers the content of a data folder: the disk id, the newest snapshot and the log segments. A torn write at the end
 * of the log is truncated. Any other unreadable data is an error, because truncating it would lose accepted changes.
 */
import { randomUUID } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { failure, type Failure, type LogIndex } from '@bilberrystall/base'
import { StorageError, isTemporaryFile, writeAll, writeFileAtomically, type FileSystem } from './file-system'
import { decodeRecords } from './record'
import { LogReplay } from './replay'
import { LOG_FORMAT, encodeMarker, scanSegment, type Frame, type SegmentContent, type SegmentHeader } from './segment'
import { decodeSnapshot, isSnapshotName, type StoredSnapshot } from './snapshot-file'

export const DISK_FILE = 'disk.json'
/** Prefix of the files of a damaged log, which are kept for inspection. */
export const SET_ASIDE_PREFIX = 'damaged-'
const SEGMENT_PATTERN = /^log-(\d{16})$/

const diskSchema = z.object({ format: z.number(), disk: z.string().min(1) })

export function segmentName(number: number): string {
  return `log-${String(number).padStart(16, '0')}`
}

/** Whether the name is that of a segment or a snapshot. */
export function isLogFile(name: string): boolean {
  return SEGMENT_PATTERN.test(name) || isSnapshotName(name)
}

export function isSetAside(name: string): boolean {
  return name.startsWith(SET_ASIDE_PREFIX)
}

export interface SegmentInfo {
  readonly number: number
  /** Highest index of the entries in the segment, 0 if it has none. */
  readonly highestIndex: LogIndex
}

export interface RecoveredSegments {
  readonly replay: LogReplay
  readonly segments: readonly SegmentInfo[]
  /** Header of the last segment. */
  readonly header: SegmentHeader
  /** Offset in the last segment at which the next frame is written. */
  readonly endOffset: number
}

export interface FolderContents {
  /** Undefined if the folder is not initialized. */
  readonly diskId: string | undefined
  readonly segmentNumbers: readonly number[]
  readonly snapshotNames: readonly string[]
  /** Whether the folder holds a damaged log that was set aside. */
  readonly replacesDamaged: boolean
}

/**
 * Lists the files of a folder and removes temporary files left by an interrupted write. Syncs the folder, because the
 * previous process may have ended between the rename of a file and the sync of its name.
 */
export async function scanFolder(fileSystem: FileSystem, folder: string): Promise<FolderContents> {
  await fileSystem.makeFolder(folder)
  const names = await fileSystem.list(folder)
  for (const name of names) if (isTemporaryFile(name)) await fileSystem.remove(`${folder}/${name}`)
  await fileSystem.syncFolder(folder)
  const segments = names.flatMap((name) => {
    const number = SEGMENT_PATTERN.exec(name)?.[1]
    return number === undefined ? [] : [Number(number)]
  })
  const diskId = names.includes(DISK_FILE) ? await readDiskId(fileSystem, folder) : undefined
  const snapshotNames = names.filter(isSnapshotName).toSorted()
  const segmentNumbers = segments.toSorted((left, right) => left - right)
  return { diskId, segmentNumbers, snapshotNames, replacesDamaged: names.some(isSetAside) }
}

async function readDiskId(fileSystem: FileSystem, folder: string): Promise<string> {
  const text = Buffer.from(await fileSystem.read(`${folder}/${DISK_FILE}`)).toString('utf8')
  const parsed = diskSchema.safeParse(parseJson(text))
  if (!parsed.success)
    throw new StorageError(failure('logDamaged', `${DISK_FILE} does not contain a format and a disk id`))
  if (parsed.data.format !== LOG_FORMAT) {
    throw new StorageError(failure('formatUnknown', `${DISK_FILE} has unsupported format ${parsed.data.format}`))
  }
  return parsed.data.disk
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

/** Written as the last step of initialization, so that its presence implies a complete first segment. */
export async function createDiskId(fileSystem: FileSystem, folder: string): Promise<string> {
  const disk = randomUUID()
  await writeFileAtomically(fileSystem, folder, DISK_FILE, [Buffer.from(JSON.stringify({ format: LOG_FORMAT, disk }))])
  return disk
}

/** Reads the newest snapshot and removes the older ones. */
export async function readSnapshot(
  fileSystem: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<Result<StoredSnapshot | undefined, Failure>> {
  const newest = names.at(-1)
  if (newest === undefined) return ok(undefined)
  const snapshot = decodeSnapshot(toBuffer(await fileSystem.read(`${folder}/${newest}`)), newest)
  if (snapshot.isErr()) return err(snapshot.error)
  for (const older of names.slice(0, -1)) await fileSystem.remove(`${folder}/${older}`)
  return ok(snapshot.value)
}

/** Replays all segments in order, repairs the end of the last one and writes lost markers again. */
export async function readSegments(
  fileSystem: FileSystem,
  folder: string,
  segmentNumbers: readonly number[],
): Promise<Result<RecoveredSegments, Failure>> {
  const replay = new LogReplay()
  const segments: SegmentInfo[] = []
  let newest: SegmentContent | undefined
  for (const number of segmentNumbers) {
    const previous = segments.at(-1)
    if (previous !== undefined && number !== previous.number + 1) {
      return err(failure('logDamaged', `segment ${previous.number + 1} is missing`))
    }
    const bytes = toBuffer(await fileSystem.read(`${folder}/${segmentName(number)}`))
    const content = scanSegment(bytes, number, number === segmentNumbers.at(-1))
    if (content.isErr()) return err(content.error)
    const highestIndex = replayFrames(content.value.frames, replay, number)
    if (highestIndex.isErr()) return err(highestIndex.error)
    segments.push({ number, highestIndex: highestIndex.value })
    if (newest !== undefined) await restoreLastMarker(fileSystem, folder, newest)
    newest = content.value
  }
  if (newest === undefined) return err(failure('logDamaged', 'the log has no segments'))
  const endOffset = await repairTail(fileSystem, `${folder}/${segmentName(newest.header.number)}`, newest)
  return ok({ replay, segments, header: newest.header, endOffset })
}

function replayFrames(frames: readonly Frame[], replay: LogReplay, number: number): Result<LogIndex, Failure> {
  let highestIndex = 0 as LogIndex
  for (const [frameIndex, frame] of frames.entries()) {
    const records = decodeRecords(frame.payload)
    if (records.isErr()) return err(records.error)
    if (frameIndex === 0 && records.value[0]?.kind !== 'start') {
      return err(failure('logDamaged', `segment ${number} has no start record`))
    }
    for (const record of records.value) {
      const replayed = replay.add(record)
      if (replayed.isErr()) return err(replayed.error)
      if (record.kind === 'entry' && record.entry.index > highestIndex) highestIndex = record.entry.index
    }
  }
  if (frames.length === 0) return err(failure('logDamaged', `segment ${number} has no start record`))
  return ok(highestIndex)
}

/** Writes the marker at the end of a finished segment again if a power loss tore or lost it. */
async function restoreLastMarker(fileSystem: FileSystem, folder: string, content: SegmentContent): Promise<void> {
  const { header, frames, endOffset } = content
  if (frames.at(-1)?.synced !== false) return
  const file = await fileSystem.open(`${folder}/${segmentName(header.number)}`)
  try {
    await writeAll(file, encodeMarker(header, endOffset), endOffset)
    await file.datasync()
  } finally {
    await file.close()
  }
}

/**
 * Truncates a torn write at the end of the segment. If the last sync failed, the last frame may exist only in the page
 * cache, and the operating system no longer writes it to disk. Therefore the last frame and the markers around it are
 * written and synced again before they are used.
 */
async function repairTail(fileSystem: FileSystem, path: string, content: SegmentContent): Promise<number> {
  const { header, frames, endOffset } = content
  const previous = frames.at(-2)
  const last = frames.at(-1)
  const file = await fileSystem.open(path)
  try {
    await file.truncate(endOffset)
    const start = previous?.end ?? last?.start ?? endOffset
    const tail = Buffer.from(toBuffer(await fileSystem.read(path)).subarray(start, endOffset))
    if (previous !== undefined && last !== undefined && last.start > start) tail.set(encodeMarker(header, start))
    await writeAll(file, tail, start)
    await file.datasync()
    if (last === undefined || last.synced) return endOffset
    const marker = encodeMarker(header, endOffset)
    await writeAll(file, marker, endOffset)
    return endOffset + marker.byteLength
  } finally {
    await file.close()
  }
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
