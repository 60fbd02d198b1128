/**
 * Bootstraps a cluster whose nodes initially know only the seeds. Each seed votes for one replica, once in the lifetime
 * of its process, and publishes the vote in its node record; the replica with the votes of a majority of the seeds
 * bootstraps the cluster. Two majorities of the same seeds overlap, so at most one replica is elected. Seeds vote in
 * turn and adopt a vote that they have observed, to avoid split votes.
 */
import type { NodeId, ReplicaId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { replicaOf } from './control-disk'

/** Time in which nodes that start within 0.3 s of each other discover each other by gossip. */
const MEET_MS = 900
/** Delay between the votes of two seeds, in which a vote reaches the other seeds by gossip. */
const TURN_MS = 600

export interface FoundingOptions {
  readonly self: NodeId
  /** RPC address of this node. */
  readonly address: string
  /** RPC addresses of the seeds, in the same order on every node. */
  readonly seeds: readonly string[]
  /** Replica of this node; undefined without the control role. */
  readonly replica: ReplicaId | undefined
  readonly nodes: () => Iterable<Node>
  /** Publishes the vote of this node. */
  readonly choose: (founder: ReplicaId) => void
  /** Bootstraps the cluster with the replica of this node. */
  readonly found: () => void
}

export class Founding {
  readonly #options: FoundingOptions
  #choice: ReplicaId | undefined
  #done = false

  constructor(options: FoundingOptions) {
    this.#options = options
  }

  /** Must be called at short intervals with the process uptime in milliseconds. */
  tick(uptimeMs: number): void {
    if (this.#done) return
    const { address, seeds, choose, replica, found } = this.#options
    const turn = seeds.indexOf(address)
    if (turn >= 0 && this.#choice === undefined && uptimeMs >= MEET_MS + turn * TURN_MS) {
      this.#choice = this.#heardChoice() ?? this.#candidate()
      if (this.#choice !== undefined) choose(this.#choice)
    }
    if (replica === undefined || this.#votesFor(replica) <= seeds.length / 2) return
    this.#done = true
    found()
  }

  #seedNodes(): Node[] {
    const { nodes, seeds } = this.#options
    return [...nodes()]
      .filter((node) => seeds.includes(node.address))
      .sort((left, right) => seeds.indexOf(left.address) - seeds.indexOf(right.address))
  }

  #heardChoice(): ReplicaId | undefined {
    return this.#seedNodes().find((node) => node.founder !== undefined)?.founder
  }

  #candidate(): ReplicaId | undefined {
    const replicas = [...this.#options.nodes()]
      .filter((node) => node.disk !== '' && node.roles.includes('control'))
      .map((node) => replicaOf(node.node, node.disk))
    return replicas.sort()[0]
  }

  #votesFor(replica: ReplicaId): number {
    return this.#seedNodes().filter((node) => node.founder === replica).length
  }
}
