/**
 * Network between the nodes of a cluster: one fault proxy in front of each node's RPC listener. A connection is
 * attributed to the process that opened it through /proc, so one node can be isolated in both directions while the
 * others still reach each other.
 */
import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { FaultProxy } from './fault-proxy'

const LOCAL_PORT_COLUMN = 1
const REMOTE_PORT_COLUMN = 2
const INODE_COLUMN = 9

export class Network {
  readonly #proxies = new Map<string, FaultProxy>()
  readonly #pids = new Map<string, number>()

  /** Opens the address that the others use for a node. */
  async join(node: string, target: string, port: number): Promise<FaultProxy> {
    const proxy = new FaultProxy({ target, port, identify: (from, to) => this.#nodeOf(from, to) })
    this.#proxies.set(node, await proxy.start())
    return proxy
  }

  /** The process that runs the node now. */
  running(node: string, pid: number): void {
    this.#pids.set(node, pid)
  }

  proxy(node: string): FaultProxy {
    const proxy = this.#proxies.get(node)
    if (proxy === undefined) throw new Error(`no node ${node}`)
    return proxy
  }

  /** No byte passes between the node and any other one; the connections stay open. */
  isolate(node: string): void {
    this.proxy(node).freeze()
    for (const [other, proxy] of this.#proxies) if (other !== node) proxy.freeze({ kind: 'peer', peer: node })
  }

  /** No byte passes between two groups. */
  partition(left: readonly string[], right: readonly string[]): void {
    for (const [from, to] of [...pairs(left, right), ...pairs(right, left)]) {
      this.proxy(to).freeze({ kind: 'peer', peer: from })
    }
  }

  heal(): void {
    for (const proxy of this.#proxies.values()) proxy.heal()
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#proxies.values()].map((proxy) => proxy.stop()))
  }

  #nodeOf(from: number, to: number): string | undefined {
    const inode = inodeOf(from, to)
    if (inode === undefined) return undefined
    for (const [node, pid] of this.#pids) if (ownsSocket(pid, inode)) return node
    return undefined
  }
}

function pairs(left: readonly string[], right: readonly string[]): [string, string][] {
  return left.flatMap((from) => right.map((to): [string, string] => [from, to]))
}

/**
 * Inode of the socket that is connected from one port to the other, from the kernel's table of IPv4 connections. The
 * local port alone is not enough: connections to different ports may share it.
 */
function inodeOf(from: number, to: number): string | undefined {
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
    const columns = line.trim().split(/\s+/)
    const [local, remote] = [columns[LOCAL_PORT_COLUMN], columns[REMOTE_PORT_COLUMN]]
    if (local?.endsWith(suffixOf(from)) === true && remote?.endsWith(suffixOf(to)) === true)
      return columns[INODE_COLUMN]
  }
  return undefined
}

function suffixOf(port: number): string {
  return `:${port.toString(16).toUpperCase().padStart(4, '0')}`
}

function ownsSocket(pid: number, inode: string): boolean {
  const folder = `/proc/${pid}/fd`
  try {
    return readdirSync(folder).some((entry) => linkOf(`${folder}/${entry}`) === `socket:[${inode}]`)
  } catch {
    return false
  }
}

function linkOf(path: string): string {
  try {
    return readlinkSync(path)
  } catch {
    return ''
  }
}
