/**
 * Format of a segment file: a header followed by frames, each of which is followed by a marker.
 *
 * A frame is written and synced as a unit, and the next frame is written only after that sync, so only the last frame
 * can be torn. The marker is written after the sync has returned and is itself stored by the next sync. A valid marker
 * or a valid later frame therefore proves that the frames before it have been synced; if one of them cannot be read, the
 * log is damaged and must not be truncated there. A power loss may tear or lose the last marker, also if the frame
 * behind it reached the disk, and the marker at the end of a finished segment. A marker carries no data, so these two
 * are written again. The checksums include a random salt of the segment and the offset, so that neither stale bytes nor
 * the content of a document can be mistaken for a frame.
 */
import { crc32 } from 'node:zlib'
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure } from '@bilberrystall/base'

export const LOG_FORMAT = 1
const SEGMENT_MAGIC = Buffer.from('BBSTLLOG', 'latin1')
const FRAME_MAGIC = Buffer.from([0xb5, 0x46, 0x52, 0x01])
const MARKER_MAGIC = Buffer.from([0xb5, 0x53, 0x59, 0x01])
const SALT_BYTES = 8
const SEGMENT_HEADER_BYTES = 32
const FRAME_HEADER_BYTES = 12
const MARKER_BYTES = 8

export interface SegmentHeader {
  readonly number: number
  readonly salt: Uint8Array
}

export interface Frame {
  readonly start: number
  /** Offset of the first byte after the frame. */
  readonly end: number
  readonly payload: Uint8Array
  /** Whether a marker or a later frame proves that the frame was synced. */
  readonly synced: boolean
}

export interface SegmentContent {
  readonly header: SegmentHeader
  readonly frames: readonly Frame[]
  /** End of the last frame and its marker. Any bytes from here on are a torn write. */
  readonly endOffset: number
}

/** Layout in bytes: magic 8, format 4, number 8, salt 8, checksum 4. */
export function encodeHeader(header: SegmentHeader): Uint8Array {
  const bytes = Buffer.alloc(SEGMENT_HEADER_BYTES)
  SEGMENT_MAGIC.copy(bytes, 0)
  bytes.writeUInt32LE(LOG_FORMAT, 8)
  bytes.writeBigUInt64LE(BigInt(header.number), 12)
  bytes.set(header.salt.subarray(0, SALT_BYTES), 20)
  bytes.writeUInt32LE(crc32(bytes.subarray(0, 28)), 28)
  return bytes
}

/** Layout in bytes: magic 4, payload length 4, checksum 4, then the payload. */
export function encodeFrame(header: SegmentHeader, offset: number, payload: Uint8Array): Uint8Array {
  const bytes = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.byteLength)
  FRAME_MAGIC.copy(bytes, 0)
  bytes.writeUInt32LE(payload.byteLength, 4)
  bytes.writeUInt32LE(frameChecksum(header, offset, payload), 8)
  bytes.set(payload, FRAME_HEADER_BYTES)
  return bytes
}

/** Layout in bytes: magic 4, checksum 4. */
export function encodeMarker(header: SegmentHeader, offset: number): Uint8Array {
  const bytes = Buffer.alloc(MARKER_BYTES)
  MARKER_MAGIC.copy(bytes, 0)
  bytes.writeUInt32LE(markerChecksum(header, offset), 4)
  return bytes
}

/**
 * Reads a segment. Only the last segment may end with a torn write.
 *
 * Errors: `log-damaged` if synced bytes cannot be read, `format-unknown` if the format version is not supported.
 */
export function scanSegment(bytes: Buffer, number: number, isLast: boolean): Result<SegmentContent, Failure> {
  const header = readHeader(bytes, number)
  if (header.isErr()) return err(header.error)
  const frames: Frame[] = []
  let position = SEGMENT_HEADER_BYTES
  while (position < bytes.length) {
    if (isMarker(bytes, header.value, position)) {
      markLastSynced(frames)
      position += MARKER_BYTES
      continue
    }
    const frame = readFrame(bytes, header.value, position)
    if (frame === undefined) break
    markLastSynced(frames)
    frames.push(frame)
    position = frame.end
  }
  if (isLast) {
    const unsynced = readFrameAfterLostMarker(bytes, header.value, position)
    if (unsynced !== undefined) {
      markLastSynced(frames)
      frames.push(unsynced)
      position = unsynced.end
    }
  }
  const unreadBytes = bytes.length - position
  const nextReadable = findReadable(bytes, header.value, position + 1)
  const isIntact = unreadBytes === 0 || (isLast ? nextReadable === undefined : unreadBytes <= MARKER_BYTES)
  if (isIntact) return ok({ header: header.value, frames, endOffset: position })
  return err(failure('logDamaged', describeDamage({ number, isLast, length: bytes.length, position, nextReadable })))
}

/**
 * Returns the frame behind an unreadable marker if nothing follows it. A later marker or frame would prove that the
 * unreadable marker had been synced.
 */
function readFrameAfterLostMarker(bytes: Buffer, header: SegmentHeader, position: number): Frame | undefined {
  const frame = readFrame(bytes, header, position + MARKER_BYTES)
  return frame === undefined || findReadable(bytes, header, frame.end) !== undefined ? undefined : frame
}

interface Damage {
  readonly number: number
  readonly isLast: boolean
  readonly length: number
  /** Offset of the first byte that belongs to no marker or frame. */
  readonly position: number
  /** Offset of the next marker or frame. */
  readonly nextReadable: number | undefined
}

function describeDamage({ number, isLast, length, position, nextReadable }: Damage): string {
  const segment = `${isLast ? 'the last segment' : 'segment'} ${number} of ${length} bytes`
  const next = nextReadable === undefined ? 'to its end' : `for ${nextReadable - position} bytes`
  return `${segment} cannot be read from offset ${position} ${next}`
}

function readHeader(bytes: Buffer, number: number): Result<SegmentHeader, Failure> {
  if (bytes.length < SEGMENT_HEADER_BYTES || !bytes.subarray(0, 8).equals(SEGMENT_MAGIC)) {
    return err(failure('logDamaged', `segment ${number} has no valid header`))
  }
  if (bytes.readUInt32LE(28) !== crc32(bytes.subarray(0, 28))) {
    return err(failure('logDamaged', `the header of segment ${number} has a wrong checksum`))
  }
  const format = bytes.readUInt32LE(8)
  if (format !== LOG_FORMAT) return err(failure('formatUnknown', `segment ${number} has unsupported format ${format}`))
  const storedNumber = Number(bytes.readBigUInt64LE(12))
  if (storedNumber !== number)
    return err(failure('logDamaged', `the file of segment ${number} contains segment ${storedNumber}`))
  return ok({ number, salt: Buffer.from(bytes.subarray(20, 28)) })
}

function readFrame(bytes: Buffer, header: SegmentHeader, start: number): Frame | undefined {
  const payloadStart = start + FRAME_HEADER_BYTES
  if (payloadStart > bytes.length || !startsWith(bytes, FRAME_MAGIC, start)) return undefined
  const end = payloadStart + bytes.readUInt32LE(start + 4)
  if (end > bytes.length) return undefined
  const payload = bytes.subarray(payloadStart, end)
  if (bytes.readUInt32LE(start + 8) !== frameChecksum(header, start, payload)) return undefined
  return { start, end, payload, synced: false }
}

function isMarker(bytes: Buffer, header: SegmentHeader, start: number): boolean {
  if (start + MARKER_BYTES > bytes.length || !startsWith(bytes, MARKER_MAGIC, start)) return false
  return bytes.readUInt32LE(start + 4) === markerChecksum(header, start)
}

/** Returns the offset of the first marker or frame at or after `from`, which proves that the bytes before it were synced. */
function findReadable(bytes: Buffer, header: SegmentHeader, from: number): number | undefined {
  const marker = findMagic(bytes, MARKER_MAGIC, from, (start) => isMarker(bytes, header, start))
  const frame = findMagic(bytes, FRAME_MAGIC, from, (start) => readFrame(bytes, header, start) !== undefined)
  return marker === undefined || frame === undefined ? (marker ?? frame) : Math.min(marker, frame)
}

function findMagic(
  bytes: Buffer,
  magic: Buffer,
  from: number,
  isValid: (start: number) => boolean,
): number | undefined {
  for (let start = bytes.indexOf(magic, from); start >= 0; start = bytes.indexOf(magic, start + 1)) {
    if (isValid(start)) return start
  }
  return undefined
}

function markLastSynced(frames: Frame[]): void {
  const last = frames.pop()
  if (last !== undefined) frames.push({ ...last, synced: true })
}

function startsWith(bytes: Buffer, magic: Buffer, start: number): boolean {
  return bytes.compare(magic, 0, magic.length, start, start + magic.length) === 0
}

function frameChecksum(header: SegmentHeader, offset: number, payload: Uint8Array): number {
  const salted = Buffer.alloc(SALT_BYTES + 16)
  salted.set(header.salt, 0)
  salted.writeBigUInt64LE(BigInt(offset), SALT_BYTES)
  salted.writeBigUInt64LE(BigInt(payload.byteLength), SALT_BYTES + 8)
  return crc32(payload, crc32(salted))
}

function markerChecksum(header: SegmentHeader, offset: number): number {
  const salted = Buffer.alloc(SALT_BYTES + 8)
  salted.set(header.salt, 0)
  salted.writeBigUInt64LE(BigInt(offset), SALT_BYTES)
  return crc32(salted)
}
