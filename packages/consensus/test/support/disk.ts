/** Simulated disk: records become durable only when synced, and a crash loses the unsynced ones. */
import { randomInt, type LogIndex, type RandomSource, type Term } from '@bilberrystall/base'
import type { Ballot, Entry, PersistOutput, PersistRecord, Snapshot, StoredState } from '../../src/index'

export class Disk {
  ballot: Ballot | undefined
  snapshot: Snapshot | undefined
  entries: Entry[] = []
  #unsynced: PersistOutput[] = []

  static of(stored: StoredState): Disk {
    const disk = new Disk()
    disk.ballot = stored.ballot
    disk.snapshot = stored.snapshot
    disk.entries = [...(stored.entries ?? [])]
    return disk
  }

  stored(): StoredState {
    const base = { entries: [...this.entries] }
    const ballot = this.ballot === undefined ? {} : { ballot: this.ballot }
    const snapshot = this.snapshot === undefined ? {} : { snapshot: this.snapshot }
    return { ...base, ...ballot, ...snapshot }
  }

  write(output: PersistOutput): void {
    this.#unsynced.push(output)
  }

  /** Makes the records of all outputs up to this number durable. */
  sync(persist: number): void {
    for (let first = this.#unsynced[0]; first !== undefined && first.persist <= persist; first = this.#unsynced[0]) {
      this.#unsynced.shift()
      for (const record of first.records) this.#apply(record)
    }
  }

  /** Discards unsynced outputs, except for a random prefix that may have reached the disk. */
  crash(random: RandomSource): void {
    const reached = this.#unsynced[randomInt(random, this.#unsynced.length + 1) - 1]
    if (reached !== undefined) this.sync(reached.persist)
    this.#unsynced = []
  }

  saveSnapshot(snapshot: Snapshot): void {
    if (snapshot.index > (this.snapshot?.index ?? 0)) this.snapshot = snapshot
  }

  get lastIndex(): number {
    return this.entries.at(-1)?.index ?? this.snapshot?.index ?? 0
  }

  /** Whether the synced state covers the entry at this position. */
  holds(index: LogIndex, term: Term): boolean {
    if (this.snapshot !== undefined && index <= this.snapshot.index) return true
    const first = this.entries[0]
    return first !== undefined && this.entries[index - first.index]?.term === term
  }

  #apply(record: PersistRecord): void {
    switch (record.kind) {
      case 'ballot':
        this.ballot = record.ballot
        break
      case 'append': {
        const from = record.entries[0]?.index ?? 0
        this.entries = this.entries.filter((entry) => entry.index < from)
        this.entries.push(...record.entries)
        break
      }
      case 'install':
        this.snapshot = record.snapshot
        this.entries = []
        break
      case 'compact':
        this.entries = this.entries.filter((entry) => entry.index > record.through)
        break
    }
  }
}
