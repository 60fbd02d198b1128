/**
 * Notifies the live entries of committed changes before the leader acknowledges them. A majority of replicas stores a
 * change, but an entry would ask for it only at its next poll, and in vain if the replicas are lost by then. A
 * notification is repeated until the entry has confirmed it or has left. A change waits for an entry up to the time
 * within which changes must be in force, counted from the first notification that the entry has not confirmed, so
 * repeated submissions and further changes do not extend the wait for a frozen entry. It waits no longer than that for all
 * entries together, however many restart meanwhile: a process that starts reads from a majority before it serves.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Environment, NodeId } from '@bilberrystall/base'
import { documentInForce, type ControlState } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import { DeliveryService, type NotifyResponse, type RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import { departuresAfter, encodeDocument } from './control-delivery'
import type { ClusterView } from './control-views'
import { RELAY_TIMEOUT_MS, notificationGroups, relayedPositions } from './notification-relay'

/** Time within which a change must be in force on every node. */
const CONFIRMATION_LIMIT_MS = 2_000
const RETRY_DELAY_MS = 100
/** The same for an entry that no change waits for. */
const LATE_RETRY_DELAY_MS = 1_000
/** Length of a document up to which notifications contain it; entries ask their replica for a larger one. */
const MAX_NOTIFIED_DOCUMENT = 8_192
const MAX_NOTIFIED_DEPARTURES = 64
/** Interval at which the directory is checked for entries that it did not contain. */
const JOIN_CHECK_INTERVAL_MS = 100
/** Time for which an operator may submit a change again that it got no response to. */
const START_RETENTION_MS = 30_000

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
  /** Absent if the change is no evacuation order. */
  readonly evacuationPosition?: number
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
  evacuationPosition: number
  /** Whether the process is of a build without evacuations, which no order waits for. */
  ignoresEvacuations: boolean
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
  /** Start of each delivery of the last seconds. */
  readonly #startedAt = new Map<string, number>()
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
    const limitAt = this.#startOf(position) + CONFIRMATION_LIMIT_MS
    for (const node of entries) {
      const peer = this.#peer(node)
      if (!isReached(peer, position)) peer.behindSince ??= this.#options.now()
    }
    this.#startNotifying()
    for (const node of entries) {
      for (;;) {
        const remainingMs = Math.min(limitAt - this.#options.now(), this.#remainingMs(node))
        if (isReached(this.#peer(node), position) || remainingMs <= 0) break
        await this.#nextResult(expected.length > 0 ? Math.min(remainingMs, JOIN_CHECK_INTERVAL_MS) : remainingMs)
      }
    }
    const unconfirmed = entries.filter((node) => !hasConfirmed(this.#peer(node), position))
    return { entries: entries.length, unconfirmed: unconfirmed.sort() }
  }

  /** Time at which this process began to deliver the change, which may be submitted again meanwhile. */
  #startOf({ environment, revision, departurePosition, evacuationPosition = 0 }: DeliveryPosition): number {
    const now = this.#options.now()
    const change = `${environment ?? ''} ${revision} ${departurePosition} ${evacuationPosition}`
    for (const [other, startedAt] of this.#startedAt) {
      if (startedAt + START_RETENTION_MS < now) this.#startedAt.delete(other)
    }
    const startedAt = this.#startedAt.get(change) ?? now
    this.#startedAt.set(change, startedAt)
    return startedAt
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

  /** Notifies the entries that lack what is committed, unless that is under way. */
  #startNotifying(): void {
    const now = this.#options.now()
    const entries = this.#otherEntries()
    const due = new Set<NodeId>()
    for (const entry of entries) {
      const peer = this.#peer(entry.node)
      if (peer.notifying || now < peer.unableUntil || isReached(peer, this.#committed(entry))) continue
      this.#joined.add(entry.node)
      peer.behindSince ??= now
      due.add(entry.node)
    }
    if (due.size === 0) return
    for (const group of notificationGroups(entries)) {
      const [first, ...others] = group.filter(({ node }) => due.has(node))
      if (first === undefined) continue
      if (others.length === 0) void this.#keepNotifying(first.node)
      else void this.#notifyGroup(first, others)
    }
  }

  /** Notifies the entries by way of the first one, and then those that have not confirmed. */
  async #notifyGroup(relay: Node, members: readonly Node[]): Promise<void> {
    const group = [relay, ...members]
    const peers = group.map(({ node }) => this.#peer(node))
    for (const peer of peers) peer.notifying = true
    const target = this.#committed(relay)
    const positions = await this.#notifyRelay(relay, members, target)
    const direct: NodeId[] = []
    for (const [index, { node }] of group.entries()) {
      const peer = peers[index]
      if (peer === undefined) continue
      peer.notifying = false
      const position = positions.get(node)
      if (position !== undefined) updatePosition(peer, position)
      if (isReached(peer, target)) peer.behindSince = undefined
      else if (this.#peer(node) === peer) direct.push(node)
    }
    for (const node of direct) void this.#keepNotifying(node)
    this.#reportResult()
  }

  async #notifyRelay(
    relay: Node,
    members: readonly Node[],
    target: DeliveryPosition,
  ): Promise<ReadonlyMap<NodeId, ConfirmedPosition>> {
    const request = {
      ...this.#notification([relay, ...members], target),
      members: members.map(({ node, address }) => ({ node, address })),
    }
    try {
      const options = { timeoutMs: RELAY_TIMEOUT_MS }
      const response = await this.#options.clients.client(DeliveryService, relay.address).notify(request, options)
      return new Map<NodeId, ConfirmedPosition>([[relay.node, response], ...relayedPositions(response.members)])
    } catch {
      return new Map()
    }
  }

  async #keepNotifying(node: NodeId): Promise<void> {
    const peer = this.#peer(node)
    if (peer.notifying) return
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
    const { clients, now } = this.#options
    peer.behindSince ??= now()
    try {
      const options = { timeoutMs: CONFIRMATION_LIMIT_MS }
      const notification = this.#notification([entry], target)
      const response = await clients.client(DeliveryService, entry.address).notify(notification, options)
      updatePosition(peer, response)
      // An entry applies the list of a notification before it responds, so one that has none knows no evacuations.
      peer.ignoresEvacuations = notification.evacuationPosition > 0n && peer.evacuationPosition === 0
      return isReached(peer, target) ? 'confirmed' : 'behind'
    } catch (cause) {
      return isUnable(ConnectError.from(cause)) ? 'unable' : 'behind'
    }
  }

  /** Notification of entries of the same environment, with what all of them lack as far as that is small. */
  #notification(entries: readonly [Node, ...Node[]], { revision, departurePosition }: DeliveryPosition) {
    const { self, cluster, state } = this.#options
    const [{ environment }] = entries
    const peers = entries.map(({ node }) => this.#peer(node))
    const document = documentInForce(state(), environment)
    const lacksDocument = peers.some((peer) => peer.revision < revision)
    const isDocumentSmall = document !== undefined && document.text.length <= MAX_NOTIFIED_DOCUMENT
    const departuresFrom = Math.min(...peers.map((peer) => peer.departurePosition))
    const departures = departuresFrom < 0 ? [] : departuresAfter(state(), departuresFrom)
    return {
      ...(lacksDocument && isDocumentSmall
        ? { document: encodeDocument({ environment, version: 0, ...document }) }
        : {}),
      departures: departures.length <= MAX_NOTIFIED_DEPARTURES ? departures : [],
      departuresAfter: BigInt(Math.max(0, departuresFrom)),
      // Always included: an entry that replaced the confirmed process would take a missing list for an empty one.
      evacuated: [...state().evacuations.keys()],
      evacuationPosition: BigInt(state().evacuationPosition),
      environment,
      revision: BigInt(revision),
      departurePosition: BigInt(departurePosition),
      node: self,
      address: cluster.nodes.get(self)?.address ?? '',
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
      const timer = setTimeout(() => {
        // Entries may have joined meanwhile.
        this.#startNotifying()
        resolve()
      }, limitMs)
      this.#onResult.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  #reportResult(): void {
    const waiting = this.#onResult.splice(0)
    if (waiting.length > 0) this.#startNotifying()
    for (const resolve of waiting) resolve()
  }

  #committed({ environment }: Node): DeliveryPosition {
    const state = this.#options.state()
    const revision = documentInForce(state, environment)?.revision ?? 0
    const { departurePosition, evacuationPosition } = state
    return { environment, revision, departurePosition, evacuationPosition }
  }

  #otherEntries(): Node[] {
    const { cluster, self } = this.#options
    return [...cluster.nodes.values()].filter(({ node, roles }) => node !== self && roles.includes('entry'))
  }

  #entriesOf(environment: Environment | undefined): NodeId[] {
    return this.#otherEntries()
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
      evacuationPosition: -1,
      ignoresEvacuations: false,
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

type ConfirmedPosition = Pick<NotifyResponse, 'revision' | 'departurePosition'> &
  Partial<Pick<NotifyResponse, 'evacuationPosition'>>

function updatePosition(peer: Peer, { revision, departurePosition, evacuationPosition = 0n }: ConfirmedPosition): void {
  peer.revision = Number(revision)
  peer.departurePosition = Number(departurePosition)
  peer.evacuationPosition = Number(evacuationPosition)
}

/** Whether nothing more can be done for the entry to have what is committed at the position. */
function isReached(peer: Peer, { revision, departurePosition, evacuationPosition = 0 }: DeliveryPosition): boolean {
  const hasEvacuations = peer.ignoresEvacuations || peer.evacuationPosition >= evacuationPosition
  return peer.revision >= revision && peer.departurePosition >= departurePosition && hasEvacuations
}

function hasConfirmed(peer: Peer, position: DeliveryPosition): boolean {
  const isOrder = position.evacuationPosition !== undefined && position.evacuationPosition > 0
  return isReached(peer, position) && !(isOrder && peer.ignoresEvacuations)
}

/** Where no process listens, no entry serves with an older state, and a process that starts reads from a majority. */
function isUnable({ code, cause }: ConnectError): boolean {
  return code === Code.Unimplemented || (cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED')
}
