/**
 * In-memory disk with the guarantees of a real one and no others. After a power loss a file has what its last sync
 * covered, and each later write is present, missing or torn, independently of the others. Created, renamed and removed
 * names persist once their folder is synced, a created name also with the sync of the file. A failed sync drops the
 * writes that it should have stored, while the process still reads them from the page cache.
 */
import { randomInt, type RandomSource } from '@bilberrystall/base'
import type { FileSystem, OpenFile } from '../src/index'

type Change =
  | { readonly kind: 'write'; readonly position: number; readonly data: Buffer }
  | { readonly kind: 'truncate'; readonly length: number }

interface File {
  /** Content as a process reads it. */
  cached: Buffer
  /** Content that the last sync covered. */
  synced: Buffer
  /** Changes since the last sync, in order. */
  changes: Change[]
}

type NameChange =
  | { readonly kind: 'create'; readonly name: string; readonly file: File }
  | { readonly kind: 'rename'; readonly from: string; readonly to: string }
  | { readonly kind: 'remove'; readonly name: string }

type Names = Map<string, File>

/** How a process ends: with the page cache kept, or with only what survives on the disk. */
export type Ending = 'kill' | 'power-loss'

export interface DiskFaults {
  /** Number of operations after which the process or the machine stops. */
  operationsBeforeStop?: number
  /** Number of syncs before one that fails. */
  syncsBeforeFailure?: number
  /** Number of writes before the disk is full for one write. */
  writesBeforeFull?: number
  /** Number of syncs before one that takes many turns of the event loop. */
  syncsBeforeStall?: number
}

const STALL_TURNS = 20
/** Share of the power losses that lose every write since the last sync. */
const LOSE_ALL_SHARE = 0.2

export class SimulatedDisk implements FileSystem {
  readonly #random: RandomSource
  #names: Names
  #syncedNames: Names
  #nameChanges: NameChange[]
  #faults: DiskFaults = {}
  #stopped = false

  constructor(random: RandomSource, names: Names = new Map(), syncedNames: Names = names, changes: NameChange[] = []) {
    this.#random = random
    this.#names = new Map(names)
    this.#syncedNames = new Map(syncedNames)
    this.#nameChanges = changes
  }

  /** Whether `operationsBeforeStop` has been reached. Every operation fails from then on. */
  get isStopped(): boolean {
    return this.#stopped
  }

  inject(faults: DiskFaults): void {
    this.#faults = { ...faults }
  }

  /** Returns the disk as the next process finds it. The ended process can no longer change it. */
  restart(ending: Ending): SimulatedDisk {
    this.#stopped = true
    if (ending === 'kill') return new SimulatedDisk(this.#random, this.#names, this.#syncedNames, this.#nameChanges)
    const survivors = new Map<File, File>()
    const losesAll = this.#random() < LOSE_ALL_SHARE
    const names = new Map(this.#syncedNames)
    for (const change of this.#nameChanges) if (this.#random() < 0.5) applyNameChange(names, change)
    for (const [name, file] of names) {
      const survivor = survivors.get(file) ?? this.#surviving(file, losesAll)
      survivors.set(file, survivor)
      names.set(name, survivor)
    }
    return new SimulatedDisk(this.#random, names)
  }

  /** Files as a process reads them. */
  contents(): ReadonlyMap<string, Buffer> {
    return new Map([...this.#names].map(([name, file]) => [name, file.cached]))
  }

  /** Replaces the content of a synced file. */
  replace(name: string, content: Buffer): void {
    this.#names.set(name, { cached: content, synced: content, changes: [] })
  }

  async makeFolder(): Promise<void> {
    await this.#turn()
  }

  async list(folder: string): Promise<string[]> {
    await this.#turn()
    return [...this.#names.keys()]
      .filter((name) => name.startsWith(`${folder}/`))
      .map((name) => name.slice(folder.length + 1))
  }

  async read(path: string): Promise<Uint8Array> {
    await this.#turn()
    return Buffer.from(this.#fileOf(path).cached)
  }

  async open(path: string): Promise<OpenFile> {
    await this.#turn()
    if (!this.#names.has(path)) {
      const created: File = { cached: Buffer.alloc(0), synced: Buffer.alloc(0), changes: [] }
      this.#changeName({ kind: 'create', name: path, file: created })
    }
    const file = this.#fileOf(path)
    return {
      write: (data, position) => this.#write(file, data, position),
      datasync: () => this.#sync(file),
      truncate: async (length) => {
        await this.#turn()
        changeFile(file, { kind: 'truncate', length })
      },
      close: () => Promise.resolve(),
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await this.#turn()
    this.#changeName({ kind: 'rename', from, to })
  }

  async remove(path: string): Promise<void> {
    await this.#turn()
    if (this.#names.has(path)) this.#changeName({ kind: 'remove', name: path })
  }

  async syncFolder(): Promise<void> {
    await this.#turn()
    this.#syncedNames = new Map(this.#names)
    this.#nameChanges = []
  }

  async #write(file: File, data: Uint8Array, position: number): Promise<number> {
    if (this.#countDown('writesBeforeFull')) throw Object.assign(new Error('no space left'), { code: 'ENOSPC' })
    const count = this.#random() < 0.1 ? 1 + randomInt(this.#random, data.byteLength) : data.byteLength
    const written = Buffer.from(data.subarray(0, count))
    // A write that is interrupted may still have reached the page cache.
    if (this.#random() < 0.5) changeFile(file, { kind: 'write', position, data: written })
    await this.#turn()
    changeFile(file, { kind: 'write', position, data: written })
    return count
  }

  async #sync(file: File): Promise<void> {
    await this.#turn()
    if (this.#countDown('syncsBeforeStall')) for (let turn = 0; turn < STALL_TURNS; turn += 1) await this.#turn()
    if (this.#countDown('syncsBeforeFailure')) {
      file.changes = []
      throw Object.assign(new Error('input/output error'), { code: 'EIO' })
    }
    for (const change of file.changes) file.synced = applyChange(file.synced, change)
    file.changes = []
    this.#syncCreatedName(file)
  }

  /** The name that a file was created with persists with the file. Earlier changes of this name are superseded. */
  #syncCreatedName(file: File): void {
    const position = this.#nameChanges.findIndex((change) => change.kind === 'create' && change.file === file)
    const created = this.#nameChanges[position]
    if (created?.kind !== 'create') return
    this.#nameChanges = this.#nameChanges.filter((change, other) => {
      return other > position || change.kind === 'rename' || change.name !== created.name
    })
    applyNameChange(this.#syncedNames, created)
  }

  #surviving(file: File, losesAll: boolean): File {
    let content = file.synced
    for (const change of losesAll ? [] : file.changes) {
      const outcome = this.#random()
      if (outcome < 1 / 3) content = applyChange(content, change)
      else if (outcome < 2 / 3 && change.kind === 'write') content = applyChange(content, this.#tear(change))
    }
    return { cached: content, synced: content, changes: [] }
  }

  /** Returns the part of a write that reached the disk. */
  #tear(write: Change & { readonly kind: 'write' }): Change {
    const start = this.#random() < 0.5 ? 0 : randomInt(this.#random, write.data.byteLength)
    const end = start + randomInt(this.#random, write.data.byteLength - start + 1)
    return { kind: 'write', position: write.position + start, data: write.data.subarray(start, end) }
  }

  #changeName(change: NameChange): void {
    this.#nameChanges.push(change)
    applyNameChange(this.#names, change)
  }

  #fileOf(path: string): File {
    const file = this.#names.get(path)
    if (file === undefined) throw Object.assign(new Error(`no such file: ${path}`), { code: 'ENOENT' })
    return file
  }

  /** Lets other operations run first, and fails if the process has ended. */
  async #turn(): Promise<void> {
    if (this.#countDown('operationsBeforeStop')) this.#stopped = true
    await new Promise((resolve) => setImmediate(resolve))
    if (this.#stopped) throw new Error('the process has ended')
  }

  /** Whether the counter of a fault reaches its end with this operation. */
  #countDown(fault: keyof DiskFaults): boolean {
    const left = this.#faults[fault]
    if (left === undefined) return false
    this.#faults = { ...this.#faults, [fault]: left - 1 }
    return left === 0
  }
}

function changeFile(file: File, change: Change): void {
  file.cached = applyChange(file.cached, change)
  file.changes.push(change)
}

function applyChange(content: Buffer, change: Change): Buffer {
  switch (change.kind) {
    case 'truncate': {
      const resized = Buffer.alloc(change.length)
      content.copy(resized)
      return resized
    }
    case 'write': {
      if (change.data.byteLength === 0) return content
      const resized = Buffer.alloc(Math.max(content.length, change.position + change.data.byteLength))
      content.copy(resized)
      resized.set(change.data, change.position)
      return resized
    }
  }
}

/** A change of a name that does not exist has no effect, because the change that created it was lost. */
function applyNameChange(names: Names, change: NameChange): void {
  switch (change.kind) {
    case 'create':
      names.set(change.name, change.file)
      break
    case 'rename': {
      const file = names.get(change.from)
      if (file === undefined) return
      names.delete(change.from)
      names.set(change.to, file)
      break
    }
    case 'remove':
      names.delete(change.name)
      break
  }
}
