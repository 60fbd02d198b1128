/**
 * Network between the nodes of a cluster, with one fault proxy in front of the RPC listener of each node. The process
 * that opened a connection is found through /proc, so that one node can be isolated in both directions while the
 * others still reach each other.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { FaultProxy } from './fault-proxy'

/** The discard port: nothing is sent before the target is known. */
const UNKNOWN_TARGET = '127.0.0.1:9'

/** Indexes of the columns of `/proc/net/tcp`. */
const LOCAL_COLUMN = 1
const REMOTE_COLUMN = 2
const INODE_COLUMN = 9

export class Network {
  readonly #proxies = new Map<string, FaultProxy>()
  readonly #serverProxies: FaultProxy[] = []
  readonly #pids = new Map<string, number>()

  /** Starts the proxy of a node; the other nodes connect to the address of the proxy. */
  async addNode(node: string, target: string, port: number): Promise<FaultProxy> {
    const proxy = new FaultProxy({ target, port, identifyPeer: (localPort) => this.#findNode(localPort, port) })
    this.#proxies.set(node, await proxy.start())
    return proxy
  }

  /** Starts a proxy in front of a server, whose address is its target once it is known. */
  async addServer(): Promise<FaultProxy> {
    const proxy: FaultProxy = new FaultProxy({
      target: UNKNOWN_TARGET,
      identifyPeer: (localPort) => this.#findNode(localPort, Number(proxy.address.split(':').at(-1))),
    })
    this.#serverProxies.push(await proxy.start())
    return proxy
  }

  /** Holds back all bytes between the node and all servers; other nodes still reach both. */
  cutOffFromServers(node: string): void {
    for (const proxy of this.#serverProxies) proxy.freeze({ kind: 'peer', peer: node })
  }

  /** Sets the id of the current process of a node. */
  setProcessId(node: string, pid: number): void {
    this.#pids.set(node, pid)
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

  heal(): void {
    for (const proxy of [...this.#proxies.values(), ...this.#serverProxies]) proxy.heal()
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#proxies.values(), ...this.#serverProxies].map((proxy) => proxy.stop()))
  }

  #findNode(localPort: number, remotePort: number): string | undefined {
    const inode = findSocketInode(localPort, remotePort)
    if (inode === undefined) return undefined
    for (const [node, pid] of this.#pids) if (ownsSocket(pid, inode)) return node
    return undefined
  }
}

function pairs(left: readonly string[], right: readonly string[]): [string, string][] {
  return left.flatMap((from) => right.map((to): [string, string] => [from, to]))
}

/**
 * Looks up the inode of the connecting socket in the kernel's table of IPv4 connections. Compares both ports, because
 * sockets that are connected to other addresses may have the same local port.
 */
function findSocketInode(localPort: number, remotePort: number): string | undefined {
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const columns = line.trim().split(/\s+/)
    const matches = columns[LOCAL_COLUMN]?.endsWith(hexPortSuffix(localPort)) === true
    if (matches && columns[REMOTE_COLUMN]?.endsWith(hexPortSuffix(remotePort)) === true) return columns[INODE_COLUMN]
  }
  return undefined
}

function hexPortSuffix(port: number): string {
  return `:${port.toString(16).toUpperCase().padStart(4, '0')}`
}

function ownsSocket(pid: number, inode: string): boolean {
  const folder = `/proc/${pid}/fd`
  try {
    return readdirSync(folder).some((descriptor) => readLinkTarget(`${folder}/${descriptor}`) === `socket:[${inode}]`)
  } catch {
    return false
  }
}

function readLinkTarget(path: string): string {
  try {
    return readlinkSync(path)
  } catch {
    return ''
  }
}
