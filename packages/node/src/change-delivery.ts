/**
 * Notifies the live entries of committed changes before the leader acknowledges them. A majority of replicas stores a
 * change, but an entry would ask for it only at its next poll, and in vain if the replicas are lost by then. A
 * notification is repeated until the entry has confirmed it or has left. A change waits for an entry up to the time
 * within which changes must be in force, counted from the first notification that the entry has not confirmed, so
 * repeated submissions and further changes do not extend the wait for a frozen entry.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Environment, NodeId } from '@bilberrystall/base'
import { documentInForce, type ControlState } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import type { ClusterView } from './control-views'

/** Time within which a change must be in force on every node. */
const CONFIRMATION_LIMIT_MS = 2_000
const RETRY_DELAY_MS = 100
/** Interval at which the directory is checked for entries that it did not contain. */
const JOIN_CHECK_INTERVAL_MS = 100
/** The same for an entry that no change waits for. */
const LATE_RETRY_DELAY_MS = 1_000

export interface ChangeDeliveryOptions {
  readonly self: NodeId
  readonly cluster: Pick<ClusterView, 'nodes' | 'startOf'>
  readonly clients: RpcClients
  readonly state: () => ControlState
  /** A replica that no longer leads stops to repeat notifications. */
  readonly isLeader: () => boolean
  /** Monotonic milliseconds. */
  readonly now: () => number
}

/** What an entry must have for a change to be in force there. */
export interface DeliveryPosition {
  /** Undefined if the change concerns the entries of every environment. */
  readonly environment: Environment | undefined
  readonly revision: number
  readonly departurePosition: number
}

export interface DeliveryReport {
  readonly entries: number
  /** Entries that did not confirm within the limit. */
  readonly unconfirmed: readonly NodeId[]
}

type NotificationResult = 'confirmed' | 'behind' | 'unable'

interface Peer {
  /** Start of the process that the state belongs to; undefined if the directory does not know it. */
  readonly start: number | undefined
  /** Newest state that the entry confirmed. */
  revision: number
  departurePosition: number
  /** Time of the first notification that the entry has not confirmed. */
  behindSince: number | undefined
  /** Whether notifications are being repeated. */
  notifying: boolean
  /** Whether no process listens at its address, or one of a build without notifications. */
  unable: boolean
  /** Time until which a peer that is unable is not notified again. */
  unableUntil: number
}

export class ChangeDelivery {
  readonly #options: ChangeDeliveryOptions
  readonly #peers = new Map<NodeId, Peer>()
  /** Entries that the directory of this process has contained. */
  readonly #joined = new Set<NodeId>()
  /** Resolves the promises of `#nextResult`. */
  #onResult: (() => void)[] = []
  #stopped = false

  constructor(options: ChangeDeliveryOptions) {
    this.#options = options
  }

  stop(): void {
    this.#stopped = true
    this.#reportResult()
  }

  /** Resolves when every entry that can confirm the change has done so, or has had the time to. */
  async deliver(position: DeliveryPosition): Promise<DeliveryReport> {
    const joined = this.#entriesOf(position.environment)
    for (const node of joined) this.#joined.add(node)
    const expected = this.#expectedEntries()
    this.#removeLostPeers(expected)
    const entries = [...joined, ...expected]
    const unconfirmed = () => entries.filter((node) => !isReached(this.#peer(node), position))
    for (;;) {
      for (const node of unconfirmed()) this.#startNotifying(node)
      const remaining = unconfirmed().map((node) => this.#remainingMs(node))
      const next = Math.max(0, ...remaining)
      if (next === 0) return { entries: entries.length, unconfirmed: unconfirmed().sort() }
      const waitMs = Math.min(...remaining.filter((ms) => ms > 0))
      await this.#nextResult(expected.length > 0 ? Math.min(waitMs, JOIN_CHECK_INTERVAL_MS) : waitMs)
    }
  }

  /**
   * Entries of the roster that have not joined since this process started. A leader that has just started knows few
   * entries, and those that it does not know may serve with an older document.
   */
  #expectedEntries(): NodeId[] {
    const newest = this.#options.state().roster.findLast(({ standing }) => standing !== 'void')
    const nodes = (newest?.entries ?? []).map(({ node }) => node)
    return nodes.filter((node) => node !== this.#options.self && !this.#joined.has(node))
  }

  #startNotifying(node: NodeId): void {
    const peer = this.#peer(node)
    peer.behindSince ??= this.#options.now()
    if (!this.#options.cluster.nodes.has(node)) return
    this.#joined.add(node)
    void this.#keepNotifying(node)
  }

  async #keepNotifying(node: NodeId): Promise<void> {
    const peer = this.#peer(node)
    if (peer.notifying || this.#options.now() < peer.unableUntil) return
    peer.notifying = true
    peer.unable = false
    for (;;) {
      const entry = this.#options.cluster.nodes.get(node)
      if (this.#stopped || entry === undefined || this.#peer(node) !== peer) break
      const target = this.#committed(entry)
      const isWaitedFor = this.#remainingMs(node) > 0
      if (isReached(peer, target) || !(isWaitedFor || this.#options.isLeader())) break
      const result = await this.#notify(entry, peer, target)
      if (result === 'confirmed') peer.behindSince = undefined
      peer.unable = result === 'unable'
      if (peer.unable) peer.unableUntil = this.#options.now() + RETRY_DELAY_MS
      this.#reportResult()
      if (peer.unable) break
      if (result === 'behind') await sleep(isWaitedFor ? RETRY_DELAY_MS : LATE_RETRY_DELAY_MS)
    }
    peer.notifying = false
    this.#reportResult()
  }

  async #notify(entry: Node, peer: Peer, target: DeliveryPosition): Promise<NotificationResult> {
    const { clients, self, now } = this.#options
    const request = {
      environment: entry.environment,
      revision: BigInt(target.revision),
      departurePosition: BigInt(target.departurePosition),
      node: self,
      address: this.#options.cluster.nodes.get(self)?.address ?? '',
    }
    peer.behindSince ??= now()
    try {
      const options = { timeoutMs: CONFIRMATION_LIMIT_MS }
      const response = await clients.client(DeliveryService, entry.address).notify(request, options)
      peer.revision = Number(response.revision)
      peer.departurePosition = Number(response.departurePosition)
      return isReached(peer, target) ? 'confirmed' : 'behind'
    } catch (cause) {
      return isUnable(ConnectError.from(cause)) ? 'unable' : 'behind'
    }
  }

  /** Time for which a change still waits for an entry that has not confirmed it. */
  #remainingMs(node: NodeId): number {
    const peer = this.#peer(node)
    const isLost = this.#joined.has(node) && !this.#options.cluster.nodes.has(node)
    if (this.#stopped || peer.unable || isLost) return 0
    const since = peer.behindSince ?? this.#options.now()
    return Math.max(0, since + CONFIRMATION_LIMIT_MS - this.#options.now())
  }

  #nextResult(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs)
      this.#onResult.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  #reportResult(): void {
    for (const resolve of this.#onResult.splice(0)) resolve()
  }

  #committed({ environment }: Node): DeliveryPosition {
    const state = this.#options.state()
    const revision = documentInForce(state, environment)?.revision ?? 0
    return { environment, revision, departurePosition: state.departurePosition }
  }

  #entriesOf(environment: Environment | undefined): NodeId[] {
    const { cluster, self } = this.#options
    return [...cluster.nodes.values()]
      .filter(({ node, roles }) => node !== self && roles.includes('entry'))
      .filter((entry) => environment === undefined || entry.environment === environment)
      .map(({ node }) => node)
  }

  /** A process that replaced another one has confirmed nothing. */
  #peer(node: NodeId): Peer {
    const start = this.#options.cluster.startOf?.(node)
    const known = this.#peers.get(node)
    if (known !== undefined && known.start === start) return known
    const behindSince = known?.start === undefined ? known?.behindSince : undefined
    const peer: Peer = {
      start,
      revision: -1,
      departurePosition: -1,
      behindSince,
      notifying: false,
      unable: false,
      unableUntil: 0,
    }
    this.#peers.set(node, peer)
    return peer
  }

  #removeLostPeers(expected: readonly NodeId[]): void {
    for (const node of this.#peers.keys()) {
      if (!this.#options.cluster.nodes.has(node) && !expected.includes(node)) this.#peers.delete(node)
    }
  }
}

function isReached(peer: Peer, { revision, departurePosition }: DeliveryPosition): boolean {
  return peer.revision >= revision && peer.departurePosition >= departurePosition
}

/** Where no process listens, no entry serves with an older state, and a process that starts reads from a majority. */
function isUnable({ code, cause }: ConnectError): boolean {
  return code === Code.Unimplemented || (cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED')
}
