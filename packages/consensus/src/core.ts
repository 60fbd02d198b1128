/**
 * State of one replica and the operations that every part of the protocol shares: recording what must be synced, sending,
 * and changes of role. The parts (election, replication, snapshots, reads, transfer) are functions over this state.
 */
import {
  failure,
  logIndex,
  randomBelow,
  term,
  type CodeName,
  type Failure,
  type LogIndex,
  type NodeId,
  type Random,
  type ReplicaId,
  type Term,
} from '@bilberrystall/base'
import { Durability } from './durability'
import type { ChangeReplicaSetInput } from './input'
import { bytesOf, Log } from './log'
import type { Entry, Message, ReplicaSetEntry, Snapshot, SnapshotChunkMessage, SnapshotPosition } from './message'
import { DEFAULT_LIMITS, type Limits, type ReplicaOptions, type StoredState } from './options'
import type { Output, Role } from './output'
import type { Progress } from './progress'
import { ReplicaSets } from './replica-sets'

export type Mode = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

export interface Transfer {
  readonly target: ReplicaId
  readonly deadline: number
  sent: boolean
}

/** A promotion that waits until the learner has acknowledged the entries committed last. */
export interface Promotion {
  readonly input: ChangeReplicaSetInput
  readonly deadline: number
}

/** State that exists only while this replica leads. */
export interface Leadership {
  readonly progress: Map<ReplicaId, Progress>
  /** Number of the latest read round; heartbeats carry it and followers return it. */
  round: number
  heartbeatDue: number
  transfer: Transfer | undefined
  promotion: Promotion | undefined
  /** Snapshot that followers are receiving; dropped once none needs it. */
  snapshot: Snapshot | undefined
  /** After a transfer message was sent, another replica may win an election at any time, so the lease is void. */
  leaseVoid: boolean
  /** Bytes of entries that are not applied yet. */
  backlog: number
}

export interface WaitingRead {
  /** Number chosen by the host or by the asking replica. */
  readonly read: number
  /** Replica that asked, undefined for the own host. */
  readonly origin: ReplicaId | undefined
  readonly deadline: number
  /** Round that must be confirmed. */
  readonly round: number
}

/** A read of the own host that the leader is asked to confirm, or that waits until `index` is applied. */
export interface LocalRead {
  readonly read: number
  readonly deadline: number
  index: LogIndex | undefined
  /** Leader that was asked last. */
  asked: ReplicaId | undefined
}

export interface IncomingSnapshot {
  readonly position: SnapshotPosition
  readonly size: number
  readonly leader: ReplicaId
  readonly chunks: Uint8Array[]
  received: number
}

/** Time in ms for the responses to a pre-vote or vote. */
const FIRST_ELECTION_LEAST = 50

export class Core {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly limits: Limits
  readonly random: Random
  readonly log: Log
  readonly sets: ReplicaSets
  readonly disk: Durability
  now: number
  term: Term
  votedFor: ReplicaId | undefined
  mode: Mode = 'follower'
  leader: ReplicaId | undefined
  /** Replicas that granted a pre-vote or vote in the running election. */
  votes = new Set<ReplicaId>()
  lead: Leadership | undefined
  commit: LogIndex
  applied: LogIndex
  /** Newest snapshot on the own disk. Its data is not kept in memory. */
  snapshot: SnapshotPosition | undefined
  /** Size of the newest snapshot on the own disk. */
  snapshotBytes: number
  /** Highest index known to match the log of the leader of this term. */
  matched: LogIndex = logIndex(0)
  /** Probe of the last append whose response waits for a sync. */
  unanswered: { readonly round: number; readonly sentAt: number } | undefined
  incoming: IncomingSnapshot | undefined
  /** Last chunk of the snapshot that is being synced, without its data. */
  installing: SnapshotChunkMessage | undefined
  /** Index of the snapshot that the host is taking. */
  snapshotRequested: LogIndex | undefined
  electionDeadline = 0
  leaderContact: number
  /** Commit index in the last append of a leader, and the time of its receipt. */
  heard: { readonly commit: LogIndex; readonly at: number } | undefined
  waitingReads: WaitingRead[] = []
  localReads = new Map<number, LocalRead>()
  nextLocalRead: number
  #outputs: Output[] = []
  #shown = ''

  constructor(options: ReplicaOptions) {
    const stored = startingState(options)
    const snapshot = stored.snapshot
    this.replica = options.replica
    this.node = options.node
    this.random = options.random
    this.limits = { ...DEFAULT_LIMITS, ...options.limits }
    this.now = options.now
    this.term = stored.ballot?.term ?? term(0)
    this.votedFor = stored.ballot?.votedFor
    this.snapshot = snapshot === undefined ? undefined : positionOf(snapshot)
    this.snapshotBytes = snapshot?.data.byteLength ?? 0
    this.commit = snapshot?.index ?? logIndex(0)
    this.applied = this.commit
    this.log = restoredLog(stored)
    this.sets = new ReplicaSets(this.commit, snapshot?.replicas ?? [])
    this.sets.append(this.log.range(this.commit + 1, this.log.lastIndex))
    this.disk = new Durability(this.log.lastIndex)
    // The lease of a leader relies on voters that heard it; a restart forgets when that was.
    this.leaderContact = options.now - this.limits.electionMin + this.limits.startSilence
    // Responses to reads of an earlier process must not match reads of this one.
    this.nextLocalRead = randomBelow(options.random, 2 ** 48)
    this.resetElection()
    if (stored !== options.stored && options.bootstrap === true) this.#recordBootstrap()
    if (this.isSoleVoter()) this.electionDeadline = this.now
    this.#shown = this.#roleKey()
  }

  isVoter(): boolean {
    return this.sets.roleOf(this.replica) === 'voter'
  }

  isSoleVoter(): boolean {
    return this.sets.voters.length === 1 && this.isVoter()
  }

  role(): Role {
    if (this.mode === 'leader') return 'leader'
    if (this.mode !== 'follower') return 'candidate'
    const role = this.sets.roleOf(this.replica)
    if (role === undefined) return 'idle'
    return role === 'voter' ? 'follower' : 'learner'
  }

  /** True while a leader is known to have been active within the shortest election timeout. */
  heardLeader(): boolean {
    return this.mode === 'leader' || this.now - this.leaderContact < this.limits.electionMin
  }

  /** Whether a log that ends at the given position holds at least everything this log holds. */
  isUpToDate(lastIndex: LogIndex, lastTerm: Term): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm
    return lastIndex >= this.log.lastIndex
  }

  resetElection(): void {
    const { firstElection, electionMin } = this.limits
    // Before a leader was heard the peers may not have been reached yet, so the next try follows soon.
    if (this.heard === undefined && this.mode !== 'leader' && firstElection < electionMin) {
      this.electionDeadline = this.now + FIRST_ELECTION_LEAST + randomBelow(this.random, firstElection)
      return
    }
    const span = this.limits.electionMax - this.limits.electionMin + 1
    this.electionDeadline = this.now + this.limits.electionMin + randomBelow(this.random, span)
  }

  setBallot(newTerm: Term, votedFor: ReplicaId | undefined): void {
    if (newTerm !== this.term) {
      this.matched = logIndex(0)
      this.unanswered = undefined
      this.installing = undefined
    }
    this.term = newTerm
    this.votedFor = votedFor
    this.disk.record({ kind: 'ballot', ballot: { term: newTerm, votedFor } })
  }

  /** Appends to the log in memory and records the entries for the disk. */
  append(entries: readonly Entry[]): void {
    this.log.append(entries)
    this.sets.append(entries)
    this.disk.record({ kind: 'append', entries })
    if (this.lead !== undefined) this.lead.backlog += bytesOf(entries)
  }

  /** Starts a cluster with this replica as the only voter, unless it holds anything. */
  found(): void {
    const isBlank = this.log.lastIndex === 0 && this.term === 0 && this.sets.current.length === 0
    if (!isBlank) return
    this.setBallot(term(1), undefined)
    this.append([foundingEntry(this)])
    this.electionDeadline = this.now
  }

  becomeFollower(newTerm: Term, leader: ReplicaId | undefined): void {
    if (newTerm > this.term) this.setBallot(newTerm, undefined)
    const lead = this.lead
    this.mode = 'follower'
    this.leader = leader
    this.lead = undefined
    this.votes.clear()
    this.resetElection()
    if (lead !== undefined) this.#failWaiting(lead)
  }

  emit(output: Output): void {
    this.#outputs.push(output)
  }

  /** Sends once the ballot of the current term is synced. */
  send(message: Message): void {
    if (this.disk.ballotSynced) this.emit({ kind: 'send', message })
    else this.disk.hold(message)
  }

  /** Fields common to every message to `to`. */
  envelope(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: Term } {
    return { from: this.replica, to, term: this.term }
  }

  reject(proposal: number, cause: Failure): void {
    const leader = this.lead?.transfer?.target ?? this.leader
    this.emit({ kind: 'rejected', proposal, failure: cause, leader })
  }

  failRead(read: number, code: CodeName): void {
    this.emit({ kind: 'read-failed', read, failure: failure(code), leader: this.leader })
  }

  /** Outputs of this step; what must be stored comes first. */
  finish(): Output[] {
    const persist = this.disk.flush(this.now)
    const key = this.#roleKey()
    if (key !== this.#shown) {
      this.#shown = key
      this.emit({ kind: 'role', role: this.role(), term: this.term, leader: this.leader })
    }
    const outputs = this.#outputs
    this.#outputs = []
    return persist === undefined ? outputs : [persist, ...outputs]
  }

  #failWaiting({ promotion }: Leadership): void {
    if (promotion !== undefined) this.reject(promotion.input.proposal, failure('notLeader'))
    for (const waiting of this.waitingReads) {
      if (waiting.origin === undefined) this.failRead(waiting.read, 'notLeader')
    }
    this.waitingReads = []
  }

  #recordBootstrap(): void {
    this.disk.durable = logIndex(0)
    this.disk.record({ kind: 'ballot', ballot: { term: this.term, votedFor: this.votedFor } })
    this.disk.record({ kind: 'append', entries: this.log.range(1, 1) })
  }

  #roleKey(): string {
    return `${this.role()} ${this.term} ${this.leader ?? ''}`
  }
}

export function positionOf({ index, term: lastTerm, replicas }: SnapshotPosition): SnapshotPosition {
  return { index, term: lastTerm, replicas }
}

function isEmpty(stored: StoredState): boolean {
  return stored.ballot === undefined && stored.snapshot === undefined && (stored.entries ?? []).length === 0
}

/** Stored state, or the first entry of a new cluster when bootstrap is asked for and nothing is stored. */
function startingState(options: ReplicaOptions): StoredState {
  const stored = options.stored ?? {}
  if (options.bootstrap !== true || !isEmpty(stored)) return stored
  return { ballot: { term: term(1), votedFor: undefined }, entries: [foundingEntry(options)] }
}

function foundingEntry({ replica, node }: { readonly replica: ReplicaId; readonly node: NodeId }): ReplicaSetEntry {
  return { kind: 'replica-set', index: logIndex(1), term: term(1), replicas: [{ replica, node, role: 'voter' }] }
}

function restoredLog(stored: StoredState): Log {
  const entries = stored.entries ?? []
  const snapshot = stored.snapshot
  const first = entries[0]
  const log = new Log(snapshot?.index, snapshot?.term)
  if (first === undefined) return log
  if (first.index > log.lastIndex) log.append(entries)
  else {
    // Entries kept from before the snapshot: the first one serves as the base position.
    log.reset(first.index, first.term)
    log.append(entries.slice(1))
  }
  // A crash during an install may leave the log that the snapshot replaced; what contradicts the snapshot is void.
  if (snapshot !== undefined && log.termAt(snapshot.index) !== snapshot.term) log.reset(snapshot.index, snapshot.term)
  return log
}
