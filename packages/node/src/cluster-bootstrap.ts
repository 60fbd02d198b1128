/**
 * Bootstraps a cluster whose nodes initially know only the seeds. Each seed votes for one replica, once in the lifetime
 * of its process, and publishes the vote in its node record; the replica with the votes of a majority of the seeds
 * bootstraps the cluster. Two majorities of the same seeds overlap, so at most one replica is elected. Seeds vote in
 * turn and adopt a vote that they have observed, to avoid split votes: a vote is final, so split ones leave the nodes
 * without a cluster. For the same reason a seed votes only once it knows a majority of the seeds.
 */
import type { NodeId, ReplicaId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { replicaIdOf } from './replica-storage'

/** Time in which nodes that start within 0.3 s of each other discover each other by gossip. */
const DISCOVERY_MS = 900
/** Delay between the votes of two seeds, in which a vote reaches the other seeds by gossip. */
const VOTE_INTERVAL_MS = 600

export interface ClusterBootstrapOptions {
  readonly self: NodeId
  /** RPC address of this node. */
  readonly address: string
  /** RPC addresses of the seeds, in the same order on every node. */
  readonly seeds: readonly string[]
  /** Returns the replica of this node, or undefined while it has none. */
  readonly replica: () => ReplicaId | undefined
  readonly nodes: () => Iterable<Node>
  /** Publishes the vote of this node. */
  readonly publishVote: (founder: ReplicaId) => void
  /** Bootstraps the cluster with the replica of this node. */
  readonly bootstrapCluster: () => void
}

export class ClusterBootstrap {
  readonly #options: ClusterBootstrapOptions
  #vote: ReplicaId | undefined
  /** Uptime at which this node first knew a majority of the seeds. */
  #seedsKnownAtMs: number | undefined
  #done = false

  constructor(options: ClusterBootstrapOptions) {
    this.#options = options
  }

  /** Must be called at short intervals with the process uptime in milliseconds. */
  tick(uptimeMs: number): void {
    if (this.#done) return
    const { publishVote, bootstrapCluster } = this.#options
    const replica = this.#options.replica()
    if (this.#vote === undefined && this.#mayVote(uptimeMs)) {
      this.#vote = this.#observedVote() ?? this.#candidate()
      if (this.#vote !== undefined) publishVote(this.#vote)
    }
    if (replica === undefined || !this.#isMajority(this.#votesFor(replica))) return
    this.#done = true
    bootstrapCluster()
  }

  /** Seeds vote one after the other, as soon as each knows a majority of them. */
  #mayVote(uptimeMs: number): boolean {
    const { address, seeds } = this.#options
    const position = seeds.indexOf(address)
    if (position < 0 || !this.#isMajority(this.#seedNodes().length)) return false
    this.#seedsKnownAtMs ??= uptimeMs
    return uptimeMs >= Math.max(DISCOVERY_MS, this.#seedsKnownAtMs) + position * VOTE_INTERVAL_MS
  }

  #isMajority(count: number): boolean {
    return count > this.#options.seeds.length / 2
  }

  #seedNodes(): Node[] {
    const { nodes, seeds } = this.#options
    return [...nodes()]
      .filter((node) => seeds.includes(node.address))
      .sort((left, right) => seeds.indexOf(left.address) - seeds.indexOf(right.address))
  }

  #observedVote(): ReplicaId | undefined {
    return this.#seedNodes().find((node) => node.founder !== undefined)?.founder
  }

  #candidate(): ReplicaId | undefined {
    const replicas = [...this.#options.nodes()]
      .filter((node) => node.disk !== '' && node.roles.includes('control'))
      .map((node) => replicaIdOf(node.node, node.disk))
    return replicas.sort()[0]
  }

  #votesFor(replica: ReplicaId): number {
    return this.#seedNodes().filter((node) => node.founder === replica).length
  }
}
