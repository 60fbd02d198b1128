/**
 * Runs one replica of the control log: passes it ticks, messages and completed writes, executes its outputs in order
 * and applies committed commands to the state machine.
 */
import { performance } from 'node:perf_hooks'
import { err, ok, type Result } from 'neverthrow'
import {
  errorMessage,
  failure,
  type Failure,
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
  type ReplicaSetChange,
  type Role,
  type Snapshot,
  type SnapshotPosition,
  type Status,
  type StoredState,
} from '@bilberrystall/consensus'
import {
  applyCommand,
  applyReplicaSet,
  decodeCommand,
  emptyState,
  encodeCommand,
  decodeSnapshot,
  encodeSnapshot,
  type CommandResult,
  type Command,
  type ControlState,
} from '@bilberrystall/control'
import type { ReplicaStorage } from './replica-storage'

const TICK_MS = 50
/** Reads always use a quorum and never the leader lease, so a restarted replica may vote immediately. */
const FAST_START_LIMITS: Partial<Limits> = { startupVoteDelay: 0, firstElection: 250 }
/** The result of a proposal or read that has not completed after this time is unknown. */
const RESULT_TIMEOUT_MS = 5_000

/** Outcome of a proposal. `unknown` may still take effect; `failed` took no effect. */
export type ProposalOutcome =
  | { readonly kind: 'applied'; readonly applied: CommandResult }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'failed'; readonly failure: Failure; readonly leader: ReplicaId | undefined }

export interface ReplicaHostOptions {
  readonly storage: ReplicaStorage
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly stored: StoredState
  readonly bootstrap: boolean
  readonly random: RandomSource
  readonly send: (message: Message) => void
  /** Called after commands are applied or a snapshot is restored. */
  readonly onApplied: (commands: readonly Command[]) => void
  readonly onRoleChange: (role: Role, leader: ReplicaId | undefined, term: Term) => void
  /** Called when the replica has failed and takes no further part; it must be stopped. */
  readonly onFatal: (cause: Failure) => void
  /** Called with the duration of each sync in milliseconds. */
  readonly onSynced?: (duration: number) => void
  readonly now?: () => number
  readonly limits?: Partial<Limits>
}

interface Waiter<Value> {
  readonly resolve: (value: Value) => void
  readonly timer: NodeJS.Timeout
}

interface PendingEntry {
  readonly term: Term
  readonly proposal: number
}

export class ReplicaHost {
  readonly #options: ReplicaHostOptions
  readonly #replica: Replica
  readonly #now: () => number
  readonly #proposals = new Map<number, Waiter<ProposalOutcome>>()
  readonly #entries = new Map<LogIndex, PendingEntry>()
  readonly #reads = new Map<number, Waiter<Result<void, Failure>>>()
  #state: ControlState = emptyState()
  #appliedIndex = 0
  #nextId = 1
  #timer: NodeJS.Timeout | undefined
  #currentRead: Promise<Result<void, Failure>> | undefined
  #nextRead: Promise<Result<void, Failure>> | undefined
  #resolveTransfer: (() => void) | undefined
  #inputs: Input[] = []
  #stepping = false
  #stopped = false

  private constructor(options: ReplicaHostOptions, state: ControlState, index: number) {
    const { replica, node, random, stored, bootstrap, limits } = options
    this.#options = options
    this.#state = state
    this.#appliedIndex = index
    this.#now = options.now ?? (() => performance.now())
    const replicaOptions = { replica, node, random, stored, bootstrap, now: this.#now() }
    this.#replica = new Replica({ ...replicaOptions, limits: { ...FAST_START_LIMITS, ...limits } })
  }

  /** Errors: `format-unknown`, `snapshot-damaged`. */
  static create(options: ReplicaHostOptions): Result<ReplicaHost, Failure> {
    const stored = options.stored.snapshot
    if (stored === undefined) return ok(new ReplicaHost(options, emptyState(), 0))
    return decodeSnapshot(stored.data).map((state) => new ReplicaHost(options, state, stored.index))
  }

  /** State after the last applied entry. Must not be modified by callers. */
  get state(): ControlState {
    return this.#state
  }

  status(): Status {
    return this.#replica.status()
  }

  /** Whether the state contains everything that was committed up to `ageMs` ago. */
  isCurrent(ageMs: number): boolean {
    return !this.#stopped && this.#now() - this.#replica.status().currentAt <= ageMs
  }

  /** Bootstraps a new cluster with this replica as its only member, unless it already has stored state. */
  bootstrapCluster(): void {
    this.#step({ kind: 'bootstrap' })
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#step({ kind: 'tick' })
    }, TICK_MS)
    this.#step({ kind: 'tick' })
  }

  /** Stops without notifying the other replicas; the storage closes once its writes are done. */
  async stop(): Promise<void> {
    this.#stopped = true
    clearInterval(this.#timer)
    for (const proposal of [...this.#proposals.keys()]) this.#endProposal(proposal, { kind: 'unknown' })
    for (const read of [...this.#reads.keys()]) this.#endRead(read, err(failure('noQuorum')))
    this.#resolveTransfer?.()
    await this.#options.storage.close()
  }

  receive(message: Message): void {
    this.#step({ kind: 'message', message })
  }

  propose(command: Command): Promise<ProposalOutcome> {
    const bytes = encodeCommand(command)
    const checked = decodeCommand(bytes)
    if (checked.isErr()) {
      // A command that exceeds the limits must not enter the log, because no replica could decode it.
      const rejection = failure('requestInvalid', checked.error.message)
      return Promise.resolve({ kind: 'failed', failure: rejection, leader: undefined })
    }
    return this.#startProposal((proposal) => ({ kind: 'propose', proposal, command: bytes }))
  }

  changeReplicaSet(change: ReplicaSetChange): Promise<ProposalOutcome> {
    return this.#startProposal((proposal) => ({ kind: 'change-replica-set', proposal, change }))
  }

  /**
   * Confirms with a majority that the local state is not stale. Concurrent calls share a round: a call that arrives
   * during a round waits for the next one, because the current round may have been confirmed before the call.
   */
  read(): Promise<Result<void, Failure>> {
    if (this.#currentRead === undefined) {
      const round = this.#startRead().finally(() => {
        this.#currentRead = undefined
      })
      this.#currentRead = round
      return round
    }
    this.#nextRead ??= this.#currentRead.then(() => {
      this.#nextRead = undefined
      return this.read()
    })
    return this.#nextRead
  }

  /** Transfers leadership; resolves when this replica is no longer the leader or after `timeoutMs`. */
  async transferLeadership(timeoutMs: number): Promise<void> {
    if (this.status().role !== 'leader' || this.status().replicas.length < 2) return
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs)
      this.#resolveTransfer = () => {
        clearTimeout(timer)
        resolve()
      }
      this.#step({ kind: 'transfer' })
    })
    this.#resolveTransfer = undefined
  }

  #startProposal(input: (proposal: number) => Input): Promise<ProposalOutcome> {
    if (this.#stopped) return Promise.resolve({ kind: 'failed', failure: failure('noQuorum'), leader: undefined })
    const proposal = this.#nextId
    this.#nextId += 1
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#endProposal(proposal, { kind: 'unknown' })
      }, RESULT_TIMEOUT_MS)
      this.#proposals.set(proposal, { resolve, timer })
      this.#step(input(proposal))
    })
  }

  #startRead(): Promise<Result<void, Failure>> {
    if (this.#stopped) return Promise.resolve(err(failure('noQuorum')))
    const read = this.#nextId
    this.#nextId += 1
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#endRead(read, err(failure('noQuorum')))
      }, RESULT_TIMEOUT_MS)
      this.#reads.set(read, { resolve, timer })
      this.#step({ kind: 'read', read, mode: 'quorum' })
    })
  }

  /**
   * Inputs produced while outputs are executed are queued until all outputs are done, which preserves their order. After
   * an unexpected error the state may be wrong, so the replica fails instead of taking further inputs.
   */
  #step(input: Input): void {
    this.#inputs.push(input)
    if (this.#stepping) return
    this.#stepping = true
    try {
      for (let next = this.#inputs.shift(); next !== undefined; next = this.#inputs.shift()) {
        if (this.#stopped) continue
        for (const output of this.#replica.step(next, this.#now())) this.#execute(output)
      }
    } catch (cause) {
      this.#failFatally(failure('replicaFailed', errorMessage(cause)))
    } finally {
      this.#stepping = false
    }
  }

  #execute(output: Output): void {
    switch (output.kind) {
      case 'persist':
        void this.#persist(output.persist, output.records)
        break
      case 'send':
        this.#options.send(output.message)
        break
      case 'apply':
        this.#apply(output.entries)
        break
      case 'restore':
        this.#restore(output.snapshot)
        break
      case 'take-snapshot':
        void this.#takeSnapshot(output.position)
        break
      case 'accepted':
        this.#trackProposal(output.index, { term: output.term, proposal: output.proposal })
        break
      case 'rejected':
        this.#endProposal(output.proposal, { kind: 'failed', failure: output.failure, leader: output.leader })
        break
      case 'read-ready':
        this.#endRead(output.read, ok())
        break
      case 'read-failed':
        this.#endRead(output.read, err(output.failure))
        break
      case 'role':
        if (output.role !== 'leader') this.#lostLeadership()
        this.#options.onRoleChange(output.role, output.leader, output.term)
        break
      case 'transfer-failed':
        this.#resolveTransfer?.()
        break
    }
  }

  /**
   * The next leader decides whether the accepted proposals are committed, so the waiting requests must be retried
   * there.
   */
  #lostLeadership(): void {
    this.#resolveTransfer?.()
    for (const { proposal } of [...this.#entries.values()]) this.#endProposal(proposal, { kind: 'unknown' })
  }

  #trackProposal(index: LogIndex, pending: PendingEntry): void {
    const replaced = this.#entries.get(index)
    if (replaced !== undefined) this.#endProposal(replaced.proposal, { kind: 'unknown' })
    this.#entries.set(index, pending)
  }

  async #persist(persist: number, records: Parameters<ReplicaStorage['persist']>[0]): Promise<void> {
    const start = performance.now()
    const result = await this.#options.storage.persist(records)
    this.#options.onSynced?.(performance.now() - start)
    if (result.isErr()) this.#failFatally(result.error)
    else this.#step({ kind: 'persisted', persist })
  }

  async #takeSnapshot(position: SnapshotPosition): Promise<void> {
    const taken: Snapshot = { ...position, data: encodeSnapshot(this.#state) }
    const result = await this.#options.storage.saveSnapshot(taken)
    if (result.isErr()) this.#failFatally(result.error)
    else this.#step({ kind: 'snapshot-taken', snapshot: taken })
  }

  #apply(entries: readonly Entry[]): void {
    const commands: Command[] = []
    for (const entry of entries) {
      this.#appliedIndex = entry.index
      const applied = this.#applyEntry(entry, commands)
      if (applied === undefined) return
      this.#resolveProposal(entry, applied)
    }
    this.#options.onApplied(commands)
  }

  #applyEntry(entry: Entry, commands: Command[]): CommandResult | undefined {
    if (entry.kind === 'no-op') return { kind: 'recorded' }
    if (entry.kind === 'replica-set') {
      applyReplicaSet(this.#state, entry.replicas)
      return { kind: 'recorded' }
    }
    const command = decodeCommand(entry.command)
    if (command.isErr()) {
      // Skipping the command would make this replica diverge from the others.
      this.#failFatally(command.error)
      return undefined
    }
    commands.push(command.value)
    return applyCommand(this.#state, command.value).result
  }

  /** Completes the proposal at the index of the entry; it fails if an entry of another term was committed instead. */
  #resolveProposal(entry: Entry, applied: CommandResult): void {
    const pending = this.#entries.get(entry.index)
    if (pending === undefined) return
    this.#entries.delete(entry.index)
    const isCommitted = pending.term === entry.term
    const leader = this.status().leader
    const superseded: ProposalOutcome = {
      kind: 'failed',
      failure: failure('notLeader', 'leadership was taken over by another replica'),
      leader,
    }
    this.#endProposal(pending.proposal, isCommitted ? { kind: 'applied', applied } : superseded)
  }

  #restore(received: Snapshot): void {
    const restored = decodeSnapshot(received.data)
    if (restored.isErr()) {
      this.#failFatally(restored.error)
      return
    }
    this.#state = restored.value
    this.#appliedIndex = received.index
    for (const [index, pending] of this.#entries) {
      if (index > this.#appliedIndex) continue
      this.#entries.delete(index)
      this.#endProposal(pending.proposal, { kind: 'unknown' })
    }
    this.#options.onApplied([])
  }

  #endProposal(proposal: number, end: ProposalOutcome): void {
    const waiter = this.#proposals.get(proposal)
    if (waiter === undefined) return
    this.#proposals.delete(proposal)
    for (const [index, pending] of this.#entries) if (pending.proposal === proposal) this.#entries.delete(index)
    clearTimeout(waiter.timer)
    waiter.resolve(end)
  }

  #endRead(read: number, result: Result<void, Failure>): void {
    const waiter = this.#reads.get(read)
    if (waiter === undefined) return
    this.#reads.delete(read)
    clearTimeout(waiter.timer)
    waiter.resolve(result)
  }

  #failFatally(cause: Failure): void {
    if (this.#stopped) return
    this.#stopped = true
    clearInterval(this.#timer)
    for (const proposal of [...this.#proposals.keys()]) this.#endProposal(proposal, { kind: 'unknown' })
    for (const read of [...this.#reads.keys()]) this.#endRead(read, err(cause))
    this.#options.onFatal(cause)
  }
}
