/**
 * Tracks which records are synced to disk. The records of one step form one persist output. Messages that depend on an
 * unsynced ballot are held here until the host reports the ballot as synced.
 */
import { logIndex, type LogIndex } from '@bilberrystall/base'
import type { Message, Snapshot } from './message'
import type { Output, PersistRecord } from './output'

/**
 * Bounds memory: the oldest held messages beyond this number are dropped, which is safe because messages may be lost.
 */
const MAX_HELD_MESSAGES = 256

/** A persist output that the host has not reported as synced. */
interface UnsyncedOutput {
  readonly persist: number
  readonly since: number
  lastIndex: LogIndex | undefined
  snapshot: Snapshot | undefined
}

interface HeldMessage {
  readonly persist: number
  readonly message: Message
}

export interface SyncResult {
  /** Held messages that may be sent now. */
  readonly messages: readonly Message[]
  /** Snapshots received from the leader that are now on disk. */
  readonly snapshots: readonly Snapshot[]
}

export class PersistenceTracker {
  #records: PersistRecord[] = []
  #nextPersist = 1
  #lastSyncedPersist = 0
  #ballotPersist = 0
  #unsyncedOutputs: UnsyncedOutput[] = []
  #heldMessages: HeldMessage[] = []
  #recordedLastIndex: LogIndex | undefined
  #recordedSnapshot: Snapshot | undefined

  /** Highest log index that is synced. */
  durableIndex: LogIndex

  constructor(durableIndex: LogIndex) {
    this.durableIndex = durableIndex
  }

  get ballotSynced(): boolean {
    return this.#ballotPersist <= this.#lastSyncedPersist
  }

  /** Time at which the oldest unsynced persist output was emitted. */
  get pendingSince(): number | undefined {
    return this.#unsyncedOutputs[0]?.since
  }

  record(record: PersistRecord): void {
    switch (record.kind) {
      case 'ballot':
        this.#ballotPersist = this.#nextPersist
        break
      case 'append': {
        const first = record.entries[0]
        const last = record.entries.at(-1)
        if (first === undefined || last === undefined) return
        this.#discardFrom(first.index)
        this.#recordedLastIndex = last.index
        break
      }
      case 'install':
        this.#discardFrom(logIndex(0))
        this.#recordedSnapshot = record.snapshot
        this.#recordedLastIndex = record.snapshot.index
        break
      case 'compact':
        break
    }
    this.#records.push(record)
  }

  /** Holds a message until the newest ballot is synced. */
  hold(message: Message): void {
    this.#heldMessages.push({ persist: this.#ballotPersist, message })
    if (this.#heldMessages.length > MAX_HELD_MESSAGES) this.#heldMessages.shift()
  }

  /** Returns the records of this step as one persist output. */
  flush(now: number): Output | undefined {
    if (this.#records.length === 0) return undefined
    const persist = this.#nextPersist
    this.#nextPersist += 1
    this.#unsyncedOutputs.push({
      persist,
      since: now,
      lastIndex: this.#recordedLastIndex,
      snapshot: this.#recordedSnapshot,
    })
    const records = this.#records
    this.#records = []
    this.#recordedLastIndex = undefined
    this.#recordedSnapshot = undefined
    return { kind: 'persist', persist, records }
  }

  /** Marks the output with this number, and all before it, as synced. */
  markSynced(persist: number): SyncResult {
    if (!(persist > this.#lastSyncedPersist && persist < this.#nextPersist)) return { messages: [], snapshots: [] }
    this.#lastSyncedPersist = persist
    const snapshots: Snapshot[] = []
    for (
      let first = this.#unsyncedOutputs[0];
      first !== undefined && first.persist <= persist;
      first = this.#unsyncedOutputs[0]
    ) {
      this.#unsyncedOutputs.shift()
      if (first.lastIndex !== undefined) this.durableIndex = first.lastIndex
      if (first.snapshot !== undefined) snapshots.push(first.snapshot)
    }
    const released = this.#heldMessages.filter((held) => held.persist <= persist)
    this.#heldMessages = this.#heldMessages.filter((held) => held.persist > persist)
    return { messages: released.map((held) => held.message), snapshots }
  }

  /** Entries from `index` on are being replaced, so syncing an earlier output no longer makes them durable. */
  #discardFrom(index: LogIndex): void {
    const last = logIndex(Math.max(0, index - 1))
    if (this.durableIndex > last) this.durableIndex = last
    for (const pending of this.#unsyncedOutputs) {
      if (pending.lastIndex !== undefined && pending.lastIndex > last) pending.lastIndex = last
    }
    if (this.#recordedLastIndex !== undefined && this.#recordedLastIndex > last) this.#recordedLastIndex = last
  }
}
