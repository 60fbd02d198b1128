/**
 * The claims that one entry holds for other entries. The table lives in memory only; a restarted holder abstains on
 * every key that its predecessor can have granted.
 */
import type { AttemptId, IdempotencyKey } from '@bilberrystall/base'
import { ExpiryWheel } from './expiry-wheel'
import { CLOCK_ERROR_MS, KEY_AHEAD_MS, MAX_RETENTION_MS, parseKey } from './key'
import { MAX_KEPT_BODY, type Ending, type HolderReply, type HolderRequest, type KeyUse } from './message'

/** A key accepted anywhere before this holder started has at most this lead on the holder's clock. */
export const ABSTAIN_MS = KEY_AHEAD_MS + CLOCK_ERROR_MS
const DEFAULT_MAX_BYTES = 32 * 1024 * 1024
/** Share of the table that only releases may use, so that a full table still remembers released attempts. */
const RELEASE_RESERVE = 1 / 32
/** Allowances for the objects, map slots and string headers of a record, a released attempt and a response. */
const RECORD_BYTES = 600
const ATTEMPT_BYTES = 300
const ENDING_BYTES = 320
/** Bytes per character; strings that come off the wire may be stored with two bytes each. */
const CHARACTER_BYTES = 2

interface Hold {
  readonly attempt: AttemptId
  readonly fingerprint: string
  readonly runsUntil: number
}

interface Completed {
  readonly fingerprint: string
  readonly ending: Ending
}

interface KeyRecord {
  readonly time: number
  readonly scope: string
  expiresAt: number
  bytes: number
  hold?: Hold | undefined
  completed?: Completed
  released?: Set<AttemptId>
}

export interface HolderTableOptions {
  /** Unix ms at which this process started. */
  readonly startedAt: number
  readonly maxBytes?: number
}

export class HolderTable {
  readonly #startedAt: number
  readonly #maxBytes: number
  readonly #records = new Map<IdempotencyKey, KeyRecord>()
  readonly #wheel: ExpiryWheel
  /** Highest key time forgotten per scope: a retention raised later must not make a forgotten key usable again. */
  readonly #forgotten = new Map<string, number>()
  #bytes = 0
  #now: number

  constructor(options: HolderTableOptions) {
    this.#startedAt = options.startedAt
    this.#maxBytes = options.maxBytes ?? DEFAULT_MAX_BYTES
    this.#now = options.startedAt
    this.#wheel = new ExpiryWheel(options.startedAt)
  }

  /** Counted bytes; never above the maximum. */
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
    if (record === undefined && this.#mayHaveForgotten(use, time)) {
      return { kind: 'expired' }
    }
    if (!this.#mayVote(time)) {
      return { kind: 'abstained' }
    }
    return this.#grant(use, time, runMs, record)
  }

  /** Recorded even where the claim never arrived: the attempt ran on the grants of other holders. */
  complete(use: KeyUse, ending: Ending, now: number): HolderReply {
    this.expire(now)
    const record = this.#recordFor(use, this.#maxBytes)
    if (typeof record === 'string') {
      return { kind: record }
    }
    if (record.completed !== undefined) {
      return { kind: 'recorded' }
    }
    const kept = this.#keepable(ending)
    const bytes = endingBytes(kept)
    if (!this.#charge(record, bytes, this.#maxBytes)) {
      return { kind: 'full' }
    }
    record.completed = { fingerprint: use.fingerprint, ending: kept }
    record.hold = undefined
    return { kind: 'recorded' }
  }

  release(use: KeyUse, now: number): HolderReply {
    this.expire(now)
    const record = this.#recordFor(use, this.#maxBytes)
    if (typeof record === 'string') {
      return { kind: record }
    }
    if (record.released?.has(use.attempt) !== true) {
      if (!this.#charge(record, releasedBytes(use), this.#maxBytes)) {
        return { kind: 'full' }
      }
      record.released ??= new Set()
      record.released.add(use.attempt)
    }
    if (record.hold?.attempt === use.attempt) {
      record.hold = undefined
    }
    return { kind: 'recorded' }
  }

  /** Forgets the records whose retention is over. Time never goes back, also when the clock does. */
  expire(now: number): void {
    this.#now = Math.max(this.#now, now)
    for (const key of this.#wheel.due(this.#now)) {
      const record = this.#records.get(key)
      if (record === undefined) {
        continue
      }
      if (record.expiresAt > this.#now) {
        this.#wheel.add(key, record.expiresAt)
        continue
      }
      this.#records.delete(key)
      this.#bytes -= record.bytes
      this.#forgotten.set(record.scope, Math.max(record.time, this.#forgotten.get(record.scope) ?? -Infinity))
    }
  }

  /** Also false far ahead of the clock, which keeps the rule for restarts sound when an entry's clock is wrong. */
  #mayVote(time: number): boolean {
    return time > this.#startedAt + ABSTAIN_MS && time <= this.#now + ABSTAIN_MS
  }

  #mayHaveForgotten(use: KeyUse, time: number): boolean {
    return time <= (this.#forgotten.get(use.scope) ?? -Infinity)
  }

  #grant(use: KeyUse, time: number, runMs: number, existing: KeyRecord | undefined): HolderReply {
    const hold = existing?.hold
    if (hold !== undefined && hold.attempt !== use.attempt) {
      const sameRequest = hold.fingerprint === use.fingerprint
      return { kind: this.#now > hold.runsUntil ? 'abandoned' : 'held', sameRequest }
    }
    const limit = this.#maxBytes * (1 - RELEASE_RESERVE)
    const record = existing ?? this.#insert(use, time, limit)
    if (record === undefined) {
      return { kind: 'full' }
    }
    record.expiresAt = Math.max(record.expiresAt, time + retention(use))
    record.hold = { attempt: use.attempt, fingerprint: use.fingerprint, runsUntil: this.#now + runMs }
    return { kind: 'granted' }
  }

  #recordFor(use: KeyUse, limit: number): KeyRecord | 'expired' | 'full' {
    const existing = this.#records.get(use.key)
    if (existing !== undefined) {
      return existing
    }
    const time = keyTime(use)
    if (time === undefined || time + retention(use) <= this.#now || this.#mayHaveForgotten(use, time)) {
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
    if (!this.#charge(record, RECORD_BYTES + CHARACTER_BYTES * characters, limit)) {
      return undefined
    }
    this.#records.set(use.key, record)
    this.#wheel.add(use.key, record.expiresAt)
    return record
  }

  #charge(record: KeyRecord, bytes: number, limit: number): boolean {
    if (this.#bytes + bytes > limit) {
      return false
    }
    this.#bytes += bytes
    record.bytes += bytes
    return true
  }

  /** Drops a body that is too long or for which there is no room. */
  #keepable(ending: Ending): Ending {
    if (ending.kind === 'unknown') {
      return ending
    }
    const fits = ending.body !== undefined && ending.body.length <= MAX_KEPT_BODY
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
