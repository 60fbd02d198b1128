/**
 * State of one replica and the operations that all parts of the protocol share: recording state to persist, sending
 * messages and changing role. The parts (election, replication, snapshots, reads, transfer) are functions over this
 * state.
 */
import {
  failure,
  logIndex,
  randomInt,
  term,
  type CodeName,
  type Failure,
  type LogIndex,
  type NodeId,
  type RandomSource,
  type ReplicaId,
  type Term,
} from '@bilberrystall/base'
import { PersistenceTracker } from './persistence-tracker'
import type { ChangeReplicaSetInput } from './input'
import { totalBytes, Log } from './log'
import type { Entry, Message, ReplicaSetEntry, Snapshot, SnapshotChunkMessage, SnapshotPosition } from './message'
import { DEFAULT_LIMITS, type Limits, type ReplicaOptions, type StoredState } from './options'
import type { Output, Role } from './output'
import type { Progress } from './progress'
import { ReplicaSetHistory } from './replica-set-history'

export type Mode = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

export interface LeadershipTransfer {
  readonly target: ReplicaId
  readonly deadline: number
  sent: boolean
}

/** A promotion that waits until the learner has acknowledged every committed entry. */
export interface PendingPromotion {
  readonly input: ChangeReplicaSetInput
  readonly deadline: number
}

/** State that exists only while this replica is the leader. */
export interface LeaderState {
  readonly progress: Map<ReplicaId, Progress>
  /** Number of the latest read round. Append messages carry it and followers echo it in their responses. */
  round: number
  nextHeartbeatAt: number
  transfer: LeadershipTransfer | undefined
  promotion: PendingPromotion | undefined
  /** Snapshot that is being sent to followers. Released once no follower needs it. */
  snapshot: Snapshot | undefined
  /** Set once a transfer message was sent: another replica may then win an election before the lease expires. */
  leaseRevoked: boolean
  /** Size of the entries that are not applied yet, in bytes. */
  unappliedBytes: number
}

/** A read that the leader has accepted and not confirmed yet. */
export interface PendingRead {
  /** Number chosen by the host, or by the replica that sent the read request. */
  readonly read: number
  /** Replica that sent the read request. Undefined for a read of this replica's host. */
  readonly requester: ReplicaId | undefined
  readonly deadline: number
  /** Read round that a majority must confirm. */
  readonly round: number
}

/** A read of this replica's host that waits for the leader's confirmation, or until `index` is applied. */
export interface LocalRead {
  readonly read: number
  readonly deadline: number
  /** Index confirmed by the leader. Undefined until then. */
  index: LogIndex | undefined
  /** Leader that the last read request was sent to. */
  requestedLeader: ReplicaId | undefined
}

/** A snapshot of which some chunks have arrived. */
export interface IncomingSnapshot {
  readonly position: SnapshotPosition
  readonly size: number
  readonly leader: ReplicaId
  readonly chunks: Uint8Array[]
  received: number
}

/** Shortest delay before the first election, in milliseconds. Leaves time for the responses to a pre-vote or vote. */
const MIN_FIRST_ELECTION_DELAY_MS = 50

export class ReplicaCore {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly limits: Limits
  readonly random: RandomSource
  readonly log: Log
  readonly replicaSets: ReplicaSetHistory
  readonly persistence: PersistenceTracker
  now: number
  term: Term
  votedFor: ReplicaId | undefined
  mode: Mode = 'follower'
  leader: ReplicaId | undefined
  /** Replicas that granted a pre-vote or vote in the current election. */
  votes = new Set<ReplicaId>()
  leaderState: LeaderState | undefined
  commitIndex: LogIndex
  appliedIndex: LogIndex
  /** Newest snapshot on the local disk. Its data is not kept in memory. */
  snapshot: SnapshotPosition | undefined
  /** Size of the newest snapshot on the local disk, in bytes. */
  snapshotBytes: number
  /** Highest index at which the local log is known to match the log of the current term's leader. */
  matchedIndex: LogIndex = logIndex(0)
  /** Probe fields of the last append whose response is delayed until its entries are synced. */
  unansweredProbe: { readonly round: number; readonly sentAt: number } | undefined
  incomingSnapshot: IncomingSnapshot | undefined
  /** Last chunk of the snapshot that is being synced, without its data. Answered once the snapshot is on disk. */
  installingChunk: SnapshotChunkMessage | undefined
  /** Index of the snapshot that was requested from the host and not taken yet. */
  requestedSnapshotIndex: LogIndex | undefined
  electionDeadline = 0
  /** Time of the last message from a leader. */
  lastLeaderContact: number
  /** Commit index in the last append received from a leader, and the time of its receipt. */
  lastLeaderCommit: { readonly commitIndex: LogIndex; readonly at: number } | undefined
  pendingReads: PendingRead[] = []
  localReads = new Map<number, LocalRead>()
  localReadCounter: number
  #outputs: Output[] = []
  #lastRoleKey = ''

  constructor(options: ReplicaOptions) {
    const stored = initialState(options)
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
    this.commitIndex = snapshot?.index ?? logIndex(0)
    this.appliedIndex = this.commitIndex
    this.log = restoreLog(stored)
    this.replicaSets = new ReplicaSetHistory(this.commitIndex, snapshot?.replicas ?? [])
    this.replicaSets.appendEntries(this.log.range(this.commitIndex + 1, this.log.lastIndex))
    this.persistence = new PersistenceTracker(this.log.lastIndex)
    // A leader's lease relies on voters that refuse other candidates for a while after its last message. A restart
    // loses the time of that message, so the replica refuses pre-votes for `startupVoteDelay` instead.
    this.lastLeaderContact = options.now - this.limits.minElectionTimeout + this.limits.startupVoteDelay
    // A random start keeps late responses to read requests of an earlier process from matching reads of this one.
    this.localReadCounter = randomInt(options.random, 2 ** 48)
    this.resetElectionTimer()
    if (stored !== options.stored && options.bootstrap === true) this.#recordBootstrap()
    if (this.isSoleVoter()) this.electionDeadline = this.now
    this.#lastRoleKey = this.#roleKey()
  }

  isVoter(): boolean {
    return this.replicaSets.roleOf(this.replica) === 'voter'
  }

  isSoleVoter(): boolean {
    return this.replicaSets.voters.length === 1 && this.isVoter()
  }

  role(): Role {
    if (this.mode === 'leader') return 'leader'
    if (this.mode !== 'follower') return 'candidate'
    const role = this.replicaSets.roleOf(this.replica)
    if (role === undefined) return 'idle'
    return role === 'voter' ? 'follower' : 'learner'
  }

  /** Whether a record has been waiting for its sync for longer than the limit. */
  isDiskStuck(): boolean {
    const { pendingSince } = this.persistence
    return pendingSince !== undefined && this.now - pendingSince > this.limits.syncTimeout
  }

  /** Whether a leader was active within the shortest election timeout. */
  hasRecentLeader(): boolean {
    return this.mode === 'leader' || this.now - this.lastLeaderContact < this.limits.minElectionTimeout
  }

  /** Whether a log with the given last entry is at least as up to date as the local log. */
  isUpToDate(lastIndex: LogIndex, lastTerm: Term): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm
    return lastIndex >= this.log.lastIndex
  }

  resetElectionTimer(): void {
    const { firstElection, minElectionTimeout } = this.limits
    // Before the first contact with a leader the peers may not be reachable yet, so the next attempt follows soon.
    if (this.lastLeaderCommit === undefined && this.mode !== 'leader' && firstElection < minElectionTimeout) {
      this.electionDeadline = this.now + MIN_FIRST_ELECTION_DELAY_MS + randomInt(this.random, firstElection)
      return
    }
    const span = this.limits.maxElectionTimeout - this.limits.minElectionTimeout + 1
    this.electionDeadline = this.now + this.limits.minElectionTimeout + randomInt(this.random, span)
  }

  setBallot(newTerm: Term, votedFor: ReplicaId | undefined): void {
    if (newTerm !== this.term) {
      this.matchedIndex = logIndex(0)
      this.unansweredProbe = undefined
      this.installingChunk = undefined
    }
    this.term = newTerm
    this.votedFor = votedFor
    this.persistence.record({ kind: 'ballot', ballot: { term: newTerm, votedFor } })
  }

  /** Appends entries to the log in memory and records them to be persisted. */
  appendEntries(entries: readonly Entry[]): void {
    this.log.appendEntries(entries)
    this.replicaSets.appendEntries(entries)
    this.persistence.record({ kind: 'append', entries })
    if (this.leaderState !== undefined) this.leaderState.unappliedBytes += totalBytes(entries)
  }

  /** Bootstraps a cluster with this replica as its only voter. Has no effect if the replica has a log, term or set. */
  bootstrap(): void {
    const isBlank = this.log.lastIndex === 0 && this.term === 0 && this.replicaSets.current.length === 0
    if (!isBlank) return
    this.setBallot(term(1), undefined)
    this.appendEntries([bootstrapEntry(this)])
    this.electionDeadline = this.now
  }

  becomeFollower(newTerm: Term, leader: ReplicaId | undefined): void {
    if (newTerm > this.term) this.setBallot(newTerm, undefined)
    const leaderState = this.leaderState
    this.mode = 'follower'
    this.leader = leader
    this.leaderState = undefined
    this.votes.clear()
    this.resetElectionTimer()
    if (leaderState !== undefined) this.#failPending(leaderState)
  }

  emit(output: Output): void {
    this.#outputs.push(output)
  }

  /** Sends a message, or holds it until the ballot of the current term is synced. */
  send(message: Message): void {
    if (this.persistence.ballotSynced) this.emit({ kind: 'send', message })
    else this.persistence.hold(message)
  }

  /** Fields common to all messages to `to`. */
  envelope(to: ReplicaId): { from: ReplicaId; to: ReplicaId; term: Term } {
    return { from: this.replica, to, term: this.term }
  }

  rejectProposal(proposal: number, cause: Failure): void {
    const leader = this.leaderState?.transfer?.target ?? this.leader
    this.emit({ kind: 'rejected', proposal, failure: cause, leader })
  }

  failRead(read: number, code: CodeName): void {
    this.emit({ kind: 'read-failed', read, failure: failure(code), leader: this.leader })
  }

  /** Takes the outputs of this step. The records to persist come first. */
  takeOutputs(): Output[] {
    const persist = this.persistence.flush(this.now)
    const key = this.#roleKey()
    if (key !== this.#lastRoleKey) {
      this.#lastRoleKey = key
      this.emit({ kind: 'role', role: this.role(), term: this.term, leader: this.leader })
    }
    const outputs = this.#outputs
    this.#outputs = []
    return persist === undefined ? outputs : [persist, ...outputs]
  }

  #failPending({ promotion }: LeaderState): void {
    if (promotion !== undefined) this.rejectProposal(promotion.input.proposal, failure('notLeader'))
    for (const waiting of this.pendingReads) {
      if (waiting.requester === undefined) this.failRead(waiting.read, 'notLeader')
    }
    this.pendingReads = []
  }

  #recordBootstrap(): void {
    this.persistence.durableIndex = logIndex(0)
    this.persistence.record({ kind: 'ballot', ballot: { term: this.term, votedFor: this.votedFor } })
    this.persistence.record({ kind: 'append', entries: this.log.range(1, 1) })
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

/** Stored state, or the first entry of a new cluster if `bootstrap` is set and nothing is stored. */
function initialState(options: ReplicaOptions): StoredState {
  const stored = options.stored ?? {}
  if (options.bootstrap !== true || !isEmpty(stored)) return stored
  return { ballot: { term: term(1), votedFor: undefined }, entries: [bootstrapEntry(options)] }
}

function bootstrapEntry({ replica, node }: { readonly replica: ReplicaId; readonly node: NodeId }): ReplicaSetEntry {
  return { kind: 'replica-set', index: logIndex(1), term: term(1), replicas: [{ replica, node, role: 'voter' }] }
}

function restoreLog(stored: StoredState): Log {
  const entries = stored.entries ?? []
  const snapshot = stored.snapshot
  const first = entries[0]
  const log = new Log(snapshot?.index, snapshot?.term)
  if (first === undefined) return log
  if (first.index > log.lastIndex) log.appendEntries(entries)
  else {
    // The stored entries begin at or before the snapshot: the first one becomes the base position.
    log.reset(first.index, first.term)
    log.appendEntries(entries.slice(1))
  }
  // A crash during an install may leave the log that the snapshot replaces. A log that conflicts with the snapshot is
  // discarded.
  if (snapshot !== undefined && log.termAt(snapshot.index) !== snapshot.term) log.reset(snapshot.index, snapshot.term)
  return log
}
