/**
 * One replica of the log as a state machine. The host passes inputs with the current time and executes the outputs in
 * order. The replica does no I/O and uses no clock or source of randomness other than those passed in.
 */
import { failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { ReplicaCore } from './replica-core'
import {
  countOwnVote,
  receivePreVote,
  receivePreVoteResponse,
  receiveVote,
  receiveVoteResponse,
  tickElection,
} from './election'
import type { Input } from './input'
import { totalBytes } from './log'
import { advanceCommit, hasMajorityContact } from './majority'
import type { Message } from './message'
import type { ReplicaOptions, StoredState } from './options'
import type { Output } from './output'
import { advancePromotion, changeReplicaSet, propose } from './proposals'
import { advanceReads, receiveReadRequest, receiveReadResponse, startRead } from './reads'
import { heartbeat, broadcastCommit, receiveAppend, receiveAppendResponse, respondAfterSync } from './replication'
import {
  receiveChunk,
  receiveSnapshotResponse,
  requestSnapshotIfDue,
  snapshotInstalled,
  snapshotTaken,
} from './snapshots'
import { statusOf, type Status } from './status'
import { advanceTransfer, receiveTransfer, sendTransfer, startTransfer } from './transfer'

export class Replica {
  readonly #core: ReplicaCore

  /** The stored state must be one that `checkStored` accepts. */
  constructor(options: ReplicaOptions) {
    this.#core = new ReplicaCore(options)
  }

  /** Processes one input. `now` is in milliseconds of a monotonic clock. */
  step(input: Input, now: number): Output[] {
    const core = this.#core
    core.now = Math.max(core.now, now)
    stepDownIfUnhealthy(core)
    handleInput(core, input)
    advanceState(core)
    return core.takeOutputs()
  }

  status(): Status {
    return statusOf(this.#core)
  }
}

/** Checks that stored entries are consecutive and leave no gap to the snapshot. Fails with `logDamaged`. */
export function checkStored(stored: StoredState): Result<void, Failure> {
  const entries = stored.entries ?? []
  let expected = entries[0]?.index ?? 0
  if (expected > (stored.snapshot?.index ?? 0) + 1)
    return err(failure('logDamaged', 'Entries before the start of the stored log are missing.'))
  for (const entry of entries) {
    if (entry.index !== expected) return err(failure('logDamaged', `The log has no entry ${expected}.`))
    expected = entry.index + 1
  }
  if (entries.length > 0 && expected <= (stored.snapshot?.index ?? 0)) {
    return err(failure('logDamaged', 'The stored log ends before the position of the snapshot.'))
  }
  return ok(undefined)
}

/**
 * A leader that lost contact with the majority, or whose disk does not sync, steps down before it handles the input.
 */
function stepDownIfUnhealthy(core: ReplicaCore): void {
  if (core.leaderState === undefined) return
  if (core.isDiskStuck() || !hasMajorityContact(core, core.leaderState)) core.becomeFollower(core.term, undefined)
}

function handleInput(core: ReplicaCore, input: Input): void {
  switch (input.kind) {
    case 'tick':
      tick(core)
      break
    case 'message':
      if (input.message.to === core.replica && input.message.from !== core.replica) receiveMessage(core, input.message)
      break
    case 'persisted':
      handlePersisted(core, input.persist)
      break
    case 'propose':
      propose(core, input)
      break
    case 'change-replica-set':
      changeReplicaSet(core, input)
      break
    case 'read':
      startRead(core, input)
      break
    case 'transfer':
      startTransfer(core, input.target)
      break
    case 'snapshot-taken':
      snapshotTaken(core, input.snapshot)
      break
    case 'bootstrap':
      core.bootstrap()
      break
  }
}

function tick(core: ReplicaCore): void {
  const leaderState = core.leaderState
  if (leaderState === undefined) {
    tickElection(core)
    return
  }
  if (core.now < leaderState.nextHeartbeatAt) return
  heartbeat(core, leaderState)
  sendTransfer(core)
}

function receiveMessage(core: ReplicaCore, message: Message): void {
  switch (message.kind) {
    case 'pre-vote':
      receivePreVote(core, message)
      break
    case 'pre-vote-response':
      receivePreVoteResponse(core, message)
      break
    case 'vote':
      receiveVote(core, message)
      break
    case 'vote-response':
      receiveVoteResponse(core, message)
      break
    case 'append':
      receiveAppend(core, message)
      break
    case 'append-response':
      receiveAppendResponse(core, message)
      break
    case 'snapshot-chunk':
      receiveChunk(core, message)
      break
    case 'snapshot-response':
      receiveSnapshotResponse(core, message)
      break
    case 'transfer':
      receiveTransfer(core, message)
      break
    case 'read-request':
      receiveReadRequest(core, message)
      break
    case 'read-response':
      receiveReadResponse(core, message)
      break
  }
}

function handlePersisted(core: ReplicaCore, persist: number): void {
  const previousDurableIndex = core.persistence.durableIndex
  const synced = core.persistence.markSynced(persist)
  for (const message of synced.messages) core.emit({ kind: 'send', message })
  for (const snapshot of synced.snapshots) snapshotInstalled(core, snapshot)
  countOwnVote(core)
  if (core.persistence.durableIndex > previousDurableIndex) respondAfterSync(core)
}

/** Advances everything the input may have unblocked: commit, promotion, apply, reads, transfer and snapshots. */
function advanceState(core: ReplicaCore): void {
  if (core.leaderState !== undefined && advanceCommit(core, core.leaderState)) {
    broadcastCommit(core)
    stepDownIfRemoved(core)
  }
  advancePromotion(core)
  applyCommitted(core)
  advanceReads(core)
  advanceTransfer(core)
  requestSnapshotIfDue(core)
}

/** A leader that is not a voter of its replica set leads until that set is committed, and then steps down. */
function stepDownIfRemoved(core: ReplicaCore): void {
  if (core.isVoter() || core.replicaSets.currentIndex > core.commitIndex) return
  core.becomeFollower(core.term, undefined)
}

/** Applies entries that are committed and synced locally, so the state machine is never ahead of the local disk. */
function applyCommitted(core: ReplicaCore): void {
  const through = Math.min(core.commitIndex, core.persistence.durableIndex)
  if (through <= core.appliedIndex) return
  const entries = core.log.range(core.appliedIndex + 1, through)
  const last = entries.at(-1)
  if (last === undefined) return
  core.appliedIndex = last.index
  if (core.leaderState !== undefined) core.leaderState.unappliedBytes -= totalBytes(entries)
  core.emit({ kind: 'apply', entries })
}
