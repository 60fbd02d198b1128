/** Logs the other nodes that join, are lost or are refused, and checks the connections to those that are lost. */
import type { NodeId } from '@bilberrystall/base'
import type { DirectoryChange, Node } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import type { Log } from './log'

export interface PeerTrackerOptions {
  readonly self: NodeId
  readonly log: Log
  readonly clients: Pick<RpcClients, 'checkSession'>
}

export class PeerTracker {
  readonly #options: PeerTrackerOptions
  /** Nodes that have been logged as joined. */
  readonly #joined = new Set<NodeId>()

  constructor(options: PeerTrackerOptions) {
    this.#options = options
  }

  apply(change: DirectoryChange): void {
    switch (change.kind) {
      case 'node-changed':
        this.#changed(change.node)
        break
      case 'node-lost':
        this.#lost(change.node)
        break
      case 'node-refused':
        this.#options.log.warn('nodeRefused', {
          node: change.node,
          start: change.start,
          knownStart: change.knownStart,
        })
        break
      case 'server-changed':
      case 'server-left':
        break
    }
  }

  #changed({ node, roles }: Node): void {
    const { self, log } = this.#options
    if (node === self || this.#joined.has(node)) return
    this.#joined.add(node)
    log.info('nodeJoined', { node, roles })
  }

  #lost({ node, address }: Node): void {
    const { log, clients } = this.#options
    if (!this.#joined.delete(node)) return
    // A node that gossip does not reach may still respond to calls.
    clients.checkSession(address)
    log.warn('nodeLost', { node })
  }
}
