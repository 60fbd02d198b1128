/**
 * What every role of a process shares: directory, gossip, RPC, log, metrics and clocks. Roles are wired to it and hear
 * of changes in the directory.
 */
import type { NodeId, Random } from '@bilberrystall/base'
import type { Change, Directory, Node } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Gossip } from './gossip'
import type { Log } from './log'
import type { Metrics } from './metrics'
import type { Settings } from './settings'

export interface Frame {
  readonly settings: Settings
  readonly self: NodeId
  /** Start of this process in Unix milliseconds. */
  readonly startedAt: number
  readonly directory: Directory
  readonly gossip: Gossip
  readonly clients: RpcClients
  readonly log: Log
  readonly metrics: Metrics
  readonly random: Random
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Unix milliseconds; agrees between nodes to within 1 s. */
  readonly unix: () => number
  /** Publishes a changed part of this node's record in the directory. */
  readonly announce: (part: Partial<Node>) => void
}

/** One role of the process. */
export interface NodeRole {
  /** Registers the role's RPC services. */
  readonly routes: (router: ConnectRouter) => void
  readonly changed: (changes: readonly Change[]) => void
}
