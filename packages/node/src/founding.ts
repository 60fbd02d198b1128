/**
 * First start of a system whose nodes know three seeds and not each other. Each seed chooses one replica, once in the
 * life of its process, and states it in its node record; a replica that most seeds chose starts the cluster. Two
 * majorities of the same seeds overlap, so at most one replica is chosen. Later seeds follow a choice that they hear of,
 * so that the votes do not split.
 */
import type { NodeId, ReplicaId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { replicaOf } from './control-disk'

/** Time for nodes that start within 0.3 s of each other to have met by gossip. */
const MEET_MS = 900
/** Pause between the choices of the seeds, in which a choice reaches the others by gossip. */
const TURN_MS = 600

export interface FoundingOptions {
  readonly self: NodeId
  /** RPC address of this node. */
  readonly address: string
  /** RPC addresses of the seeds, in the same order on every node. */
  readonly seeds: readonly string[]
  /** Replica of this node, undefined without a disk. */
  readonly replica: ReplicaId | undefined
  readonly nodes: () => Iterable<Node>
  /** States the choice of this node. */
  readonly choose: (founder: ReplicaId) => void
  /** Starts the cluster with the replica of this node. */
  readonly found: () => void
}

export class Founding {
  readonly #options: FoundingOptions
  #choice: ReplicaId | undefined
  #done = false

  constructor(options: FoundingOptions) {
    this.#options = options
  }

  /** To be called at short intervals with the time since the start of the process in milliseconds. */
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
