/** Records of servers and nodes, and the order of the announcements of one server. */
import {
  isAddress,
  type Digest,
  type Environment,
  type FailureDomain,
  type NodeId,
  type ReplicaId,
  type Revision,
  type ServerId,
  type ServiceName,
} from '@bilberrystall/base'
import type { Clearance, CrashReport } from '@bilberrystall/quarantine'

const SERVER_STATES = ['starting', 'ready', 'draining', 'stopped'] as const
const ROLES = ['entry', 'control'] as const
const NODE_STATES = ['starting', 'serving', 'leaving'] as const

export type ServerState = (typeof SERVER_STATES)[number]

export interface Server {
  readonly environment: Environment
  readonly service: ServiceName
  readonly server: ServerId
  /** Start time of the server process in Unix milliseconds, above that of the process before it. */
  readonly start: number
  /** Start time that the process states, if its clock was set back before it started. */
  readonly statedStart?: number
  /** Sequence number of the announcement within one start. */
  readonly sequence: number
  readonly state: ServerState
  /** IP address with port. */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly slots: number
  readonly connectionLimit: number
  /**
   * Remaining time in ms for which the server was cold when it announced itself. It counts from the receipt of the
   * record. Absent or 0: the server is warm, or a node of an earlier build left the time out.
   */
  readonly warmUpMs?: number
}

export interface DocumentVersion {
  readonly environment: Environment
  readonly revision: Revision
  readonly digest: Digest
}

export type Role = (typeof ROLES)[number]
export type NodeState = (typeof NODE_STATES)[number]

export interface Node {
  readonly node: NodeId
  readonly roles: readonly Role[]
  /** RPC address, an IP address with port. */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly region: string
  /** Environment that the entry role serves; empty without that role. */
  readonly environment: Environment
  readonly state: NodeState
  /** Disk id of a control replica; empty on nodes without a disk. */
  readonly disk: string
  /** Document revisions that this node has confirmed. */
  readonly documents: readonly DocumentVersion[]
  /** Keys of the servers that this node has ejected as outliers. */
  readonly ejected: readonly string[]
  /** Replica that this node, as a seed, chose to bootstrap the cluster. */
  readonly founder?: ReplicaId
  /** Address on which this entry accepts calls of other entries. */
  readonly relay?: string
  /** Whether this entry reaches no server. */
  readonly cutOff?: boolean
  /** Ends of servers while they ran a request, as seen by this node or kept for others. */
  readonly crashReports?: readonly CrashReport[]
  /** Requests about which earlier crash reports no longer count. */
  readonly clearances?: readonly Clearance[]
}

/** Whether a record received from another node can be used. Its fields have been read without a check of their values. */
export function isValidServer(server: Server): boolean {
  const names = [server.environment, server.service, server.server, server.failureDomain]
  const { start, statedStart = 0, sequence, slots, connectionLimit, warmUpMs = 0 } = server
  const numbers = [start, statedStart, sequence, slots - 1, connectionLimit - 1, warmUpMs]
  return (
    names.every((name) => name !== '') &&
    numbers.every((number) => Number.isSafeInteger(number) && number >= 0) &&
    SERVER_STATES.includes(server.state) &&
    isAddress(server.address)
  )
}

/** Whether a record received from another node can be used. Its fields have been read without a check of their values. */
export function isValidNode(node: Node): boolean {
  return (
    node.node !== '' &&
    node.roles.every((role) => ROLES.includes(role)) &&
    NODE_STATES.includes(node.state) &&
    isAddress(node.address) &&
    (node.relay === undefined || isAddress(node.relay))
  )
}

export function isLeaving({ state }: Pick<Server, 'state'>): boolean {
  return state === 'draining' || state === 'stopped'
}

/** Returns a key that identifies a server across services and environments. */
export function serverKey(server: Pick<Server, 'environment' | 'service' | 'server'>): string {
  return `${server.environment}/${server.service}/${server.server}`
}

/** Compares by start, then by sequence number; positive if `left` is newer. */
export function compareAnnouncements(
  left: Pick<Server, 'start' | 'sequence'>,
  right: Pick<Server, 'start' | 'sequence'>,
): number {
  return left.start !== right.start ? left.start - right.start : left.sequence - right.sequence
}

/**
 * Differences in ms up to which a cold time agrees with an earlier one. A later end must be told soon, as the server may
 * get more than it bears until then; an earlier one costs little.
 */
const MAX_LATER_END_MS = 250
const MAX_EARLIER_END_MS = 2000

/**
 * Whether an announcement only counts down the cold time of the record, whose cold time ends at `coldUntil`. Receivers
 * count it down by themselves.
 */
export function agreesWithWarmUp(record: Server, announced: Server, coldUntil: number, now: number): boolean {
  const { warmUpMs: recordedMs = 0 } = record
  const { warmUpMs = 0 } = announced
  if (recordedMs === 0 || warmUpMs === 0) return recordedMs === warmUpMs
  const later = now + warmUpMs - coldUntil
  return later <= MAX_LATER_END_MS && later >= -MAX_EARLIER_END_MS
}

/** Whether two announcements are equal apart from their sequence numbers. */
export function hasSameContent(left: Server, right: Server): boolean {
  return (
    left.state === right.state &&
    left.start === right.start &&
    left.statedStart === right.statedStart &&
    left.address === right.address &&
    left.failureDomain === right.failureDomain &&
    left.slots === right.slots &&
    left.connectionLimit === right.connectionLimit &&
    (left.warmUpMs ?? 0) === (right.warmUpMs ?? 0)
  )
}
