/**
 * Idempotency keys. A key is a UUIDv7; the milliseconds in its first 48 bits are the key time, which determines the
 * holders of the key and when it expires.
 */
import { failure, idempotencyKey, type Failure, type IdempotencyKey } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'

/** Largest time in ms by which an accepted key may be ahead of the clock of the entry. */
export const MAX_KEY_AHEAD_MS = 30_000
/** Largest assumed difference in ms between the clocks of two system VMs. */
export const CLOCK_ERROR_MS = 1_000
export const MIN_RETENTION_MS = 60_000
export const MAX_RETENTION_MS = 86_400_000

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

export interface ParsedKey {
  readonly key: IdempotencyKey
  /** Unix time in ms. */
  readonly time: number
}

export function parseKey(text: string): Result<ParsedKey, Failure> {
  const normalized = text.trim().toLowerCase()
  if (!UUID_V7.test(normalized)) {
    return err(failure('keyMalformed'))
  }
  return ok({
    key: idempotencyKey(normalized),
    time: Number.parseInt(normalized.slice(0, 8) + normalized.slice(9, 13), 16),
  })
}

/** Parses a key and checks its time against the clock of the entry and the retention in the document. */
export function acceptKey(text: string, now: number, retentionMs: number): Result<ParsedKey, Failure> {
  return parseKey(text).andThen((parsed) => {
    if (parsed.time > now + MAX_KEY_AHEAD_MS) {
      return err(failure('keyAhead'))
    }
    if (parsed.time + retentionMs <= now) {
      return err(failure('keyExpired'))
    }
    return ok(parsed)
  })
}

/** Builds a key from the time in ms and 10 random bytes. */
export function createKey(now: number, random: Uint8Array): IdempotencyKey {
  const bytes = new Uint8Array(16)
  bytes.set(random.subarray(0, 10), 6)
  const view = new DataView(bytes.buffer)
  view.setUint16(0, Math.floor(now / 2 ** 32))
  view.setUint32(2, now % 2 ** 32)
  view.setUint8(6, (view.getUint8(6) & 0x0f) | 0x70)
  view.setUint8(8, (view.getUint8(8) & 0x3f) | 0x80)
  const hex = Array.from(bytes, (byte) => byte.toString(16).padStart(2, '0')).join('')
  const groups = [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)]
  return idempotencyKey(groups.join('-'))
}
