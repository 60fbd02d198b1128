/**
 * History of the replica set along the log. A set takes effect as soon as its entry is in the log, so truncation of the
 * log restores the previous set.
 */
import type { LogIndex, ReplicaId } from '@bilberrystall/base'
import type { Entry, ReplicaInfo, ReplicaRole, ReplicaSet } from './message'

interface HistoryRecord {
  readonly index: LogIndex
  readonly replicas: ReplicaSet
}

export function votersOf(replicas: ReplicaSet): readonly ReplicaInfo[] {
  return replicas.filter((info) => info.role === 'voter')
}

export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1
}

export class ReplicaSetHistory {
  #history: HistoryRecord[]
  #current: HistoryRecord
  #voters: readonly ReplicaInfo[] = []

  constructor(index: LogIndex, replicas: ReplicaSet) {
    this.#current = { index, replicas }
    this.#history = [this.#current]
    this.#refresh()
  }

  get current(): ReplicaSet {
    return this.#current.replicas
  }

  /** Index of the log entry that contains the current replica set. */
  get currentIndex(): LogIndex {
    return this.#current.index
  }

  get voters(): readonly ReplicaInfo[] {
    return this.#voters
  }

  get majority(): number {
    return majorityOf(this.#voters.length)
  }

  roleOf(replica: ReplicaId): ReplicaRole | undefined {
    return this.current.find((info) => info.replica === replica)?.role
  }

  /** Replica set that was current at `index`. */
  at(index: LogIndex): ReplicaSet {
    return this.#history.findLast((set) => set.index <= index)?.replicas ?? []
  }

  /** Updates the history for an append of `entries`, which replaces all entries from the first new index on. */
  appendEntries(entries: readonly Entry[]): void {
    const first = entries[0]
    if (first === undefined) return
    this.#history = this.#history.filter((set, position) => position === 0 || set.index < first.index)
    for (const entry of entries) {
      if (entry.kind === 'replica-set') this.#history.push({ index: entry.index, replicas: entry.replicas })
    }
    this.#refresh()
  }

  /** Removes sets that were replaced at or before `through`. */
  compact(through: LogIndex): void {
    const kept = this.#history.findLastIndex((set) => set.index <= through)
    if (kept > 0) this.#history.splice(0, kept)
  }

  reset(index: LogIndex, replicas: ReplicaSet): void {
    this.#history = [{ index, replicas }]
    this.#refresh()
  }

  #refresh(): void {
    this.#current = this.#history.at(-1) ?? this.#current
    this.#voters = votersOf(this.#current.replicas)
  }
}
