/**
 * Other entries to which this entry passes calls on while it reaches no server. Prefers the own failure domain, because
 * traffic between domains is expensive, unless its entries have more calls of this entry than others.
 */
import type { NodeId } from '@bilberrystall/base'
import type { Address } from './connection'
import { ConnectionPool } from './connection-pool'
import type { Clock, Limits } from './limits'

/** An entry that reaches servers and serves the same environment. */
export interface RelayPeer {
  readonly node: NodeId
  readonly address: Address
  /** Whether it is in the failure domain of this entry. */
  readonly isNear: boolean
}

/** Number of calls in progress by which a near peer may exceed a distant one. */
const NEAR_ADVANTAGE = 4
const MAX_CONNECTIONS = 64
/** Time in ms for which a peer is not used after it failed. */
const FAILURE_PAUSE_MS = 1_000

interface PeerState {
  readonly pool: ConnectionPool
  readonly address: Address
  inFlight: number
  pausedUntil: number
}

export interface RelayPeersOptions {
  readonly peers: () => readonly RelayPeer[]
  readonly limits: Limits
  readonly clock: Clock
}

export class RelayPeers {
  readonly #options: RelayPeersOptions
  readonly #states = new Map<NodeId, PeerState>()
  /** Highest revision of the document seen at a peer: calls must not go back behind it. */
  #revision = 0

  constructor(options: RelayPeersOptions) {
    this.#options = options
  }

  get revision(): number {
    return this.#revision
  }

  onRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision)
  }

  /** Chooses the peer with the fewest calls of this entry; undefined if there is none apart from those tried. */
  choose(tried: readonly NodeId[]): RelayPeer | undefined {
    const now = this.#options.clock.monotonic()
    let best: RelayPeer | undefined
    let bestCost = Number.POSITIVE_INFINITY
    for (const peer of this.#options.peers()) {
      const state = this.#states.get(peer.node)
      if (tried.includes(peer.node) || (state !== undefined && now < state.pausedUntil)) continue
      const cost = (state?.inFlight ?? 0) + (peer.isNear ? 0 : NEAR_ADVANTAGE)
      if (cost >= bestCost) continue
      best = peer
      bestCost = cost
    }
    return best
  }

  started({ node, address }: RelayPeer): ConnectionPool {
    const state = this.#state(node, address)
    state.inFlight += 1
    return state.pool
  }

  ended({ node }: RelayPeer, hasFailed: boolean): void {
    const state = this.#states.get(node)
    if (state === undefined) return
    state.inFlight -= 1
    if (hasFailed) state.pausedUntil = this.#options.clock.monotonic() + FAILURE_PAUSE_MS
  }

  /** Closes idle connections, and forgets peers that are no longer known. */
  sweep(): void {
    if (this.#states.size === 0) return
    const known = new Set(this.#options.peers().map(({ node }) => node))
    for (const [node, state] of this.#states) {
      state.pool.sweep()
      if (known.has(node) || state.inFlight > 0) continue
      state.pool.close()
      this.#states.delete(node)
    }
  }

  close(): void {
    for (const { pool } of this.#states.values()) pool.close()
    this.#states.clear()
  }

  #state(node: NodeId, address: Address): PeerState {
    const known = this.#states.get(node)
    if (known?.address.host === address.host && known.address.port === address.port) return known
    known?.pool.close()
    const { limits, clock } = this.#options
    const pool = new ConnectionPool({
      address,
      limits,
      clock,
      maxConnections: () => MAX_CONNECTIONS,
      onRetired: () => undefined,
      onRefused: () => undefined,
      onReuseChanged: () => undefined,
    })
    const state = { pool, address, inFlight: known?.inFlight ?? 0, pausedUntil: Number.NEGATIVE_INFINITY }
    this.#states.set(node, state)
    return state
  }
}
