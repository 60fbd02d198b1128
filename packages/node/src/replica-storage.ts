/** Persistent storage of a replica in its data folder: disk id, vote, log entries and snapshots. */
import { err, ok, type Result } from 'neverthrow'
import { errorMessage, failure, replicaId, type Failure, type NodeId, type ReplicaId } from '@bilberrystall/base'
import { checkStored, type PersistRecord, type Snapshot, type StoredState } from '@bilberrystall/consensus'
import { openLog, type FileSystem, type LogOptions, type LogRecord, type WriteAheadLog } from '@bilberrystall/storage'
import { decodeEntryData, decodeSnapshotData, encodeEntryData, encodeSnapshotData } from './control-wire'

export interface OpenedReplicaStorage {
  readonly storage: ReplicaStorage
  readonly replica: ReplicaId
  readonly stored: StoredState
  /** Whether the node had a replica before, whose damaged log was set aside. */
  readonly replacesDamaged: boolean
}

export interface ReplicaStorageOptions {
  readonly folder: string
  readonly node: NodeId
  readonly fileSystem?: FileSystem
  readonly lock?: LogOptions['lock']
  readonly onFull?: LogOptions['onFull']
}

/** Returns the id of a replica: node name and disk id. A node that starts with an empty disk is a new replica. */
export function replicaIdOf(node: NodeId, diskId: string): ReplicaId {
  return replicaId(`${node}/${diskId}`)
}

/** Errors: those of `openLog`. */
export async function openReplicaStorage(
  options: ReplicaStorageOptions,
): Promise<Result<OpenedReplicaStorage, Failure>> {
  const { folder, fileSystem, lock, onFull } = options
  const opened = await openLog({
    folder,
    ...(onFull === undefined ? {} : { onFull }),
    ...(fileSystem === undefined ? {} : { fileSystem }),
    ...(lock === undefined ? {} : { lock }),
  })
  if (opened.isErr()) return err(opened.error)
  const { log, stored } = opened.value
  try {
    const { ballot, snapshot, entries } = stored
    const state: StoredState = {
      ...(ballot.term === 0 ? {} : { ballot }),
      ...(snapshot === undefined ? {} : { snapshot: decodeSnapshotData(snapshot) }),
      ...(entries.length === 0 ? {} : { entries: entries.map(decodeEntryData) }),
    }
    const checked = checkStored(state)
    if (checked.isOk()) {
      const replica = replicaIdOf(options.node, stored.diskId)
      return ok({ storage: new ReplicaStorage(log), replica, stored: state, replacesDamaged: stored.replacesDamaged })
    }
    await log.close()
    return err(checked.error)
  } catch (cause) {
    await log.close()
    return err(failure('formatUnknown', `cannot decode the stored log or snapshot: ${errorMessage(cause)}`))
  }
}

export class ReplicaStorage {
  readonly #log: WriteAheadLog

  constructor(log: WriteAheadLog) {
    this.#log = log
  }

  /** Writes records in order; resolves once all of them are synced to disk. */
  async persist(records: readonly PersistRecord[]): Promise<Result<void, Failure>> {
    const results = await Promise.all(this.#enqueue(records))
    return results.find((result) => result.isErr()) ?? ok()
  }

  saveSnapshot(snapshot: Snapshot): Promise<Result<void, Failure>> {
    const { index, term } = snapshot
    return this.#log.saveSnapshot({ index, term, data: encodeSnapshotData(snapshot) })
  }

  close(): Promise<void> {
    return this.#log.close()
  }

  /** The log processes its queue in order, so the records are enqueued without waiting for each other. */
  #enqueue(records: readonly PersistRecord[]): Promise<Result<void, Failure>>[] {
    const done: Promise<Result<void, Failure>>[] = []
    let batch: LogRecord[] = []
    const flush = () => {
      if (batch.length > 0) done.push(this.#log.append(batch))
      batch = []
    }
    for (const record of records) {
      switch (record.kind) {
        case 'ballot':
          batch.push(record)
          break
        case 'append':
          for (const entry of record.entries) {
            const { index, term } = entry
            batch.push({ kind: 'entry', entry: { index, term, data: encodeEntryData(entry) } })
          }
          break
        case 'install': {
          flush()
          const { index, term } = record.snapshot
          done.push(this.#log.installSnapshot({ index, term, data: encodeSnapshotData(record.snapshot) }))
          break
        }
        case 'compact':
          flush()
          done.push(this.#log.compact(record.through))
          break
      }
    }
    flush()
    return done
  }
}
