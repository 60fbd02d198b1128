/**
 * Tells the live entries of committed changes before the leader acknowledges them. A majority of replicas keeps a
 * change, but an entry asks for it only at its next poll, and in vain if the replicas are lost by then. Once it was told,
 * an entry also passes the change on to entries that were not. An entry that does not confirm in time is left to its own
 * polls, and later changes do not wait for it until it responds again.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Environment, NodeId } from '@bilberrystall/base'
import { documentInForce, type ControlState } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import { FOLLOW_INTERVAL_MS } from './control-follower'

/** By then, every entry that reaches a current replica has polled one by itself. */
const CONFIRMATION_LIMIT_MS = FOLLOW_INTERVAL_MS

export interface ChangeDeliveryOptions {
  readonly self: NodeId
  readonly nodes: ReadonlyMap<NodeId, Node>
  readonly clients: RpcClients
  readonly state: () => ControlState
}

export interface DeliveryReport {
  readonly entries: number
  /** Entries that did not confirm within the limit. */
  readonly unconfirmed: readonly NodeId[]
}

interface Target {
  readonly environment: Environment
  readonly revision: number
  readonly departurePosition: number
}

interface Peer {
  /** Newest state that the entry confirmed. */
  revision: number
  departurePosition: number
  /** Whether the entry responded to the last notification. */
  responsive: boolean
  notification: Promise<boolean> | undefined
}

export class ChangeDelivery {
  readonly #options: ChangeDeliveryOptions
  readonly #peers = new Map<NodeId, Peer>()

  constructor(options: ChangeDeliveryOptions) {
    this.#options = options
  }

  /** Resolves when every responsive entry uses what is committed now, at the latest after the limit. */
  async deliver(): Promise<DeliveryReport> {
    const entries = this.#liveEntries()
    this.#forgetLostPeers()
    const unconfirmed = new Set(entries.map(({ node }) => node))
    const waiting = entries.map(async (entry) => {
      const { responsive } = this.#peer(entry.node)
      const delivered = this.#bringUpToDate(entry, this.#target(entry)).then((isUpToDate) => {
        if (isUpToDate) unconfirmed.delete(entry.node)
      })
      if (responsive) await delivered
    })
    const limit = new AbortController()
    const timer = sleep(CONFIRMATION_LIMIT_MS, undefined, { signal: limit.signal }).catch(() => undefined)
    await Promise.race([Promise.all(waiting), timer])
    limit.abort()
    return { entries: entries.length, unconfirmed: [...unconfirmed].sort() }
  }

  async #bringUpToDate(entry: Node, target: Target): Promise<boolean> {
    const peer = this.#peer(entry.node)
    while (!isReached(peer, target)) {
      // Changes that are committed meanwhile share the next notification.
      peer.notification ??= this.#notify(entry, peer).finally(() => {
        peer.notification = undefined
      })
      if (!(await peer.notification)) return false
    }
    return true
  }

  /** Returns false if the entry did not respond or is still behind. */
  async #notify(entry: Node, peer: Peer): Promise<boolean> {
    const { clients, self } = this.#options
    const target = this.#target(entry)
    const request = {
      environment: target.environment,
      revision: BigInt(target.revision),
      departurePosition: BigInt(target.departurePosition),
      node: self,
    }
    try {
      const options = { timeoutMs: CONFIRMATION_LIMIT_MS }
      const response = await clients.client(DeliveryService, entry.address).notify(request, options)
      peer.responsive = true
      // A starting entry reads from a majority before it serves, which includes this change.
      const confirmed = response.revision === 0n ? target : response
      peer.revision = Number(confirmed.revision)
      peer.departurePosition = Number(confirmed.departurePosition)
      return isReached(peer, target)
    } catch {
      // The entry left, does not respond or runs a build without notifications.
      peer.responsive = false
      return false
    }
  }

  #target({ environment }: Node): Target {
    const state = this.#options.state()
    const revision = documentInForce(state, environment)?.revision ?? 0
    return { environment, revision, departurePosition: state.departurePosition }
  }

  #liveEntries(): readonly Node[] {
    const { nodes, self } = this.#options
    return [...nodes.values()].filter(({ node, roles }) => node !== self && roles.includes('entry'))
  }

  #peer(node: NodeId): Peer {
    const known = this.#peers.get(node)
    if (known !== undefined) return known
    const peer: Peer = { revision: -1, departurePosition: -1, responsive: true, notification: undefined }
    this.#peers.set(node, peer)
    return peer
  }

  #forgetLostPeers(): void {
    for (const node of this.#peers.keys()) if (!this.#options.nodes.has(node)) this.#peers.delete(node)
  }
}

function isReached(peer: Peer, target: Target): boolean {
  return peer.revision >= target.revision && peer.departurePosition >= target.departurePosition
}
