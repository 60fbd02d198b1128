/** Services shared by all roles of a node process: directory, gossip, RPC, log, metrics and clocks. */
import type { NodeId, RandomSource } from '@bilberrystall/base'
import type { Directory, Node } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import type { ControlContacts } from './control-contacts'
import type { Gossip } from './gossip'
import type { LeaderMemory } from './leader-memory'
import type { Log } from './log'
import type { Metrics } from './metrics'
import type { Settings } from './settings'

export interface NodeContext {
  readonly settings: Settings
  readonly self: NodeId
  /** Start of this process in Unix milliseconds. */
  readonly startedAt: number
  readonly directory: Directory
  readonly gossip: Gossip
  readonly contacts: ControlContacts
  readonly leaders: LeaderMemory
  readonly clients: RpcClients
  readonly log: Log
  readonly metrics: Metrics
  readonly random: RandomSource
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Unix milliseconds. The clocks of VMs may differ and step; deadlines in signed contexts assume at most 1 s. */
  readonly wallClock: () => number
  /** Updates this node's record in the directory. */
  readonly announce: (part: Partial<Node>) => void
}
