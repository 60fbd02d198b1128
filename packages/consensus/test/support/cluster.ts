/** Simulated network, disks and hosts around replicas, driven by one event queue with time in milliseconds. */
import {
  logIndex,
  nodeId,
  randomInt,
  replicaId,
  seededRandom,
  term,
  type LogIndex,
  type NodeId,
  type RandomSource,
  type ReplicaId,
  type Term,
} from '@bilberrystall/base'
import {
  Replica,
  type Entry,
  type Input,
  type Limits,
  type Message,
  type Output,
  type ReplicaOptions,
  type ReplicaSetChange,
  type Status,
} from '../../src/index'
import { Checker, commandOf } from './checker'
import { Disk } from './disk'
import { EventQueue } from './event-queue'

export interface Stepper {
  step(input: Input, now: number): Output[]
  status(): Status
}

/** Creates the replica of a host. An injected fault wraps or replaces it. */
export type StepperFactory = (options: ReplicaOptions, host: Host) => Stepper

export interface Network {
  /** Share of messages lost, between 0 and 1. */
  loss: number
  /** Share of messages delivered twice. */
  duplicates: number
  /** Share of messages delayed by up to `slowMs` instead of up to 5 ms, which also reorders them. */
  slow: number
  slowMs: number
}

export interface ClusterOptions {
  readonly seed: number
  readonly voters: number
  readonly spares?: number
  readonly limits?: Partial<Limits>
  readonly make?: StepperFactory
  /** Longest duration of a sync of the simulated disk, in milliseconds. */
  readonly syncMs?: number
}

const TICK_MS = 50
export const RELIABLE_NETWORK: Network = { loss: 0, duplicates: 0, slow: 0, slowMs: 0 }

export class Host {
  readonly node: NodeId
  readonly clockRate: number
  replica: ReplicaId
  disk: Disk
  stepper: Stepper | undefined
  /** Number of starts. Events of an earlier start are ignored. */
  start = 0
  suspendedUntil = 0
  queuedInputs: Input[] = []
  applied = 0
  digest = 0
  role = 'idle'
  commit = 0
  /** Highest commit index of the cluster at the start of each read, by read number. */
  readonly reads = new Map<number, number>()
  /** Command number or replica set change of each proposal, by proposal number. */
  readonly proposals = new Map<number, number | ReplicaSetChange>()

  constructor(node: NodeId, replica: ReplicaId, disk: Disk, clockRate: number) {
    this.node = node
    this.replica = replica
    this.disk = disk
    this.clockRate = clockRate
  }
}

export class Cluster {
  readonly checker = new Checker()
  readonly hosts: Host[] = []
  readonly random: RandomSource
  readonly lostReplicas = new Set<ReplicaId>()
  network: Network = { ...RELIABLE_NETWORK }
  /** Blocked directed links, as "from to" with node ids. */
  blocked = new Set<string>()
  messages = 0
  steps = 0
  now = 0
  readonly #options: ClusterOptions
  readonly #queue = new EventQueue()
  readonly #byReplica = new Map<ReplicaId, Host>()
  #nextCommand = 1
  #nextRead = 1
  #disks = 0

  constructor(options: ClusterOptions) {
    this.#options = options
    this.random = seededRandom(options.seed)
    const names = Array.from({ length: options.voters + (options.spares ?? 0) }, (_, index) => nodeId(`n${index}`))
    const replicas = names.slice(0, options.voters).map((node) => {
      return { replica: replicaId(`${node}/1`), node, role: 'voter' as const }
    })
    const first: Entry = { kind: 'replica-set', index: logIndex(1), term: term(1), replicas }
    names.forEach((node, index) => {
      const ballot = { term: term(1), votedFor: undefined }
      const disk = index < options.voters ? Disk.of({ ballot, entries: [first] }) : new Disk()
      // Clock rates deviate by up to 5%, well within the margin of the lease.
      const host = new Host(node, replicaId(`${node}/1`), disk, 0.95 + this.random() * 0.1)
      this.hosts.push(host)
      this.start(host)
    })
  }

  start(host: Host): void {
    host.start += 1
    host.queuedInputs = []
    host.suspendedUntil = 0
    host.role = 'idle'
    host.reads.clear()
    host.proposals.clear()
    host.applied = host.disk.snapshot?.index ?? 0
    host.commit = host.applied
    host.digest = host.disk.snapshot === undefined ? 0 : digestOf(host.disk.snapshot.data)
    const random = seededRandom(randomInt(this.random, 2 ** 31))
    const options: ReplicaOptions = {
      replica: host.replica,
      node: host.node,
      random,
      now: this.clock(host),
      stored: host.disk.stored(),
      limits: this.#options.limits ?? {},
    }
    host.stepper = (this.#options.make ?? ((made) => new Replica(made)))(options, host)
    this.#byReplica.set(host.replica, host)
    this.#scheduleTick(host, host.start)
  }

  crash(host: Host): void {
    host.stepper = undefined
    host.role = 'down'
    host.start += 1
    host.disk.crash(this.random)
  }

  /** Replaces the disk with an empty one. A correct host then uses a new replica id. */
  loseDisk(host: Host, newIdentity = true): void {
    this.crash(host)
    this.lostReplicas.add(host.replica)
    this.#disks += 1
    if (newIdentity) {
      this.#byReplica.delete(host.replica)
      host.replica = replicaId(`${host.node}/lost-${this.#disks}`)
    }
    host.disk = new Disk()
  }

  clock(host: Host): number {
    return 1_000 + this.now * host.clockRate
  }

  at(delay: number, run: () => void): void {
    this.#queue.push(this.now + delay, run)
  }

  runUntil(time: number, done: () => boolean = () => false): boolean {
    while (!done()) {
      const event = this.#queue.popBefore(time)
      if (event === undefined) {
        this.now = time
        return done()
      }
      this.now = event.time
      event.run()
    }
    return true
  }

  leader(): Host | undefined {
    const leaders = this.hosts.filter((host) => host.role === 'leader' && host.suspendedUntil <= this.now)
    return leaders.toSorted((left, right) => termOf(right) - termOf(left))[0]
  }

  propose(host: Host): void {
    const command = this.#nextCommand
    this.#nextCommand += 1
    host.proposals.set(command, command)
    this.step(host, { kind: 'propose', proposal: command, command: commandOf(command) })
  }

  change(host: Host, change: ReplicaSetChange): void {
    const proposal = this.#nextCommand
    this.#nextCommand += 1
    host.proposals.set(proposal, change)
    this.step(host, { kind: 'change-replica-set', proposal, change })
  }

  read(host: Host, mode: 'quorum' | 'lease'): void {
    const read = this.#nextRead
    this.#nextRead += 1
    host.reads.set(read, this.checker.maxCommit)
    this.step(host, { kind: 'read', read, mode })
  }

  step(host: Host, input: Input): void {
    if (host.stepper === undefined) return
    if (host.suspendedUntil > this.now) {
      host.queuedInputs.push(input)
      return
    }
    this.steps += 1
    const outputs = host.stepper.step(input, this.clock(host))
    for (const output of outputs) this.#execute(host, output)
    if (host.role === 'leader') this.#checkCommit(host)
  }

  suspend(host: Host, duration: number): void {
    if (host.stepper === undefined || host.suspendedUntil > this.now) return
    const start = host.start
    host.suspendedUntil = this.now + duration
    this.at(duration, () => {
      if (host.start === start) this.resume(host)
    })
  }

  resume(host: Host): void {
    host.suspendedUntil = 0
    for (const input of host.queuedInputs.splice(0)) this.step(host, input)
  }

  #scheduleTick(host: Host, start: number): void {
    this.at(randomInt(this.random, TICK_MS), () => {
      this.#tick(host, start)
    })
  }

  #tick(host: Host, start: number): void {
    if (host.start !== start) return
    if (host.suspendedUntil <= this.now) this.step(host, { kind: 'tick' })
    this.at(TICK_MS, () => {
      this.#tick(host, start)
    })
  }

  #execute(host: Host, output: Output): void {
    switch (output.kind) {
      case 'persist':
        this.#persist(host, output)
        break
      case 'send':
        this.#send(host, output.message)
        break
      case 'apply':
        for (const entry of output.entries) {
          host.digest = this.checker.checkApplied(entry, host.applied + 1)
          host.applied = entry.index
        }
        break
      case 'restore':
        host.applied = output.snapshot.index
        host.digest = digestOf(output.snapshot.data)
        this.checker.checkRestored(output.snapshot.index, host.digest)
        break
      case 'take-snapshot':
        this.#takeSnapshot(host, output)
        break
      case 'accepted':
        this.#recordAccepted(host, output.proposal, output.index, output.term)
        break
      case 'read-ready':
        this.checker.checkRead(host.reads.get(output.read) ?? 0, output.index, host.applied)
        break
      case 'role':
        host.role = output.role
        if (output.role === 'leader' && host.stepper !== undefined) {
          const status = host.stepper.status()
          // Entries committed while it was a follower were checked at the leader that committed them.
          host.commit = status.commit
          this.checker.checkLeader(host.replica, status)
        }
        break
      case 'rejected':
      case 'read-failed':
      case 'transfer-failed':
        break
    }
  }

  #persist(host: Host, output: Extract<Output, { kind: 'persist' }>): void {
    const { start, disk } = host
    disk.write(output)
    this.at(1 + randomInt(this.random, this.#options.syncMs ?? 5), () => {
      if (host.start !== start) return
      disk.sync(output.persist)
      this.step(host, { kind: 'persisted', persist: output.persist })
    })
  }

  #send(host: Host, message: Message): void {
    this.messages += 1
    this.checker.checkSent(message, host.disk)
    if (this.random() < this.network.loss) return
    const copies = this.random() < this.network.duplicates ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const isSlow = this.random() < this.network.slow
      const delay = 1 + randomInt(this.random, isSlow ? this.network.slowMs : 5)
      this.at(delay, () => {
        this.#deliver(host, message)
      })
    }
  }

  #deliver(from: Host, message: Message): void {
    const to = this.#byReplica.get(message.to)
    if (to === undefined || this.blocked.has(`${from.node} ${to.node}`)) return
    this.step(to, { kind: 'message', message })
  }

  #takeSnapshot(host: Host, output: Extract<Output, { kind: 'take-snapshot' }>): void {
    const { start } = host
    const data = new Uint8Array(40)
    new DataView(data.buffer).setUint32(0, host.digest)
    const snapshot = { ...output.position, data }
    this.at(randomInt(this.random, 20), () => {
      if (host.start !== start) return
      host.disk.saveSnapshot(snapshot)
      this.step(host, { kind: 'snapshot-taken', snapshot })
    })
  }

  #recordAccepted(host: Host, proposal: number, index: LogIndex, entryTerm: Term): void {
    const proposed = host.proposals.get(proposal)
    if (typeof proposed === 'number') this.checker.recordAccepted(index, entryTerm, proposed)
    if (typeof proposed !== 'object' || proposed.kind !== 'promote' || host.stepper === undefined) return
    const learner = this.#byReplica.get(proposed.replica)
    this.checker.checkPromotion(host.stepper.status(), entryTerm, learner?.disk)
  }

  #checkCommit(host: Host): void {
    const status = host.stepper?.status()
    if (status === undefined || status.commit <= host.commit) return
    host.commit = status.commit
    this.checker.checkCommit(status, status.term, (replica) => this.#byReplica.get(replica)?.disk)
  }
}

function digestOf(data: Uint8Array): number {
  return new DataView(data.buffer, data.byteOffset).getUint32(0)
}

function termOf(host: Host): number {
  return host.stepper?.status().term ?? 0
}
