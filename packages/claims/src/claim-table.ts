/**
 * Table of the claims that one entry, as a holder, has granted to other entries. It is stored in memory only; after a
 * restart the holder abstains on every key that it may have granted before.
 */
import type { AttemptId, IdempotencyKey } from '@bilberrystall/base'
import { ExpiryBuckets } from './expiry-buckets'
import { CLOCK_ERROR_MS, MAX_KEY_AHEAD_MS, MAX_RETENTION_MS, parseKey } from './key'
import { MAX_STORED_BODY_BYTES, type Ending, type HolderReply, type HolderRequest, type KeyUse } from './message'

/** Largest time by which a key that was accepted anywhere before this holder started is ahead of the holder's clock. */
export const ABSTAIN_AFTER_START_MS = MAX_KEY_AHEAD_MS + CLOCK_ERROR_MS
const DEFAULT_MAX_BYTES = 32 * 1024 * 1024
/** Share of the table reserved for releases and endings, so that a full table can still record released attempts. */
const RELEASE_RESERVE = 1 / 32
/** Estimated bytes of objects, map entries and string headers of a record, a released attempt and an ending. */
const RECORD_BYTES = 600
const ATTEMPT_BYTES = 300
const ENDING_BYTES = 320
/** Bytes per character; strings received from the network may be stored with two bytes per character. */
const CHARACTER_BYTES = 2

interface ActiveClaim {
  readonly attempt: AttemptId
  readonly fingerprint: string
  readonly runsUntil: number
}

interface CompletedRequest {
  readonly fingerprint: string
  readonly ending: Ending
}

interface KeyRecord {
  readonly time: number
  readonly scope: string
  expiresAt: number
  bytes: number
  activeClaim?: ActiveClaim | undefined
  completed?: CompletedRequest
  released?: Set<AttemptId>
}

export interface ClaimTableOptions {
  /** Unix ms at which this process started. */
  readonly startedAt: number
  /** Monotonic ms since then. Moves the start if the wall clock turns out to have been behind. */
  readonly uptime?: () => number
  readonly maxBytes?: number
}

export class ClaimTable {
  #startedAt: number
  readonly #uptime: (() => number) | undefined
  readonly #maxBytes: number
  readonly #records = new Map<IdempotencyKey, KeyRecord>()
  readonly #expiry: ExpiryBuckets
  /** Newest key time removed per scope. A later increase of the retention must not make a removed key usable again. */
  readonly #newestRemoved = new Map<string, number>()
  #bytes = 0
  #now: number

  constructor(options: ClaimTableOptions) {
    this.#startedAt = options.startedAt
    this.#uptime = options.uptime
    this.#maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES
    this.#now = options.startedAt
    this.#expiry = new ExpiryBuckets(options.startedAt)
  }

  /** Estimated size of the records in bytes; never above the maximum. */
  get bytes(): number {
    return this.#bytes
  }

  get size(): number {
    return this.#records.size
  }

  handle(request: HolderRequest, now: number): HolderReply {
    switch (request.kind) {
      case 'claim':
        return this.claim(request.use, request.runMs, now)
      case 'complete':
        return this.complete(request.use, request.ending, now)
      case 'release':
        return this.release(request.use, now)
    }
  }

  claim(use: KeyUse, runMs: number, now: number): HolderReply {
    this.expire(now)
    const time = keyTime(use)
    if (time === undefined || time + retention(use) <= this.#now) {
      return { kind: 'expired' }
    }
    const record = this.#records.get(use.key)
    if (record?.completed !== undefined) {
      const { fingerprint, ending } = record.completed
      return { kind: 'ended', sameRequest: fingerprint === use.fingerprint, ending }
    }
    if (record?.released?.has(use.attempt) === true) {
      return { kind: 'released' }
    }
    if (record === undefined && this.#mayHaveRemoved(use, time)) {
      return { kind: 'expired' }
    }
    if (!this.#mayVote(time)) {
      return { kind: 'abstained' }
    }
    return this.#grant(use, time, runMs, record)
  }

  /** Records the ending even if the claim never arrived here: the attempt ran with the grants of other holders. */
  complete(use: KeyUse, ending: Ending, now: number): HolderReply {
    this.expire(now)
    const record = this.#findOrInsert(use, this.#maxBytes)
    if (typeof record === 'string') {
      return { kind: record }
    }
    if (record.completed !== undefined) {
      return { kind: 'recorded' }
    }
    const stored = this.#toStoredEnding(ending)
    const bytes = endingBytes(stored)
    if (!this.#reserveBytes(record, bytes, this.#maxBytes)) {
      return { kind: 'full' }
    }
    record.completed = { fingerprint: use.fingerprint, ending: stored }
    record.activeClaim = undefined
    return { kind: 'recorded' }
  }

  release(use: KeyUse, now: number): HolderReply {
    this.expire(now)
    const record = this.#findOrInsert(use, this.#maxBytes)
    if (typeof record === 'string') {
      return { kind: record }
    }
    if (record.released?.has(use.attempt) !== true) {
      if (!this.#reserveBytes(record, releasedBytes(use), this.#maxBytes)) {
        return { kind: 'full' }
      }
      record.released ??= new Set()
      record.released.add(use.attempt)
    }
    if (record.activeClaim?.attempt === use.attempt) {
      record.activeClaim = undefined
    }
    return { kind: 'recorded' }
  }

  /** Removes the records whose retention is over. The time of the table never decreases, even if the clock does. */
  expire(now: number): void {
    this.#now = Math.max(this.#now, now)
    if (this.#uptime !== undefined) this.#startedAt = Math.max(this.#startedAt, now - this.#uptime())
    for (const key of this.#expiry.takeExpired(this.#now)) {
      const record = this.#records.get(key)
      if (record === undefined) {
        continue
      }
      if (record.expiresAt > this.#now) {
        this.#expiry.add(key, record.expiresAt)
        continue
      }
      this.#records.delete(key)
      this.#bytes -= record.bytes
      this.#newestRemoved.set(record.scope, Math.max(record.time, this.#newestRemoved.get(record.scope) ?? -Infinity))
    }
  }

  /**
   * Whether the holder may grant the key. Also false for key times far ahead of the clock, because after a restart it
   * could not abstain on such a key, which an entry with a wrong clock may accept.
   */
  #mayVote(time: number): boolean {
    return time > this.#startedAt + ABSTAIN_AFTER_START_MS && time <= this.#now + ABSTAIN_AFTER_START_MS
  }

  #mayHaveRemoved(use: KeyUse, time: number): boolean {
    return time <= (this.#newestRemoved.get(use.scope) ?? -Infinity)
  }

  #grant(use: KeyUse, time: number, runMs: number, existing: KeyRecord | undefined): HolderReply {
    const activeClaim = existing?.activeClaim
    if (activeClaim !== undefined && activeClaim.attempt !== use.attempt) {
      const sameRequest = activeClaim.fingerprint === use.fingerprint
      return { kind: this.#now > activeClaim.runsUntil ? 'abandoned' : 'held', sameRequest }
    }
    const limit = this.#maxBytes * (1 - RELEASE_RESERVE)
    const record = existing ?? this.#insert(use, time, limit)
    if (record === undefined) {
      return { kind: 'full' }
    }
    record.expiresAt = Math.max(record.expiresAt, time + retention(use))
    record.activeClaim = { attempt: use.attempt, fingerprint: use.fingerprint, runsUntil: this.#now + runMs }
    return { kind: 'granted' }
  }

  #findOrInsert(use: KeyUse, limit: number): KeyRecord | 'expired' | 'full' {
    const existing = this.#records.get(use.key)
    if (existing !== undefined) {
      return existing
    }
    const time = keyTime(use)
    if (time === undefined || time + retention(use) <= this.#now || this.#mayHaveRemoved(use, time)) {
      return 'expired'
    }
    return this.#insert(use, time, limit) ?? 'full'
  }

  #insert(use: KeyUse, time: number, limit: number): KeyRecord | undefined {
    const record: KeyRecord = {
      time,
      scope: use.scope,
      expiresAt: time + retention(use),
      bytes: 0,
    }
    const characters = use.key.length + use.attempt.length + use.fingerprint.length + use.scope.length
    if (!this.#reserveBytes(record, RECORD_BYTES + CHARACTER_BYTES * characters, limit)) {
      return undefined
    }
    this.#records.set(use.key, record)
    this.#expiry.add(use.key, record.expiresAt)
    return record
  }

  #reserveBytes(record: KeyRecord, bytes: number, limit: number): boolean {
    if (this.#bytes + bytes > limit) {
      return false
    }
    this.#bytes += bytes
    record.bytes += bytes
    return true
  }

  /** Omits a body that is too long or does not fit into the table. */
  #toStoredEnding(ending: Ending): Ending {
    if (ending.kind === 'unknown') {
      return ending
    }
    const fits = ending.body !== undefined && ending.body.length <= MAX_STORED_BODY_BYTES
    if (fits && this.#bytes + endingBytes(ending) <= this.#maxBytes * (1 - RELEASE_RESERVE)) {
      return ending
    }
    return { kind: 'response', status: ending.status }
  }
}

function keyTime(use: KeyUse): number | undefined {
  return parseKey(use.key).match(
    (parsed) => parsed.time,
    () => undefined,
  )
}

function retention(use: KeyUse): number {
  return Math.min(use.retentionMs, MAX_RETENTION_MS)
}

function releasedBytes(use: KeyUse): number {
  return ATTEMPT_BYTES + CHARACTER_BYTES * use.attempt.length
}

function endingBytes(ending: Ending): number {
  if (ending.kind === 'unknown') {
    return ENDING_BYTES
  }
  return ENDING_BYTES + (ending.body?.length ?? 0) + CHARACTER_BYTES * (ending.contentType?.length ?? 0)
}
