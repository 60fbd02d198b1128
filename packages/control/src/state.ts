/**
 * State of the control plane. It is equal on every replica, because it is changed only by applying committed commands
 * in log order. Commands contain the time on the proposing leader's clock; this code reads no clock and no random
 * numbers.
 */
import type {
  CodeName,
  Digest,
  Environment,
  Fault,
  FailureDomain,
  NodeId,
  ReplicaId,
  Revision,
  ServerId,
} from '@bilberrystall/base'
import { AuditLog } from './audit'

/** Maximum size of a document, in bytes of UTF-8. */
export const MAX_DOCUMENT_BYTES = 1024 * 1024
/** Maximum number of accepted documents kept per environment. */
export const MAX_REVISIONS = 20
/**
 * Maximum number of change results kept. A repeat of an older change is refused, because it is based on an old
 * revision.
 */
export const MAX_CHANGE_RESULTS = 10_000
/** Maximum number of environments. Bounds memory, because each of them may keep `MAX_REVISIONS` documents. */
export const MAX_ENVIRONMENTS = 16
/**
 * Maximum number of departures kept. They cover the servers that leave within hours, while a departure is needed only
 * until the server's lease ends.
 */
export const MAX_DEPARTURES = 2_000
/**
 * Maximum number of failure domains that are evacuated at the same time. Bounds the messages to entries, each of which
 * contains all of them.
 */
export const MAX_EVACUATIONS = 64
/** Maximum number of recent evacuation orders that are recognised when they are applied again. */
export const MAX_EVACUATION_ORDERS = 256
/** Maximum number of recorded changes of the replica set. */
export const MAX_REPLICA_STEPS = 100
/** Maximum number of recorded requests to drain a node. */
export const MAX_NODE_DRAINS = 200
/** Environment whose documents may be promoted to other environments. */
export const TRIAL_ENVIRONMENT = 'trial' as Environment

export interface AcceptedDocument {
  readonly revision: Revision
  readonly digest: Digest
  readonly text: string
  /** Milliseconds since the Unix epoch, on the clock of the leader that proposed the change. */
  readonly at: number
  readonly requester: string
  readonly changeId: string
  /** Version number chosen by the operator, if the document has one. */
  readonly version?: number
}

/** A server process that announced its departure. It receives no new calls, whatever it announces later. */
export interface Departure {
  /** Increases by one with each departure. */
  readonly position: number
  readonly server: ServerId
  /**
   * Start time of the process in milliseconds since the Unix epoch. Earlier processes of the server have left as well.
   */
  readonly start: number
}

/** An operator's order that nothing is sent to the servers of a failure domain. */
export interface Evacuation {
  readonly domain: FailureDomain
  /** Milliseconds since the Unix epoch, on the clock of the leader that proposed the order. */
  readonly at: number
  readonly requester: string
}

export interface AcceptedChange {
  readonly kind: 'accepted'
  readonly revision: Revision
  readonly digest: Digest
}

export interface RefusedChange {
  readonly kind: 'refused'
  readonly code: CodeName
  readonly message: string
  /** Revision in force in the environment, or 0 if it has no document. */
  readonly currentRevision: Revision
  readonly faults?: readonly Fault[]
}

export type ChangeResult = AcceptedChange | RefusedChange

export interface RecordedResult {
  /** Digest that tells a repeated change from a different change with the same id. */
  readonly fingerprint: string
  readonly result: ChangeResult
}

export interface RosterEntry {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
}

/**
 * One roster of the entries that store idempotency keys. Values of `standing`:
 *
 * - `pending`: proposed and not decided yet. Keys at or after `effectiveFrom` have no holders.
 * - `sealed`: takes effect for keys at or after `effectiveFrom`.
 * - `void`: never takes effect.
 */
export interface RosterEpoch {
  readonly epoch: number
  /** Milliseconds since the Unix epoch. */
  readonly effectiveFrom: number
  readonly entries: readonly RosterEntry[]
  readonly standing: 'pending' | 'sealed' | 'void'
}

export type ReplicaAction = 'add-learner' | 'promote' | 'remove'

/** A change of one member of the replica set. */
export interface ReplicaStep {
  readonly at: number
  readonly action: ReplicaAction
  readonly replica: ReplicaId
  readonly reason: string
}

/** One member of the replica set. Has the same fields as `ReplicaInfo` of the consensus package. */
export interface ReplicaMember {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: 'voter' | 'learner'
}

/** An operator's request to drain a node. It does not apply to a process of the node that started later. */
export interface NodeDrain {
  readonly node: NodeId
  readonly at: number
  /** Start of the process to which the request applies, in Unix ms on the clock of the node, if it was known. */
  readonly start?: number
}

export interface ControlState {
  /** Latest time of any applied command, in milliseconds since the Unix epoch. */
  clock: number
  readonly environments: Map<Environment, AcceptedDocument[]>
  readonly results: Map<string, RecordedResult>
  readonly audit: AuditLog
  roster: RosterEpoch[]
  nextEpoch: number
  /** Increases with every change of the roster. */
  rosterVersion: number
  replicaSteps: ReplicaStep[]
  /** Change of the replica set that the leader is about to propose. */
  replicaIntent: Omit<ReplicaStep, 'at'> | undefined
  replicas: readonly ReplicaMember[]
  drains: NodeDrain[]
  /** Nodes whose replica an operator asked to replace and that are still in the replica set. */
  replacing: NodeId[]
  /** By server, in order of position. */
  readonly departures: Map<ServerId, Departure>
  /** Position of the newest departure, or 0 if there was none. */
  departurePosition: number
  /** Evacuated failure domains, the longest evacuated first. */
  readonly evacuations: Map<FailureDomain, Evacuation>
  /** Number of starts and ends of evacuations so far. */
  evacuationPosition: number
  /** Ids of the last orders to start or end an evacuation, oldest first. */
  evacuationOrders: readonly string[]
}

export function emptyState(): ControlState {
  return {
    clock: 0,
    environments: new Map(),
    results: new Map(),
    audit: new AuditLog(),
    roster: [],
    nextEpoch: 1,
    rosterVersion: 0,
    replicaSteps: [],
    replicaIntent: undefined,
    replicas: [],
    drains: [],
    replacing: [],
    departures: new Map(),
    departurePosition: 0,
    evacuations: new Map(),
    evacuationPosition: 0,
    evacuationOrders: [],
  }
}

/**
 * Whether an operator asked the process of a node that started at `start` to drain. The start identifies the process, as
 * the clocks of the node and of the leader may differ.
 */
export function isDrainOrdered({ drains }: ControlState, node: NodeId, start: number): boolean {
  return drains.some(
    (drain) => drain.node === node && (drain.start === undefined ? drain.at > start : drain.start === start),
  )
}

/** Newest accepted document of an environment. */
export function documentInForce(state: ControlState, environment: Environment): AcceptedDocument | undefined {
  return state.environments.get(environment)?.at(-1)
}

export function currentRevision(state: ControlState, environment: Environment): Revision {
  return documentInForce(state, environment)?.revision ?? (0 as Revision)
}

/** Operator's version number of the document in force, or 0 if it has none. */
export function currentVersion(state: ControlState, environment: Environment): number {
  return documentInForce(state, environment)?.version ?? 0
}
