/** Checks the guarantees of the log while a schedule runs, and throws at the first violation. */
import type { LogIndex, ReplicaId, Term } from '@bilberrystall/base'
import type { Entry, Message, Status } from '../../src/index'
import { majorityOf, votersOf } from '../../src/replica-set-history'
import type { Disk } from './disk'

export class Violation extends Error {}

interface Committed {
  readonly term: Term
  readonly fingerprint: number
  /** Digest of all entries up to this one. */
  readonly digest: number
}

export function commandOf(number: number): Uint8Array {
  return new Uint8Array([number >>> 24, number >>> 16, number >>> 8, number])
}

function numberOf(command: Uint8Array): number {
  return new DataView(command.buffer, command.byteOffset).getUint32(0)
}

function combineHashes(left: number, right: number): number {
  const mixed = Math.imul(left ^ right, 0x9e3779b1)
  return (mixed ^ (mixed >>> 15)) >>> 0
}

function fingerprint(entry: Entry): number {
  switch (entry.kind) {
    case 'no-op':
      return combineHashes(entry.term, 1)
    case 'command':
      return combineHashes(combineHashes(entry.term, 2), numberOf(entry.command))
    case 'replica-set':
      return entry.replicas.reduce<number>(
        (mixed, info) => combineHashes(mixed, info.replica.length * 2 + info.role.length),
        entry.term,
      )
  }
}

export class Checker {
  readonly #leaders = new Map<Term, ReplicaId>()
  readonly #committed: Committed[] = []
  readonly #accepted = new Map<string, number>()
  /** Highest index that a leader committed, and the term of that leader. */
  maxCommit = 0
  #commitTerm = 0
  reads = 0
  checksMessages = true

  get committedCount(): number {
    return this.#committed.length
  }

  checkLeader(replica: ReplicaId, status: Status): void {
    const other = this.#leaders.get(status.term)
    if (other !== undefined && other !== replica) this.#fail(`two leaders in term ${status.term}`)
    this.#leaders.set(status.term, replica)
    if (status.term > this.#commitTerm && status.lastIndex < this.maxCommit) {
      this.#fail(`leader of term ${status.term} lacks committed entry ${this.maxCommit}`)
    }
  }

  /** Called when the commit index of a leader advances: a majority of its voters must have the entry on disk. */
  checkCommit(status: Status, termOfEntry: Term, diskOf: (replica: ReplicaId) => Disk | undefined): void {
    const voters = votersOf(status.replicas)
    // A disk that was lost after it acknowledged the entry counts as a holder. It has no replica any more.
    const holders = voters.filter((voter) => diskOf(voter.replica)?.holds(status.commit, termOfEntry) !== false)
    if (holders.length < majorityOf(voters.length)) {
      this.#fail(`entry ${status.commit} committed with ${holders.length} of ${voters.length} synced copies`)
    }
    if (status.commit <= this.maxCommit) return
    this.maxCommit = status.commit
    this.#commitTerm = status.term
  }

  recordAccepted(index: LogIndex, term: Term, command: number): void {
    this.#accepted.set(`${term} ${index}`, command)
  }

  /** Checks an applied entry and returns the digest of all entries up to it. */
  checkApplied(entry: Entry, expected: number): number {
    if (entry.index !== expected) this.#fail(`entry ${entry.index} applied in place of ${expected}`)
    const entryFingerprint = fingerprint(entry)
    const known = this.#committed[entry.index - 1]
    if (known !== undefined) {
      if (known.term !== entry.term || known.fingerprint !== entryFingerprint)
        this.#fail(`committed entry ${entry.index} changed`)
      return known.digest
    }
    if (entry.index !== this.#committed.length + 1) this.#fail(`entry ${entry.index} applied after a gap`)
    this.#checkAccepted(entry)
    const digest = combineHashes(this.#committed.at(-1)?.digest ?? 0, entryFingerprint)
    this.#committed.push({ term: entry.term, fingerprint: entryFingerprint, digest })
    return digest
  }

  checkRestored(index: LogIndex, digest: number): void {
    if (this.#committed[index - 1]?.digest !== digest) this.#fail(`snapshot at ${index} differs from the log`)
  }

  checkRead(minimumIndex: number, index: number, applied: number): void {
    this.reads += 1
    if (index < minimumIndex) this.#fail(`stale read: ${index} confirmed, ${minimumIndex} was committed before`)
    if (applied < index) this.#fail(`read confirmed at ${index} before it was applied`)
  }

  checkPromotion(status: Status, termOfCommit: Term, learner: Disk | undefined): void {
    if (learner?.holds(status.commit, termOfCommit) === false) {
      this.#fail(`learner promoted without committed entry ${status.commit}`)
    }
  }

  /** A message must not depend on state that is not synced to the sender's disk. */
  checkSent(message: Message, disk: Disk): void {
    if (!this.checksMessages) return
    const ballot = disk.ballot
    const isPreVote = message.kind === 'pre-vote' || message.kind === 'pre-vote-response'
    if (!isPreVote && message.term > 0 && (ballot?.term ?? 0) < message.term) {
      this.#fail(`${message.kind} of term ${message.term} sent before the term was synced`)
    }
    if (message.kind === 'vote-response' && message.granted && ballot?.term === message.term) {
      if (ballot.votedFor !== message.to) this.#fail('vote sent before it was synced')
    }
    if (message.kind === 'append-response' && message.match > disk.lastIndex) {
      this.#fail(`entry ${message.match} acknowledged before it was synced`)
    }
  }

  #checkAccepted(entry: Entry): void {
    if (entry.kind !== 'command') return
    const accepted = this.#accepted.get(`${entry.term} ${entry.index}`)
    if (accepted !== numberOf(entry.command)) this.#fail(`entry ${entry.index} is not the command accepted there`)
  }

  #fail(reason: string): never {
    throw new Violation(reason)
  }
}
