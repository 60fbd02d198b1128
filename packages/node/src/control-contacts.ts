/**
 * Addresses at which a node may reach control. Gossip alone is not enough: after a cut it has to recover first, and the
 * directory forgets a node 5 s after its last renewal, although its replica may respond. Addresses that the directory
 * had, and those that replicas name, are therefore kept for a while; the seeds are the last resort.
 */
import type { FailureDomain, NodeId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'

/** Time for which an address is kept after the directory had it or a replica named it. */
const RETENTION_MS = 900_000
/** Bounds the addresses that are kept; a replica set has five members at most. */
const MAX_KNOWN = 16

export interface ControlContact {
  /** Undefined for a seed, of which only the address is known. */
  readonly node: NodeId | undefined
  readonly address: string
  readonly failureDomain: FailureDomain | undefined
}

/** Address of a node that a replica named. */
export interface NamedAddress {
  readonly node: NodeId
  readonly address: string
}

export interface ControlContactsOptions {
  readonly self: NodeId
  readonly cluster: {
    readonly nodes: ReadonlyMap<NodeId, Pick<Node, 'node' | 'roles' | 'address' | 'failureDomain'>>
  }
  readonly seeds: () => readonly string[]
  /** Monotonic milliseconds. */
  readonly now: () => number
}

interface KnownContact extends ControlContact {
  readonly node: NodeId
  readonly seenAt: number
}

export class ControlContacts {
  readonly #options: ControlContactsOptions
  /** By address, the most recently seen last. */
  readonly #known = new Map<string, KnownContact>()
  /** Address of the replica that responded last. */
  #respondedLast: string | undefined

  constructor(options: ControlContactsOptions) {
    this.#options = options
  }

  /** Control nodes in the directory. */
  live(): readonly ControlContact[] {
    const live: ControlContact[] = []
    for (const { node, roles, address, failureDomain } of this.#options.cluster.nodes.values()) {
      if (!roles.includes('control')) continue
      live.push({ node, address, failureDomain })
      this.#remember({ node, address, failureDomain })
    }
    return live
  }

  /** Addresses of control nodes that are not in the directory, the most recently seen first. */
  known(): readonly ControlContact[] {
    const live = new Set(this.live().map(({ address }) => address))
    const oldest = this.#options.now() - RETENTION_MS
    for (const [address, { seenAt }] of this.#known) if (seenAt < oldest) this.#known.delete(address)
    return [...this.#known.values()].filter(({ address }) => !live.has(address)).reverse()
  }

  /** Seeds at addresses where no node is known. */
  seeds(): readonly ControlContact[] {
    const others = new Set(this.known().map(({ address }) => address))
    for (const { address } of this.#options.cluster.nodes.values()) others.add(address)
    return this.#options
      .seeds()
      .filter((address) => !others.has(address))
      .map((address) => ({ node: undefined, address, failureDomain: undefined }))
  }

  /** Records where a replica says that control nodes are. */
  learn(named: readonly NamedAddress[]): void {
    for (const { node, address } of named) {
      if (node === this.#options.self || address === '') continue
      this.#remember({ node, address, failureDomain: this.#known.get(address)?.failureDomain })
    }
  }

  /** Records that the replica at `address` responded with a current state. */
  responded(address: string): void {
    this.#respondedLast = address
    const known = this.#known.get(address)
    if (known !== undefined) this.#remember(known)
  }

  /**
   * Nodes to send a request for the leader to, with their addresses. Nodes that are not in the directory are included
   * unless a replica in the directory was the last one to respond.
   */
  candidates(): readonly KnownAddress[] {
    const live = this.live().filter(isNamed)
    const isLiveEnough = live.some(({ address }) => address === this.#respondedLast)
    if (isLiveEnough) return live
    const others = [...live, ...this.known().filter(isNamed)]
    return others.toSorted((left, right) => this.#rank(left) - this.#rank(right))
  }

  /** Address of a node in the directory, or the last one that was known of a control node. */
  addressOf(node: NodeId): string | undefined {
    const all = [...this.live(), ...this.known()].filter((contact) => contact.node === node)
    return (all.find(({ address }) => address === this.#respondedLast) ?? all[0])?.address
  }

  #rank({ address }: ControlContact): number {
    return address === this.#respondedLast ? 0 : 1
  }

  #remember(contact: ControlContact & { readonly node: NodeId }): void {
    this.#known.delete(contact.address)
    this.#known.set(contact.address, { ...contact, seenAt: this.#options.now() })
    for (const oldest of this.#known.keys()) {
      if (this.#known.size <= MAX_KNOWN) break
      if (oldest !== this.#respondedLast) this.#known.delete(oldest)
    }
  }
}

interface KnownAddress extends ControlContact {
  readonly node: NodeId
}

function isNamed(contact: ControlContact): contact is KnownAddress {
  return contact.node !== undefined
}
