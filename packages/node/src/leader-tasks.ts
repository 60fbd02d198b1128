/**
 * Periodic tasks of the leader: updates the roster to match the live entries, seals or voids pending rosters, and
 * replaces lost replicas by one change of the replica set at a time.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { FailureDomain, NodeId } from '@bilberrystall/base'
import { planRepair, type RepairNode, type ReplicaSetChange, type Status } from '@bilberrystall/consensus'
import { rosterDecision, type RosterEntry } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import { replicaIdOf } from './replica-storage'
import type { ProposalOutcome, ReplicaHost } from './control-replica'

const INTERVAL_MS = 1_000
/** A new entry joins the roster after this delay, so that entries that start together share one epoch. */
const JOIN_DELAY_MS = 2_000
/** A new leader waits this long for the clock of an entry before it decides on rosters. */
const ENTRY_CLOCK_WAIT_MS = 5_000
/**
 * Time for which an entry waits for others that still join. An epoch takes effect 90 s after its proposal and the next
 * one is proposed only then, so an entry that starts a second too late would be left out for 90 s.
 */
const MAX_JOIN_DELAY_MS = 10_000
/**
 * An entry leaves the roster after this time without contact: a restart must not change the holders, and a majority of
 * holders works without it.
 */
const LEAVE_DELAY_MS = 60_000
/** Five replicas tolerate two simultaneous losses; more would slow down every change. */
const MAX_REPLICAS = 5
/** A rejected change of the replica set is retried for about a second. */
const MAX_CHANGE_ATTEMPTS = 20
const CHANGE_RETRY_DELAY_MS = 50
/** A replica is considered lost after this time without contact. */
export const LOST_AFTER_MS = 60_000

export interface LeaderTasksOptions {
  readonly host: Pick<ReplicaHost, 'status' | 'state' | 'propose' | 'changeReplicaSet' | 'transferLeadership'>
  readonly directory: { readonly nodes: ReadonlyMap<NodeId, Node> }
  /** Target number of voters. */
  readonly replicas: number
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Milliseconds since the Unix epoch. */
  readonly wallClock: () => number
  /** Wall clock that the entries state; undefined if none has. By default the own clock counts alone. */
  readonly entryClock?: () => number | undefined
  readonly lostAfterMs?: number
  readonly intervalMs?: number
  /** Called when a change of the replica set is committed. */
  readonly onReplicaSetChange: (change: ReplicaSetChange) => void
}

interface EntryObservation {
  entry: RosterEntry
  firstSeen: number
  lastSeen: number
}

export class LeaderTasks {
  readonly #options: LeaderTasksOptions
  readonly #observations = new Map<NodeId, EntryObservation>()
  readonly #failureDomains = new Map<NodeId, FailureDomain>()
  #timer: NodeJS.Timeout | undefined
  #running = false
  #leaderSince: number | undefined

  constructor(options: LeaderTasksOptions) {
    this.#options = options
  }

  start(): void {
    this.#timer = setInterval(() => void this.run(), this.#options.intervalMs ?? INTERVAL_MS)
  }

  stop(): void {
    clearInterval(this.#timer)
  }

  /** Runs all tasks once; skipped while the previous run is still waiting for the log. */
  async run(): Promise<void> {
    const isLeader = this.#options.host.status().role === 'leader'
    this.#observe()
    if (!isLeader) this.#leaderSince = undefined
    else this.#leaderSince ??= this.#options.now()
    if (!isLeader || this.#running) return
    this.#running = true
    try {
      if (this.#isClockKnown()) {
        await this.#resolvePendingRosters()
        await this.#updateRoster()
      }
      await this.#repair()
    } finally {
      this.#running = false
    }
  }

  #observe(): void {
    const { directory, now } = this.#options
    const at = now()
    for (const node of directory.nodes.values()) {
      this.#failureDomains.set(node.node, node.failureDomain)
      if (!node.roles.includes('entry') || node.state !== 'serving') continue
      const entry = { node: node.node, failureDomain: node.failureDomain }
      const known = this.#observations.get(node.node)
      this.#observations.set(node.node, { entry, firstSeen: known?.firstSeen ?? at, lastSeen: at })
    }
    for (const [node, observation] of this.#observations) {
      if (at - observation.lastSeen > LEAVE_DELAY_MS) this.#observations.delete(node)
    }
  }

  /** The first roster contradicts no other, so it needs no clock of an entry. Older entries do not state theirs. */
  #isClockKnown(): boolean {
    const { host, now, entryClock } = this.#options
    if (entryClock === undefined || entryClock() !== undefined || host.state.roster.length === 0) return true
    return now() - (this.#leaderSince ?? now()) >= ENTRY_CLOCK_WAIT_MS
  }

  /** Never behind the clocks of the entries: rosters must not take effect in their past. */
  #rosterClock(): number {
    const { wallClock, entryClock } = this.#options
    return Math.max(wallClock(), Math.floor(entryClock?.() ?? 0))
  }

  async #resolvePendingRosters(): Promise<void> {
    const { host } = this.#options
    for (const epoch of host.state.roster) {
      if (epoch.standing !== 'pending') continue
      const at = this.#rosterClock()
      await host.propose({ kind: rosterDecision(epoch, at), at, epoch: epoch.epoch })
    }
  }

  async #updateRoster(): Promise<void> {
    const { host, now } = this.#options
    const newest = host.state.roster.findLast((epoch) => epoch.standing !== 'void')
    const isWaiting =
      newest !== undefined && (newest.standing === 'pending' || newest.effectiveFrom > this.#rosterClock())
    if (isWaiting || this.#isJoining(newest?.entries ?? [], now())) return
    const entries = this.#desiredEntries(newest?.entries ?? [], now())
    if (entries.length === 0 || sameEntries(entries, newest?.entries ?? [])) return
    await host.propose({ kind: 'roster-propose', at: this.#rosterClock(), entries: [...entries] })
    await this.#resolvePendingRosters()
  }

  /** Whether entries outside the roster have been seen so recently that others may follow. */
  #isJoining(current: readonly RosterEntry[], at: number): boolean {
    const ages = [...this.#observations.values()]
      .filter(({ entry }) => !current.some(({ node }) => node === entry.node))
      .map(({ firstSeen }) => at - firstSeen)
    return ages.some((age) => age < JOIN_DELAY_MS) && Math.max(...ages) < MAX_JOIN_DELAY_MS
  }

  /**
   * Entries that have been live long enough to join, and roster entries that this leader has not yet seen absent for
   * long enough to remove.
   */
  #desiredEntries(current: readonly RosterEntry[], at: number): readonly RosterEntry[] {
    const joined = [...this.#observations.values()].filter(({ firstSeen }) => at - firstSeen >= JOIN_DELAY_MS)
    const desired = new Map(joined.map(({ entry }) => [entry.node, entry]))
    const leaderFor = at - (this.#leaderSince ?? at)
    for (const entry of current) {
      if (!desired.has(entry.node) && (this.#observations.has(entry.node) || leaderFor < LEAVE_DELAY_MS)) {
        desired.set(entry.node, entry)
      }
    }
    return [...desired.values()].toSorted((left, right) => (left.node < right.node ? -1 : 1))
  }

  async #repair(): Promise<void> {
    const { host, directory, now, wallClock, replicas, lostAfterMs = LOST_AFTER_MS, onReplicaSetChange } = this.#options
    const { replacing } = host.state
    const status = markAsLost(host.status(), replacing, now() - lostAfterMs)
    if (replacing.some((node) => node === status.node)) {
      await host.transferLeadership(INTERVAL_MS)
      return
    }
    const nodes = [...directory.nodes.values()].flatMap((node) => repairNode(node, replacing))
    const target = replicas >= MAX_REPLICAS ? MAX_REPLICAS : 3
    const plan = planRepair({
      status,
      nodes,
      failureDomains: this.#failureDomains,
      now: now(),
      target,
      lostAfter: lostAfterMs,
    })
    if (plan.none) return
    const change = plan.val
    const reason = describeReason(change, replacing)
    const { kind: action, replica } = change
    const recorded = await host.propose({ kind: 'replica-step', at: wallClock(), action, replica, reason })
    if (recorded.kind !== 'applied') return
    if (await this.#applyReplicaSetChange(change)) onReplicaSetChange(change)
  }

  /**
   * Retries, because the audit record of the change is itself a log entry that a learner must receive before promotion.
   */
  async #applyReplicaSetChange(change: ReplicaSetChange): Promise<boolean> {
    const { host } = this.#options
    for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt += 1) {
      const done: ProposalOutcome = await host.changeReplicaSet(change)
      if (done.kind !== 'failed') return done.kind === 'applied'
      if (host.status().role !== 'leader') return false
      await sleep(CHANGE_RETRY_DELAY_MS)
    }
    return false
  }
}

function repairNode(node: Node, replacing: readonly NodeId[]): RepairNode[] {
  const usable = node.roles.includes('control') && node.disk !== '' && node.state === 'serving'
  if (!usable || replacing.includes(node.node)) return []
  return [{ node: node.node, replica: replicaIdOf(node.node, node.disk), failureDomain: node.failureDomain }]
}

/** Marks replicas that an operator asked to replace as lost. */
function markAsLost(status: Status, replacing: readonly NodeId[], lostAt: number): Status {
  if (replacing.length === 0) return status
  const followers = status.followers.map((follower) => {
    return replacing.includes(follower.node) ? { ...follower, lastContact: lostAt } : follower
  })
  return { ...status, followers }
}

function describeReason(change: ReplicaSetChange, replacing: readonly NodeId[]): string {
  if (replacing.length > 0) return `replacement of ${replacing.join(', ')} asked for by an operator`
  return change.kind === 'remove' ? 'lost or beyond the wanted number' : 'too few replicas or unevenly placed'
}

function sameEntries(left: readonly RosterEntry[], right: readonly RosterEntry[]): boolean {
  if (left.length !== right.length) return false
  return left.every((entry) => {
    return right.some((other) => other.node === entry.node && other.failureDomain === entry.failureDomain)
  })
}
