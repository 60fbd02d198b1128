/**
 * Three replicas of the consensus core on simulated disks, with an immediate network and a simulated clock. The cluster
 * records every command that a replica applied, which is when the operator gets an acknowledgement.
 */
import { logIndex, nodeId, seededRandom, term, type NodeId, type ReplicaId } from '@bilberrystall/base'
import {
  Replica,
  type Input,
  type Message,
  type Output,
  type ReplicaSet,
  type Snapshot,
} from '@bilberrystall/consensus'
import { ok } from 'neverthrow'
import { SimulatedDisk, type DiskFaults, type Ending } from '../../storage/test/simulated-disk'
import { openReplicaStorage, type OpenedReplicaStorage, type ReplicaStorage } from '../src/replica-storage'

const NODES = ['a', 'b', 'c'].map((name) => nodeId(name))
const STEP_MS = 10
const TICK_MS = 50

interface Process {
  readonly replica: Replica
  readonly storage: ReplicaStorage
  /** Commands applied so far, in order. */
  commands: readonly number[]
  hasFailed: boolean
}

export class PowerLossCluster {
  readonly acknowledged: number[] = []
  readonly #seed: number
  readonly #disks = new Map<NodeId, SimulatedDisk>()
  readonly #processes = new Map<NodeId, Process>()
  #messages: Message[] = []
  #nextCommand = 1
  #now = 0

  private constructor(seed: number) {
    this.#seed = seed
    for (const [index, node] of NODES.entries()) {
      this.#disks.set(node, new SimulatedDisk(seededRandom(seed * NODES.length + index)))
    }
  }

  /** Creates a cluster whose replicas have only the entry with the replica set on their disks. */
  static async create(seed: number): Promise<PowerLossCluster> {
    const cluster = new PowerLossCluster(seed)
    const opened = await Promise.all(NODES.map((node) => cluster.#open(node)))
    const replicas: ReplicaSet = opened.map(({ replica }, index) => ({ replica, node: NODES[index]!, role: 'voter' }))
    for (const { storage } of opened) {
      const entry = { kind: 'replica-set', index: logIndex(1), term: term(1), replicas } as const
      const ballot = { term: term(1), votedFor: undefined }
      await storage.persist([
        { kind: 'ballot', ballot },
        { kind: 'append', entries: [entry] },
      ])
      await storage.close()
    }
    return cluster
  }

  /** Starts all replicas. Throws if a log cannot be opened on a disk without faults. */
  async start(faults: DiskFaults = {}): Promise<void> {
    for (const [index, node] of NODES.entries()) {
      const { storage, replica, stored } = await this.#open(node)
      this.#disks.get(node)?.inject(faults)
      const random = seededRandom(this.#seed + index)
      const limits = { startupVoteDelay: 0, firstElection: 250 }
      const core = new Replica({ replica, node, random, now: this.#now, stored, limits })
      const commands = stored.snapshot === undefined ? [] : decodeCommands(stored.snapshot.data)
      this.#processes.set(node, { replica: core, storage, commands, hasFailed: false })
    }
  }

  /** Runs the replicas and proposes a command to the leader in each step. */
  async run(steps: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      this.#now += STEP_MS
      for (const message of this.#messages.splice(0)) this.#deliver(message)
      for (const process of this.#processes.values()) {
        if (this.#now % TICK_MS === 0) this.#step(process, { kind: 'tick' })
        if (process.replica.status().role === 'leader') this.#propose(process)
      }
      await new Promise((resolve) => setImmediate(resolve))
    }
  }

  /** Ends all processes at once. */
  async stop(ending: Ending): Promise<void> {
    for (const [node, disk] of this.#disks) this.#disks.set(node, disk.restart(ending))
    const processes = [...this.#processes.values()]
    this.#processes.clear()
    this.#messages = []
    for (const { storage } of processes) await storage.close().catch(() => undefined)
  }

  /** Commands applied by each replica. */
  applied(): (readonly number[])[] {
    return [...this.#processes.values()].map(({ commands }) => commands)
  }

  async #open(node: NodeId): Promise<OpenedReplicaStorage> {
    const fileSystem = this.#disks.get(node)!
    const lock = () => Promise.resolve(ok({ release: () => Promise.resolve() }))
    const opened = await openReplicaStorage({ folder: '/data', node, fileSystem, lock })
    return opened.match(
      (storage) => storage,
      ({ code, message }) => {
        throw new Error(`${node}: ${code}: ${message}`)
      },
    )
  }

  #propose(process: Process): void {
    const command = Buffer.alloc(4)
    command.writeUInt32LE(this.#nextCommand)
    this.#step(process, { kind: 'propose', proposal: this.#nextCommand, command })
    this.#nextCommand += 1
  }

  #deliver(message: Message): void {
    for (const process of this.#processes.values()) {
      if (idOf(process) === message.to) this.#step(process, { kind: 'message', message })
    }
  }

  #step(process: Process, input: Input): void {
    if (process.hasFailed) return
    for (const output of process.replica.step(input, this.#now)) this.#execute(process, output)
  }

  #execute(process: Process, output: Output): void {
    switch (output.kind) {
      case 'persist':
        void this.#persist(process, output.persist, output.records)
        break
      case 'send':
        this.#messages.push(output.message)
        break
      case 'apply':
        for (const entry of output.entries) {
          if (entry.kind === 'command') this.#apply(process, Buffer.from(entry.command).readUInt32LE())
        }
        break
      case 'restore':
        process.commands = decodeCommands(output.snapshot.data)
        break
      case 'take-snapshot':
        void this.#saveSnapshot(process, { ...output.position, data: encodeCommands(process.commands) })
        break
      case 'accepted':
      case 'rejected':
      case 'read-ready':
      case 'read-failed':
      case 'role':
      case 'transfer-failed':
        break
    }
  }

  #apply(process: Process, command: number): void {
    process.commands = [...process.commands, command]
    if (!this.acknowledged.includes(command)) this.acknowledged.push(command)
  }

  async #persist(process: Process, persist: number, records: Parameters<ReplicaStorage['persist']>[0]): Promise<void> {
    const stored = await process.storage.persist(records)
    if (stored.isErr()) process.hasFailed = true
    else this.#step(process, { kind: 'persisted', persist })
  }

  async #saveSnapshot(process: Process, snapshot: Snapshot): Promise<void> {
    const stored = await process.storage.saveSnapshot(snapshot)
    if (stored.isErr()) process.hasFailed = true
    else this.#step(process, { kind: 'snapshot-taken', snapshot })
  }
}

function idOf({ replica }: Process): ReplicaId {
  return replica.status().replica
}

function encodeCommands(commands: readonly number[]): Uint8Array {
  return Buffer.from(JSON.stringify(commands))
}

function decodeCommands(data: Uint8Array): readonly number[] {
  return JSON.parse(Buffer.from(data).toString()) as number[]
}
