/** Format of a snapshot file: a header with the log position and a checksum, followed by the data. */
import { crc32 } from 'node:zlib'
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure, type LogIndex, type Term } from '@bilberrystall/base'

const SNAPSHOT_FORMAT = 1
const SNAPSHOT_MAGIC = Buffer.from('BBSTLSNP', 'latin1')
const HEADER_BYTES = 40
const SNAPSHOT_NAME_PATTERN = /^snapshot-(\d{16})$/

export interface StoredSnapshot {
  readonly index: LogIndex
  readonly term: Term
  readonly data: Uint8Array
}

export function snapshotName(index: LogIndex): string {
  return `snapshot-${String(index).padStart(16, '0')}`
}

export function isSnapshotName(name: string): boolean {
  return SNAPSHOT_NAME_PATTERN.test(name)
}

/** Layout in bytes: magic 8, format 4, index 8, term 8, data length 8, checksum 4, then the data. */
export function encodeSnapshot(snapshot: StoredSnapshot): readonly Uint8Array[] {
  const header = Buffer.alloc(HEADER_BYTES)
  SNAPSHOT_MAGIC.copy(header, 0)
  header.writeUInt32LE(SNAPSHOT_FORMAT, 8)
  header.writeBigUInt64LE(BigInt(snapshot.index), 12)
  header.writeBigUInt64LE(BigInt(snapshot.term), 20)
  header.writeBigUInt64LE(BigInt(snapshot.data.byteLength), 28)
  header.writeUInt32LE(crc32(snapshot.data, crc32(header.subarray(0, 36))), 36)
  return [header, snapshot.data]
}

/** Errors: `snapshot-damaged`, `format-unknown`. */
export function decodeSnapshot(bytes: Buffer, name: string): Result<StoredSnapshot, Failure> {
  if (bytes.length < HEADER_BYTES || !bytes.subarray(0, 8).equals(SNAPSHOT_MAGIC))
    return err(failure('snapshotDamaged', name))
  const data = bytes.subarray(HEADER_BYTES)
  const checksumMatches = crc32(data, crc32(bytes.subarray(0, 36))) === bytes.readUInt32LE(36)
  if (!checksumMatches || Number(bytes.readBigUInt64LE(28)) !== data.length)
    return err(failure('snapshotDamaged', name))
  const format = bytes.readUInt32LE(8)
  if (format !== SNAPSHOT_FORMAT) return err(failure('formatUnknown', `${name} has unsupported format ${format}`))
  const index = Number(bytes.readBigUInt64LE(12)) as LogIndex
  return ok({ index, term: Number(bytes.readBigUInt64LE(20)) as Term, data })
}
