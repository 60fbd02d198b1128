/**
 * State of the control role. Every replica holds the same value, because it changes only by applying committed commands
 * in log order. Commands carry the clock of the proposing leader; nothing here reads a clock or a random source.
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

/** Accepted documents kept per environment, in bytes of UTF-8 each and in number. */
export const DOCUMENT_BYTES_LIMIT = 1024 * 1024
export const REVISIONS_KEPT = 20
/** Change results kept. A change older than these builds on an old revision and is refused when it is sent again. */
export const RESULTS_KEPT = 10_000
/** Bounds memory: each environment may hold `REVISIONS_KEPT` documents. */
export const ENVIRONMENTS_LIMIT = 16
/** Departures kept: the servers that leave in hours, while a record is needed until the lease of the server ends. */
export const DEPARTURES_KEPT = 2_000
export const REPLICA_STEPS_KEPT = 100
export const NODE_REQUESTS_KEPT = 200
/** The environment whose documents may be promoted. */
export const TRIAL = 'trial' as Environment

export interface AcceptedDocument {
  readonly revision: Revision
  readonly digest: Digest
  readonly text: string
  /** Milliseconds since the Unix epoch, by the clock of the leader that proposed the change. */
  readonly at: number
  readonly requester: string
  readonly changeId: string
  /** Version chosen by the operator, for documents that carry one. */
  readonly version?: number
}

/** A server process that announced that it leaves: it gets no new call, whatever it announces later. */
export interface Departure {
  /** Rises by one with each departure. */
  readonly position: number
  readonly server: ServerId
  /** Start time of the process in Unix milliseconds; earlier starts of the server have left as well. */
  readonly start: number
}

export interface Accepted {
  readonly kind: 'accepted'
  readonly revision: Revision
  readonly digest: Digest
}

export interface Refused {
  readonly kind: 'refused'
  readonly code: CodeName
  readonly message: string
  /** The revision that stands in the environment; 0 when it has no document. */
  readonly currentRevision: Revision
  readonly faults?: readonly Fault[]
}

export type ChangeResult = Accepted | Refused

export interface KeptResult {
  /** SHA-256 over the content of the change; tells a repeat from a different change under the same id. */
  readonly fingerprint: string
  readonly result: ChangeResult
}

export interface RosterEntry {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
}

/**
 * One roster of entries that hold idempotency keys.
 *
 * - `pending`: proposed; whether it takes effect is not decided, so keys at or after `effectiveFrom` have no holders.
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

export interface ReplicaStep {
  readonly at: number
  readonly action: ReplicaAction
  readonly replica: ReplicaId
  readonly reason: string
}

/** One member of the replica set, as the consensus package has it. */
export interface ReplicaMember {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: 'voter' | 'learner'
}

/** An operator asked the node to drain; a process of it that started later is not meant. */
export interface NodeDrain {
  readonly node: NodeId
  readonly at: number
}

export interface ControlState {
  /** Highest clock of any applied command, in milliseconds since the Unix epoch. */
  clock: number
  readonly environments: Map<Environment, AcceptedDocument[]>
  readonly results: Map<string, KeptResult>
  readonly audit: AuditLog
  roster: RosterEpoch[]
  nextEpoch: number
  /** Increases with every change of the roster. */
  rosterVersion: number
  replicaSteps: ReplicaStep[]
  /** The step of the replica set that the leader is about to take. */
  replicaIntent: Omit<ReplicaStep, 'at'> | undefined
  replicas: readonly ReplicaMember[]
  drains: NodeDrain[]
  /** Nodes whose replica an operator wants replaced, until it is. */
  replacing: NodeId[]
  /** By server, in the order of their positions. */
  readonly departures: Map<ServerId, Departure>
  /** Position of the newest departure, 0 before the first. */
  departurePosition: number
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
  }
}

/** The document in force in an environment. */
export function documentInForce(state: ControlState, environment: Environment): AcceptedDocument | undefined {
  return state.environments.get(environment)?.at(-1)
}

export function currentRevision(state: ControlState, environment: Environment): Revision {
  return documentInForce(state, environment)?.revision ?? (0 as Revision)
}

/** Version chosen by the operator of the document in force; 0 without one. */
export function currentVersion(state: ControlState, environment: Environment): number {
  return documentInForce(state, environment)?.version ?? 0
}
