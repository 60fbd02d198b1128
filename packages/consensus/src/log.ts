/** The part of the log that is kept in memory: the position of the last discarded entry and the entries after it. */
import { logIndex, term, type LogIndex, type Term } from '@bilberrystall/base'
import type { Entry } from './message'

/** Estimated size of an entry without its command, in bytes. */
const ENTRY_OVERHEAD_BYTES = 32
/** Estimated size of a member of a replica set, in bytes. */
const REPLICA_OVERHEAD_BYTES = 64

export function entryBytes(entry: Entry): number {
  switch (entry.kind) {
    case 'no-op':
      return ENTRY_OVERHEAD_BYTES
    case 'command':
      return ENTRY_OVERHEAD_BYTES + entry.command.byteLength
    case 'replica-set':
      return ENTRY_OVERHEAD_BYTES + REPLICA_OVERHEAD_BYTES * entry.replicas.length
  }
}

export function totalBytes(entries: readonly Entry[]): number {
  let bytes = 0
  for (const entry of entries) bytes += entryBytes(entry)
  return bytes
}

/** In-memory part of the replicated log. Keeps track of its size in bytes. */
export class Log {
  #entries: Entry[] = []
  #baseIndex: LogIndex
  #baseTerm: Term
  #bytes = 0

  constructor(baseIndex: LogIndex = logIndex(0), baseTerm: Term = term(0)) {
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
  }

  /** Index before the first entry in memory. */
  get baseIndex(): LogIndex {
    return this.#baseIndex
  }

  get lastIndex(): LogIndex {
    return logIndex(this.#baseIndex + this.#entries.length)
  }

  get lastTerm(): Term {
    return this.#entries.at(-1)?.term ?? this.#baseTerm
  }

  get length(): number {
    return this.#entries.length
  }

  get bytes(): number {
    return this.#bytes
  }

  /** Term of the entry at `index`, or undefined if it is neither in memory nor the base position. */
  termAt(index: LogIndex): Term | undefined {
    if (index === this.#baseIndex) return this.#baseTerm
    return this.at(index)?.term
  }

  at(index: LogIndex): Entry | undefined {
    return index > this.#baseIndex ? this.#entries[index - this.#baseIndex - 1] : undefined
  }

  /** Entries from `from` to `through`, both inclusive. */
  range(from: number, through: number): readonly Entry[] {
    return this.#entries.slice(Math.max(0, from - this.#baseIndex - 1), Math.max(0, through - this.#baseIndex))
  }

  /** Entries from `from` on within both limits, but at least one if there is one. */
  batch(from: number, maxEntries: number, maxBytes: number): readonly Entry[] {
    const start = from - this.#baseIndex - 1
    let end = start
    let bytes = 0
    for (; end < this.#entries.length && end - start < maxEntries; end += 1) {
      const entry = this.#entries[end]
      if (entry === undefined) break
      bytes += entryBytes(entry)
      if (end > start && bytes > maxBytes) break
    }
    return this.#entries.slice(start, end)
  }

  bytesAfter(index: LogIndex): number {
    return totalBytes(this.range(index + 1, this.lastIndex))
  }

  /** Appends entries after discarding existing entries from the first new index on. */
  appendEntries(entries: readonly Entry[]): void {
    const first = entries[0]
    if (first === undefined) return
    this.#truncateFrom(first.index)
    for (const entry of entries) {
      this.#entries.push(entry)
      this.#bytes += entryBytes(entry)
    }
  }

  /** Discards entries up to and including `through`. Has no effect if that entry is not in memory. */
  compact(through: LogIndex): void {
    const base = this.at(through)
    if (base === undefined) return
    for (const entry of this.#entries.splice(0, through - this.#baseIndex)) this.#bytes -= entryBytes(entry)
    this.#baseIndex = through
    this.#baseTerm = base.term
  }

  reset(baseIndex: LogIndex, baseTerm: Term): void {
    this.#entries = []
    this.#bytes = 0
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
  }

  #truncateFrom(index: LogIndex): void {
    const kept = Math.max(0, index - this.#baseIndex - 1)
    for (const entry of this.#entries.splice(kept)) this.#bytes -= entryBytes(entry)
  }
}
