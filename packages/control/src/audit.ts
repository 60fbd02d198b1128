/**
 * Audit log of all requests, accepted or refused. Each record contains the SHA-256 of the previous one, so a changed,
 * removed or reordered record breaks the hash chain. Records are kept as lines of JSON, so a snapshot copies bytes
 * instead of encoding up to 50,000 records, which would block the event loop.
 */
import type { Digest } from '@bilberrystall/base'
import { AuditLines, type PackedLines } from './audit-lines'
import { sha256 } from './digest'

/** Maximum number of records kept. The oldest record is dropped when a new one exceeds it. */
export const MAX_AUDIT_RECORDS = 50_000
/** Maximum number of records read by one call of `query`, so that a search does not block the event loop. */
export const AUDIT_SCAN_LIMIT = 2_000
/**
 * Order of the JSON members. It is fixed, so that a reader that encodes a record again gets the same bytes and digest.
 */
const MEMBER_ORDER: (keyof AuditRecord)[] = [
  'sequence',
  'previous',
  'at',
  'operation',
  'requester',
  'source',
  'changeId',
  'environment',
  'target',
  'digest',
  'revision',
  'result',
  'repeated',
]
/** Value of `previous` in the first record. */
const CHAIN_START = '0'.repeat(64) as Digest

export type AuditOperation =
  | 'submit'
  | 'amend'
  | 'promote'
  | 'refuse'
  | 'drain-node'
  | 'replace-node'
  | 'release-request'
  | `evacuate-${'start' | 'end'}`
  | `replica-${'add-learner' | 'promote' | 'remove'}`

/** A request to be recorded in the audit log. */
export interface AuditEvent {
  /** Milliseconds since the Unix epoch. */
  readonly at: number
  readonly operation: AuditOperation
  readonly requester: string
  readonly source: string
  readonly changeId?: string
  readonly environment?: string
  /** Node, replica, request or failure domain that the operation acts on. */
  readonly target?: string
  readonly digest?: string
  /** Revision in force in the environment after the request. */
  readonly revision?: number
  /** Public name of the result code, or `ok` for an accepted request. */
  readonly result: string
  /** Set if the change id was known and its recorded result was returned again, or if the order changed nothing. */
  readonly repeated?: boolean
}

export interface AuditRecord extends AuditEvent {
  readonly sequence: number
  readonly previous: Digest
}

export interface AuditFilter {
  /** Inclusive, in milliseconds since the Unix epoch. */
  readonly from?: number | undefined
  /** Exclusive, in milliseconds since the Unix epoch. */
  readonly until?: number | undefined
  readonly requester?: string | undefined
  readonly environment?: string | undefined
  readonly result?: string | undefined
}

export interface AuditPage {
  /** Newest first. */
  readonly records: readonly AuditRecord[]
  /** Passed as `before` to read the next page. Absent if all retained records were read. */
  readonly next?: number
}

export interface AuditContent {
  /** Digest of the last dropped record, which the first line must contain. All zeros if none was dropped. */
  readonly root: Digest
  /** Digest of the newest record. */
  readonly head: Digest
  /** Number of records dropped before the first retained one. */
  readonly dropped: number
  readonly lines: readonly string[]
}

/**
 * Result of a verification. If the chain is broken, `sequence` is the number of the record where it breaks.
 */
export type AuditVerification =
  | { readonly intact: true; readonly records: number; readonly root: Digest; readonly head: Digest }
  | { readonly intact: false; readonly sequence: number }

/** Audit log as stored in a snapshot. */
export interface PackedAudit extends Omit<AuditContent, 'lines'> {
  readonly lines: PackedLines
}

export class AuditLog {
  #lines = new AuditLines()
  #size = 0
  #dropped = 0
  #root: Digest = CHAIN_START
  #head: Digest = CHAIN_START

  static fromPacked(packed: PackedAudit): AuditLog {
    const log = new AuditLog()
    log.#lines = AuditLines.fromPacked(packed.lines)
    log.#size = log.#lines.length
    log.#dropped = packed.dropped
    log.#root = packed.root
    log.#head = packed.head
    return log
  }

  get size(): number {
    return this.#size
  }

  get head(): Digest {
    return this.#head
  }

  append(event: AuditEvent): AuditRecord {
    const record: AuditRecord = { sequence: this.#dropped + this.#size + 1, previous: this.#head, ...event }
    const line = JSON.stringify(record, MEMBER_ORDER)
    this.#lines.push(line)
    this.#size += 1
    this.#head = sha256(line)
    if (this.#size > MAX_AUDIT_RECORDS) this.#dropOldest()
    return record
  }

  /** All retained records in the form that `verifyAudit` checks. */
  content(): AuditContent {
    return { root: this.#root, head: this.#head, dropped: this.#dropped, lines: [...this.#lines] }
  }

  packed(): PackedAudit {
    return { root: this.#root, head: this.#head, dropped: this.#dropped, lines: this.#lines.packed() }
  }

  /**
   * Returns up to `limit` matching records, newest first. Scans at most `AUDIT_SCAN_LIMIT` records, from the newest or
   * from the one before sequence number `before`.
   */
  query(filter: AuditFilter, limit: number, before = Number.POSITIVE_INFINITY): AuditPage {
    const records: AuditRecord[] = []
    let sequence = Math.min(before - 1, this.#dropped + this.#size)
    const stop = Math.max(this.#dropped, sequence - AUDIT_SCAN_LIMIT)
    for (; sequence > stop && records.length < limit; sequence -= 1) {
      const record = JSON.parse(this.#lines.at(sequence - this.#dropped - 1)) as AuditRecord
      if (matches(record, filter)) records.push(record)
    }
    return sequence > this.#dropped ? { records, next: sequence + 1 } : { records }
  }

  #dropOldest(): void {
    this.#root = sha256(this.#lines.shift())
    this.#size -= 1
    this.#dropped += 1
  }
}

function matches(record: AuditRecord, filter: AuditFilter): boolean {
  if (filter.from !== undefined && record.at < filter.from) return false
  if (filter.until !== undefined && record.at >= filter.until) return false
  if (filter.requester !== undefined && record.requester !== filter.requester) return false
  if (filter.environment !== undefined && record.environment !== filter.environment) return false
  return filter.result === undefined || record.result === filter.result
}

/** Recomputes the hash chain from the digest of the last dropped record to the head. */
export function verifyAudit(content: AuditContent): AuditVerification {
  let expected = content.root
  let sequence = content.dropped
  for (const line of content.lines) {
    sequence += 1
    const link = parseLink(line)
    if (link.previous !== expected || link.sequence !== sequence) return { intact: false, sequence }
    expected = sha256(line)
  }
  if (expected !== content.head) return { intact: false, sequence }
  return { intact: true, records: content.lines.length, root: content.root, head: content.head }
}

function parseLink(line: string): { previous?: unknown; sequence?: unknown } {
  try {
    return JSON.parse(line) as { previous?: unknown; sequence?: unknown }
  } catch {
    return {}
  }
}
