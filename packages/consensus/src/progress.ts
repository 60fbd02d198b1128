/** What a leader knows of one other replica: position in the log, messages under way, last contact. */
import { logIndex, type LogIndex, type ReplicaId } from '@bilberrystall/base'
import type { Snapshot } from './message'

/**
 * `probe` sends one batch at a time until the logs are known to match, `replicate` pipelines batches, `snapshot` sends
 * chunks because the entries needed are no longer in the log.
 */
export type ProgressState = 'probe' | 'replicate' | 'snapshot'

export interface SnapshotTransfer {
  readonly snapshot: Snapshot
  offset: number
  sentAt: number
}

/** A removed replica is served until it holds the entry of its removal, or until a time limit. */
export interface Leaving {
  readonly index: LogIndex
  readonly until: number
}

export class Progress {
  readonly replica: ReplicaId
  state: ProgressState = 'probe'
  /** Highest index known to match and to be synced there. */
  match: LogIndex = logIndex(0)
  next: LogIndex
  /** Last index of each batch under way. */
  inFlight: number[] = []
  probeSent = false
  /** Receipt of the last message of this term, or the start of the leadership. */
  lastContact: number
  /** True once the replica answered in this term. */
  heard = false
  round = 0
  /** Sending time of the latest confirmed message, on the leader's clock. */
  confirmedAt = Number.NEGATIVE_INFINITY
  transfer: SnapshotTransfer | undefined
  leaving: Leaving | undefined
  /** Highest commit index sent to it. */
  commitSent: LogIndex = logIndex(0)

  constructor(replica: ReplicaId, next: LogIndex, now: number) {
    this.replica = replica
    this.next = next
    this.lastContact = now
  }

  contact(now: number, round: number, sentAt: number): void {
    this.lastContact = now
    this.heard = true
    this.round = Math.max(this.round, round)
    if (sentAt <= now) this.confirmedAt = Math.max(this.confirmedAt, sentAt)
  }

  matched(index: LogIndex): void {
    if (index > this.match) this.match = index
    if (this.next <= this.match) this.next = logIndex(this.match + 1)
    if (this.inFlight.length > 0) this.inFlight = this.inFlight.filter((last) => last > this.match)
  }

  probeFrom(next: LogIndex): void {
    this.state = 'probe'
    this.next = next
    this.inFlight = []
    this.probeSent = false
    this.transfer = undefined
  }

  replicateFrom(next: LogIndex): void {
    this.state = 'replicate'
    this.next = next
    this.inFlight = []
    this.probeSent = false
    this.transfer = undefined
  }
}
