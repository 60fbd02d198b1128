/**
 * Network between the nodes of a cluster, with one fault proxy in front of the RPC listener of each node. Each node binds
 * its connections to an address of its own, by which the proxies know the node that opened a connection, so that one
 * node can be isolated in both directions while the others still reach each other.
 */
import { FaultProxy } from './fault-proxy'

/** The discard port: nothing is sent before the target is known. */
const UNKNOWN_TARGET = '127.0.0.1:9'

export class Network {
  readonly #proxies = new Map<string, FaultProxy>()
  readonly #serverProxies: FaultProxy[] = []
  readonly #cuts = new Set<readonly (readonly [string, string])[]>()
  readonly #nodesBySource = new Map<string, string>()

  /** Starts the proxy of a node; the other nodes connect to the address of the proxy. */
  async addNode(node: string, target: string, port: number): Promise<FaultProxy> {
    const proxy = new FaultProxy({ target, port, identifyPeer: this.#identifyPeer })
    this.#nodesBySource.set(sourceOf(port), node)
    this.#proxies.set(node, await proxy.start())
    return proxy
  }

  /** Starts a proxy in front of a server, whose address is its target once it is known. */
  async addServer(): Promise<FaultProxy> {
    const proxy = new FaultProxy({ target: UNKNOWN_TARGET, identifyPeer: this.#identifyPeer })
    this.#serverProxies.push(await proxy.start())
    return proxy
  }

  /** Holds back all bytes between the node and all servers; other nodes still reach both. */
  cutOffFromServers(node: string): void {
    for (const proxy of this.#serverProxies) proxy.freeze({ kind: 'peer', peer: node })
  }

  /** Address that the connections of the node come from; the environment of its process sets it. */
  sourceAddress(node: string): string {
    return sourceOf(portOf(this.proxy(node)))
  }

  proxy(node: string): FaultProxy {
    const proxy = this.#proxies.get(node)
    if (proxy === undefined) throw new Error(`node ${node} is not part of the network`)
    return proxy
  }

  /** Holds back all bytes between the node and all others; the connections stay open. */
  isolate(node: string): void {
    this.proxy(node).freeze()
    for (const [other, proxy] of this.#proxies) if (other !== node) proxy.freeze({ kind: 'peer', peer: node })
  }

  /** Holds back all bytes between two groups of nodes. */
  partition(left: readonly string[], right: readonly string[]): void {
    for (const [from, to] of [...pairs(left, right), ...pairs(right, left)]) {
      this.proxy(to).freeze({ kind: 'peer', peer: from })
    }
  }

  /** Like `partition`; the returned function ends this cut and leaves the others. */
  cut(left: readonly string[], right: readonly string[]): () => void {
    const cut = [...pairs(left, right), ...pairs(right, left)]
    this.#cuts.add(cut)
    this.partition(left, right)
    return () => {
      if (!this.#cuts.delete(cut)) return
      const remaining = new Set([...this.#cuts].flat().map((pair) => pair.join()))
      for (const [from, to] of cut) {
        if (!remaining.has([from, to].join())) this.proxy(to).set({ frozen: [] }, { kind: 'peer', peer: from })
      }
    }
  }

  heal(): void {
    this.#cuts.clear()
    for (const proxy of [...this.#proxies.values(), ...this.#serverProxies]) proxy.heal()
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#proxies.values(), ...this.#serverProxies].map((proxy) => proxy.stop()))
  }

  readonly #identifyPeer = (source: string): string | undefined => this.#nodesBySource.get(source)
}

/** The ports of proxies differ between all test processes, and so do the addresses. */
function sourceOf(port: number): string {
  return `127.1.${port >> 8}.${port & 0xff}`
}

function portOf({ address }: FaultProxy): number {
  return Number(address.split(':').at(-1))
}

function pairs(left: readonly string[], right: readonly string[]): [string, string][] {
  return left.flatMap((from) => right.map((to): [string, string] => [from, to]))
}
