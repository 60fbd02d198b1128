/** Progress of one follower as tracked by the leader: log position, messages in flight and last contact. */
import { logIndex, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { Snapshot } from './message'

/**
 * `probe` sends one batch at a time until a matching log position is found. `replicate` pipelines batches. `snapshot`
 * sends snapshot chunks, because the entries that the follower needs are no longer in the log.
 */
export type ProgressState = 'probe' | 'replicate' | 'snapshot'

export interface SnapshotTransfer {
  readonly snapshot: Snapshot
  offset: number
  sentAt: number
}

/** A removed replica receives messages until it has the entry of its removal, or until `until`. */
export interface RemovalNotice {
  readonly index: LogIndex
  readonly until: number
}

export class Progress {
  readonly replica: ReplicaId
  state: ProgressState = 'probe'
  /** Highest index known to match and to be synced at the follower. */
  match: LogIndex = logIndex(0)
  /** Index of the next entry to send. */
  next: LogIndex
  /** Last index of each batch in flight. */
  inFlight: number[] = []
  /** In state `probe`: a batch was sent and neither a response nor a heartbeat followed. */
  probeSent = false
  /** Time of its last message in this term, or of the leader's election. */
  lastContact: number
  /** Whether the follower has responded in this term. */
  hasResponded = false
  /** Highest read round that the follower has confirmed. */
  round = 0
  /** Time of sending of the latest message that the follower has answered, on the leader's clock. */
  confirmedAt = Number.NEGATIVE_INFINITY
  transfer: SnapshotTransfer | undefined
  removal: RemovalNotice | undefined
  /** Commit index in the last append sent to the follower. */
  lastSentCommit: LogIndex = logIndex(0)

  constructor(replica: ReplicaId, next: LogIndex, now: number) {
    this.replica = replica
    this.next = next
    this.lastContact = now
  }

  recordContact(now: number, round: number, sentAt: number): void {
    this.lastContact = now
    this.hasResponded = true
    this.round = Math.max(this.round, round)
    if (sentAt <= now) this.confirmedAt = Math.max(this.confirmedAt, sentAt)
  }

  advanceMatch(index: LogIndex): void {
    if (index > this.match) this.match = index
    if (this.next <= this.match) this.next = logIndex(this.match + 1)
    if (this.inFlight.length > 0) this.inFlight = this.inFlight.filter((last) => last > this.match)
  }

  startProbing(next: LogIndex): void {
    this.state = 'probe'
    this.next = next
    this.inFlight = []
    this.probeSent = false
    this.transfer = undefined
  }

  startReplicating(next: LogIndex): void {
    this.state = 'replicate'
    this.next = next
    this.inFlight = []
    this.probeSent = false
    this.transfer = undefined
  }
}
