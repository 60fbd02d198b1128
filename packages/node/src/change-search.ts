/**
 * Search for the leader with one request. The request goes to the control node that probably leads. While that does not
 * respond, further control nodes get it beside the first: a follower names the leader at once, a node that is silent
 * costs only the time until the next one is asked. A request that is not idempotent goes to one node at a time, and to
 * none after one that may have accepted it.
 */
import { failure, type NodeId } from '@bilberrystall/base'
import { encodeCommand, type Command } from '@bilberrystall/control'
import {
  isAcknowledgedCommand,
  type AttemptOutcome,
  type AttemptReport,
  type Retry,
  type SubmitOutcome,
} from './change-outcome'
import type { LeaderMemory } from './leader-memory'

/** Time without a response after which the next control node is asked as well. */
const HEDGE_DELAY_MS = 150
/** The same while one of those that were asked is known to lead: it may be waiting for entries. */
const LEADER_HEDGE_DELAY_MS = 250
/** A larger request is given the time that it takes on a link of 1 Mbit/s. */
const LINK_BYTES_PER_MS = 128
/**
 * Time after which the next control node is asked when one names no other leader. It doubles with each of them: while there
 * is no leader, the requests of all nodes arrive at the same few replicas.
 */
const RETRY_DELAY_MS = 50
const MAX_RETRY_DELAY_MS = 200
/** Interval at which a change of the leader known to the replica of this node is looked for. */
const LEADER_POLL_INTERVAL_MS = 50

export interface ChangeSearchOptions {
  readonly command: Command
  /** Time after which the request is given up. */
  readonly limitMs: number
  readonly leaders: LeaderMemory
  /** Leader that the replica of this node knows. */
  readonly knownLeader: () => NodeId | undefined
  /** Control nodes, the preferred ones first; at least one. */
  readonly controlNodes: () => readonly NodeId[]
  readonly attempt: (target: NodeId, signal: AbortSignal) => Promise<AttemptOutcome>
  /** Replaces the connection to a node if that does not respond. */
  readonly checkSession: (target: NodeId) => void
}

export interface SearchResult {
  readonly outcome: SubmitOutcome
  readonly attempts: readonly AttemptReport[]
}

export class ChangeSearch {
  readonly #options: ChangeSearchOptions
  readonly #isIdempotent: boolean
  readonly #transferMs: number
  readonly #startedAt = performance.now()
  readonly #abort = new AbortController()
  /** Start of the attempts without a result. */
  readonly #pending = new Map<NodeId, number>()
  readonly #askedAt = new Map<NodeId, number>()
  readonly #reports: AttemptReport[] = []
  /** Attempts that ended without a result. */
  #fruitless = 0
  /** Whether the request may have taken effect. */
  #sent = false
  #outcome: SubmitOutcome | undefined
  #onAttemptEnded: () => void = () => undefined

  constructor(options: ChangeSearchOptions) {
    this.#options = options
    this.#isIdempotent = isAcknowledgedCommand(options.command)
    this.#transferMs = encodeCommand(options.command).byteLength / LINK_BYTES_PER_MS
  }

  async run(): Promise<SearchResult> {
    const giveUpAt = this.#startedAt + this.#options.limitMs
    while (this.#outcome === undefined && performance.now() < giveUpAt) {
      const target = this.#nextTarget()
      if (target === undefined)
        await this.#attemptEnded(Math.min(LEADER_POLL_INTERVAL_MS, giveUpAt - performance.now()))
      else this.#start(target)
    }
    this.#abort.abort()
    this.#reportPending()
    return { outcome: this.#outcome ?? this.#failure(), attempts: this.#reports }
  }

  #failure(): SubmitOutcome {
    const isUnknown = this.#sent || this.#pending.size > 0
    return isUnknown ? { kind: 'unknown' } : { kind: 'failed', failure: failure('noQuorum') }
  }

  /** Returns the node to ask now; undefined while none is due. */
  #nextTarget(): NodeId | undefined {
    const now = performance.now()
    const retryDelayMs = Math.min(RETRY_DELAY_MS * 2 ** (this.#fruitless - 1), MAX_RETRY_DELAY_MS)
    const isDue = (node: NodeId) => !this.#pending.has(node) && now - this.#lastAskedAt(node) >= retryDelayMs
    if (!this.#isIdempotent && this.#pending.size > 0) {
      if (this.#isLeaderReplaced()) this.#outcome = { kind: 'unknown' }
      return undefined
    }
    const leader = this.#leader()
    if (leader !== undefined && isDue(leader)) return leader
    const nextAt = this.#pending.size > 0 ? this.#hedgeAt() : this.#newestStart() + retryDelayMs
    if (now < nextAt) return undefined
    const nodes = this.#options.leaders.rank(this.#options.controlNodes()).filter(isDue)
    return nodes.toSorted((left, right) => this.#lastAskedAt(left) - this.#lastAskedAt(right))[0]
  }

  /** The node that probably leads, unless it has not responded lately. */
  #leader(): NodeId | undefined {
    const { leaders, knownLeader } = this.#options
    const known = knownLeader()
    return known === undefined || leaders.isSilent(known) ? leaders.leader : known
  }

  /** A frozen leader never responds, and a request that it may have accepted must not go to its successor. */
  #isLeaderReplaced(): boolean {
    const known = this.#options.knownLeader()
    return known !== undefined && !this.#pending.has(known)
  }

  #hedgeAt(): number {
    const leader = this.#leader()
    const waitsForLeader = leader !== undefined && this.#pending.has(leader)
    const delayMs = waitsForLeader ? LEADER_HEDGE_DELAY_MS : HEDGE_DELAY_MS
    return this.#newestStart() + delayMs + this.#transferMs
  }

  #newestStart(): number {
    return Math.max(...this.#askedAt.values())
  }

  #lastAskedAt(node: NodeId): number {
    return this.#askedAt.get(node) ?? Number.NEGATIVE_INFINITY
  }

  #start(target: NodeId): void {
    for (const waiting of this.#pending.keys()) this.#options.checkSession(waiting)
    const now = performance.now()
    this.#askedAt.set(target, now)
    this.#pending.set(target, now)
    void this.#options.attempt(target, this.#abort.signal).then((result) => {
      if (!this.#abort.signal.aborted) this.#end(target, result)
    })
  }

  #end(target: NodeId, result: AttemptOutcome): void {
    const { leaders } = this.#options
    this.#report(target, attemptResult(result))
    this.#pending.delete(target)
    switch (result.kind) {
      case 'retry':
        this.#fruitless += 1
        this.#learn(target, result)
        this.#sent ||= result.sent
        break
      case 'unknown':
        this.#sent = true
        break
      case 'change':
      case 'recorded':
        leaders.leads(target)
        this.#outcome = result
        break
      case 'failed':
        this.#outcome = result
        break
    }
    if (this.#sent && !this.#isIdempotent) this.#outcome ??= { kind: 'unknown' }
    this.#onAttemptEnded()
  }

  #learn(target: NodeId, { reason, leader }: Retry): void {
    const { leaders } = this.#options
    const isSilent = reason === 'no-response' || reason === 'address-unknown'
    if (isSilent) leaders.doesNotRespond(target)
    else leaders.doesNotLead(target)
    if (leader !== undefined && leader !== target) leaders.isNamed(leader)
  }

  /** Nodes that others name as the leader may only be slow; the others that have not responded are asked last next time. */
  #reportPending(): void {
    const { leaders } = this.#options
    for (const [target, startedAt] of this.#pending) {
      const isOverdue = performance.now() - startedAt >= HEDGE_DELAY_MS + this.#transferMs
      if (isOverdue && target !== leaders.leader) leaders.doesNotRespond(target)
      this.#report(target, 'pending')
    }
  }

  #report(node: NodeId, result: AttemptReport['result']): void {
    const startedAt = this.#pending.get(node) ?? this.#startedAt
    const endedMs = performance.now() - this.#startedAt
    this.#reports.push({ node, startedMs: startedAt - this.#startedAt, endedMs, result })
  }

  #attemptEnded(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, limitMs))
      this.#onAttemptEnded = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }
}

function attemptResult(attempt: AttemptOutcome): AttemptReport['result'] {
  if (attempt.kind === 'retry') return attempt.reason
  return attempt.kind === 'unknown' ? 'unknown' : 'settled'
}
