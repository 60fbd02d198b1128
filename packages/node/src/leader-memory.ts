/**
 * What the requests of a node have learned about control nodes: which one leads, and which ones did not respond. The
 * next request begins there, so a silent control node delays one request and not each of them.
 */
import type { NodeId } from '@bilberrystall/base'

/** Time for which a control node that did not respond is asked last. */
const SILENT_MS = 3_000

export class LeaderMemory {
  readonly #silentSince = new Map<NodeId, number>()
  #leader: NodeId | undefined

  /** The node that settled a request last, or that another control node named since. */
  get leader(): NodeId | undefined {
    return this.#leader
  }

  /** Records that the node settled a request. */
  leads(node: NodeId): void {
    this.#silentSince.delete(node)
    this.#leader = node
  }

  /** Records that another control node takes the node for the leader. It may not have noticed yet that it is lost. */
  isNamed(node: NodeId): void {
    if (!this.isSilent(node)) this.#leader = node
  }

  doesNotLead(node: NodeId): void {
    this.#silentSince.delete(node)
    if (this.#leader === node) this.#leader = undefined
  }

  doesNotRespond(node: NodeId): void {
    this.doesNotLead(node)
    this.#silentSince.set(node, performance.now())
  }

  /** Whether the node did not respond lately. */
  isSilent(node: NodeId): boolean {
    return performance.now() - (this.#silentSince.get(node) ?? Number.NEGATIVE_INFINITY) < SILENT_MS
  }

  /** Returns the nodes in the same order, but those that did not respond lately last. */
  rank(nodes: readonly NodeId[]): readonly NodeId[] {
    return nodes.toSorted((left, right) => Number(this.isSilent(left)) - Number(this.isSilent(right)))
  }
}
