/**
 * Faults injected around a correct replica, to show that the checker detects them. Each one wraps the replica of a
 * host, so that production code needs no switch for tests.
 */
import { Replica, type AppendMessage, type Input, type Output, type ReplicaOptions, type Status } from '../../src/index'
import type { Host, Stepper } from './cluster'

/** Delegates to a correct replica. Faults override `step`. */
class ReplicaWrapper implements Stepper {
  protected inner: Replica
  protected readonly options: ReplicaOptions
  protected readonly host: Host

  constructor(options: ReplicaOptions, host: Host) {
    this.inner = new Replica(options)
    this.options = options
    this.host = host
  }

  step(input: Input, now: number): Output[] {
    return this.inner.step(input, now)
  }

  status(): Status {
    return this.inner.status()
  }
}

/**
 * Reports a ballot as synced at once, so that the vote is sent before it is on disk. Entries are reported correctly.
 */
class UnsyncedVote extends ReplicaWrapper {
  readonly #unsynced = new Set<number>()

  override step(input: Input, now: number): Output[] {
    if (input.kind === 'persisted') this.#unsynced.delete(input.persist)
    const outputs = this.inner.step(input, now)
    for (const output of outputs) {
      if (output.kind !== 'persist') continue
      const isBallot = output.records.every((record) => record.kind === 'ballot')
      if (!isBallot || this.#unsynced.size > 0) this.#unsynced.add(output.persist)
      else outputs.push(...this.inner.step({ kind: 'persisted', persist: output.persist }, now))
    }
    return outputs
  }
}

/** Confirms reads with the local applied index whenever this replica considers itself leader. */
class UnconfirmedRead extends ReplicaWrapper {
  override step(input: Input, now: number): Output[] {
    const status = this.inner.status()
    if (input.kind !== 'read' || status.role !== 'leader') return this.inner.step(input, now)
    return [{ kind: 'read-ready', read: input.read, index: status.applied }]
  }
}

/** Truncates the log after the last entry of every append, even if a delayed append ends before committed entries. */
class Truncation extends ReplicaWrapper {
  override step(input: Input, now: number): Output[] {
    if (input.kind === 'message' && input.message.kind === 'append') this.#truncate(input.message, now)
    return this.inner.step(input, now)
  }

  #truncate(message: AppendMessage, now: number): void {
    const status = this.inner.status()
    const last = message.previousIndex + message.entries.length
    const shouldTruncate = message.entries.length > 0 && last < status.lastIndex && last > (status.snapshotIndex ?? 0)
    if (!shouldTruncate || message.term !== status.term) return
    const { disk } = this.host
    disk.entries = disk.entries.filter((entry) => entry.index <= last)
    this.host.applied = disk.snapshot?.index ?? 0
    this.inner = new Replica({ ...this.options, now, stored: disk.stored() })
  }
}

/** Reports every learner as caught up, and promotes it as if it had acknowledged every committed entry. */
class EarlyPromotion extends ReplicaWrapper {
  override status(): Status {
    const status = this.inner.status()
    return { ...status, followers: status.followers.map((follower) => ({ ...follower, caughtUp: true })) }
  }

  override step(input: Input, now: number): Output[] {
    if (input.kind !== 'change-replica-set' || input.change.kind !== 'promote') return this.inner.step(input, now)
    const status = this.inner.status()
    const response: Input = {
      kind: 'message',
      message: {
        kind: 'append-response',
        from: input.change.replica,
        to: status.replica,
        term: status.term,
        accepted: true,
        match: status.commit,
        hint: status.commit,
        round: 0,
        sentAt: now,
      },
    }
    return [...this.inner.step(response, now), ...this.inner.step(input, now)]
  }
}

/** A lease that is longer than the shortest election timeout, with an equally long majority timeout. */
function longLease(options: ReplicaOptions): Stepper {
  return new Replica({ ...options, limits: { ...options.limits, leaseDuration: 1_500, majorityTimeout: 1_500 } })
}

export const INJECTED_FAULTS = {
  longLease,
  unsyncedVote: (options: ReplicaOptions, host: Host) => new UnsyncedVote(options, host),
  unconfirmedRead: (options: ReplicaOptions, host: Host) => new UnconfirmedRead(options, host),
  truncation: (options: ReplicaOptions, host: Host) => new Truncation(options, host),
  earlyPromotion: (options: ReplicaOptions, host: Host) => new EarlyPromotion(options, host),
} satisfies Record<string, (options: ReplicaOptions, host: Host) => Stepper>
