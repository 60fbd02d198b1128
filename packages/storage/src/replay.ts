/** Rebuilds the ballot and the entries from the records of the segments and checks that no entry is missing. */
import { err, ok, type Result } from 'neverthrow'
import { failure, type Failure, type LogIndex, type Term } from '@bilberrystall/base'
import type { FrameRecord, SegmentStart, StoredBallot, StoredEntry } from './record'
import type { StoredSnapshot } from './snapshot-file'

export interface LogPosition {
  readonly index: LogIndex
  readonly term: Term
}

export const LOG_START: LogPosition = { index: 0 as LogIndex, term: 0 as Term }

export class LogReplay {
  ballot: StoredBallot = { term: 0 as Term, votedFor: undefined }
  #entries: StoredEntry[] = []
  #last: LogPosition | undefined

  get entries(): readonly StoredEntry[] {
    return this.#entries
  }

  /** Position of the last entry, or of the last entry before the remaining segments if these have none. */
  get last(): LogPosition {
    return this.#last ?? LOG_START
  }

  add(record: FrameRecord): Result<void, Failure> {
    switch (record.kind) {
      case 'ballot':
        this.ballot = record.ballot
        return ok()
      case 'start':
        return this.#addSegmentStart(record)
      case 'entry':
        return this.#addEntry(record.entry)
    }
  }

  #addSegmentStart(start: SegmentStart): Result<void, Failure> {
    const { lastIndex: index, lastTerm: term } = start
    this.ballot = start.ballot
    if (start.reset) this.#entries = []
    const isContiguous = this.#last === undefined || (this.#last.index === index && this.#last.term === term)
    if (!isContiguous && !start.reset) {
      return err(failure('logDamaged', `entries are missing between ${this.last.index} and ${index}`))
    }
    this.#last = { index, term }
    return ok()
  }

  #addEntry(entry: StoredEntry): Result<void, Failure> {
    if (entry.index > this.last.index + 1) {
      return err(failure('logDamaged', `entries are missing between ${this.last.index} and ${entry.index}`))
    }
    const firstIndex = this.#entries[0]?.index ?? entry.index
    const keptCount = Math.max(0, entry.index - firstIndex)
    if (keptCount < this.#entries.length) this.#entries.length = keptCount
    this.#entries.push(entry)
    this.#last = { index: entry.index, term: entry.term }
    return ok()
  }
}

/**
 * Returns the entries that are valid together with the snapshot. Undefined if the snapshot replaces all of them, which
 * happens if the process ended after a snapshot was installed and before the log was reset.
 */
export function reconcileWithSnapshot(
  replay: LogReplay,
  snapshot: StoredSnapshot | undefined,
): Result<readonly StoredEntry[] | undefined, Failure> {
  const snapshotIndex = snapshot?.index ?? 0
  const firstIndex = replay.entries[0]?.index ?? replay.last.index + 1
  if (firstIndex > snapshotIndex + 1)
    return err(failure('logDamaged', `entries ${snapshotIndex + 1} to ${firstIndex - 1} are missing`))
  if (snapshot === undefined || (snapshot.index === replay.last.index && replay.entries.length === 0)) {
    return ok(replay.entries)
  }
  const atSnapshot = replay.entries[snapshot.index - firstIndex]
  if (atSnapshot !== undefined) return ok(atSnapshot.term === snapshot.term ? replay.entries : undefined)
  return ok(replay.entries.length > 0 && firstIndex === snapshotIndex + 1 ? replay.entries : undefined)
}
