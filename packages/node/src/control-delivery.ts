/**
 * Server side of `DeliveryService`. Every node serves `Fetch` from its document store; replicas also serve `Follow`,
 * `Submit` and `Lease`, entries `Notify`.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { environmentName, nodeId, type Environment, type Failure } from '@bilberrystall/base'
import { documentInForce, type ControlState } from '@bilberrystall/control'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import type { Result } from 'neverthrow'
import { encodeSubmitResponse } from './change-outcome'
import type { ChangeSubmitter } from './change-submitter'
import type { NamedAddress } from './control-contacts'
import type { DocumentStore, PublishedDocument } from './document-store'
import { decodeEvacuations } from './evacuations'
import {
  NOT_CURRENT_MESSAGE,
  decodeDepartures,
  decodeDocument,
  type FollowQuery,
  type Notification,
  type Position,
} from './control-follower'
import type { LeaseServer } from './control-lease-server'
import type { ReplicaHost } from './control-replica'
import { relayNotification, withinMemberLimit } from './notification-relay'

const MAX_AGE_MS = 2 ** 32 - 1

type FollowHost = Pick<ReplicaHost, 'read' | 'state' | 'isCurrent'>

export interface DeliveryOptions {
  readonly documentStore: DocumentStore
  readonly now: () => number
  readonly clients: RpcClients
  /** Returns undefined on nodes without the control role, and while the replica of a node cannot be opened. */
  readonly control: () =>
    | {
        readonly host: FollowHost
        readonly changes: ChangeSubmitter
        readonly leases: LeaseServer
        /** Members of the replica set with their RPC addresses, as far as these are known. */
        readonly replicaAddresses: () => readonly NamedAddress[]
      }
    | undefined
  /** Returns undefined on nodes without an entry of this environment. */
  readonly entry: (environment: Environment) => NotifiedEntry | undefined
}

export interface NotifiedEntry {
  readonly catchUp: (notification: Notification) => Promise<Position>
}

export function deliveryRoutes(router: ConnectRouter, options: DeliveryOptions): void {
  const { documentStore, now, clients, control, entry } = options
  router.service(DeliveryService, {
    fetch: (request) => {
      const environment = environmentName(request.environment)
      const document = documentStore.inForce(environment)
      if (document === undefined || document.revision < request.minimumRevision) {
        throw new ConnectError(`no revision ${request.minimumRevision} of ${environment} on this node`, Code.NotFound)
      }
      const age = Math.min(MAX_AGE_MS, Math.ceil(now() - documentStore.confirmedAt(environment)))
      return { document: encodeDocument(document), confirmedAgeMs: age }
    },
    follow: async (request) => {
      const { host, replicaAddresses } = requireControlRole(control())
      return handleFollow(host, request, replicaAddresses)
    },
    notify: async (request) => {
      const { environment, revision, departurePosition, node, address, document } = request
      const notified = entry(environmentName(environment))
      if (notified === undefined) throw new ConnectError(`no entry of ${environment}`, Code.Unimplemented)
      const position = { revision: Number(revision), departurePosition: Number(departurePosition) }
      const content = {
        document: decodeDocument(document, 'replica'),
        departures: decodeDepartures(request.departures),
        departuresAfter: Number(request.departuresAfter),
        evacuations: decodeEvacuations(request),
      }
      const reaching = notified.catchUp({ ...position, node: nodeId(node), address, content })
      if (request.members.length === 0) return encodePosition(await reaching)
      const [reached, members] = await Promise.all([withinMemberLimit(reaching), relayNotification(request, clients)])
      return { ...encodePosition(reached ?? NO_POSITION), members }
    },
    submit: async (request, { signal }) => {
      const { changes } = requireControlRole(control())
      return encodeSubmitResponse(unwrapOrThrow(await changes.handle(request.command, signal)))
    },
    lease: async (request) => unwrapOrThrow(await requireControlRole(control()).leases.lease(request)),
  })
}

/** Of an entry that takes longer than the leader waits, which notifies it again then. */
const NO_POSITION: Position = { revision: 0, departurePosition: 0, evacuationPosition: 0 }

function encodePosition({ revision, departurePosition, evacuationPosition }: Position) {
  return {
    revision: BigInt(revision),
    departurePosition: BigInt(departurePosition),
    evacuationPosition: BigInt(evacuationPosition),
  }
}

export function encodeDocument(document: Omit<PublishedDocument, 'source'>) {
  const { environment, revision, digest, text, version } = document
  return { environment, revision: BigInt(revision), digest, text, version: BigInt(version) }
}

/** A replica responds without a majority read if its state was known to be up to date within this time. */
const MAX_STALENESS_MS = 400

/**
 * Returns the state that the requesting node does not have yet; throws `Unavailable` if this replica may be behind
 * itself.
 */
export async function handleFollow(
  host: FollowHost,
  query: FollowQuery,
  replicaAddresses: () => readonly NamedAddress[] = () => [],
) {
  if (query.confirmed) unwrapOrThrow(await host.read())
  else if (!host.isCurrent(MAX_STALENESS_MS)) throw new ConnectError(NOT_CURRENT_MESSAGE, Code.Unavailable)
  const { state } = host
  const environment = environmentName(query.environment)
  const document = documentInForce(state, environment)
  const isNewer = document !== undefined && document.revision > query.revision
  return {
    revision: BigInt(document?.revision ?? 0),
    ...(isNewer ? { document: encodeDocument({ environment, version: 0, ...document }) } : {}),
    departures: departuresAfter(state, Number(query.departurePosition)),
    departurePosition: BigInt(state.departurePosition),
    evacuated: Number(query.evacuationPosition ?? 0n) === state.evacuationPosition ? [] : [...state.evacuations.keys()],
    evacuationPosition: BigInt(state.evacuationPosition),
    replicas: query.wantsReplicas === true ? [...replicaAddresses()] : [],
  }
}

export function departuresAfter(state: ControlState, position: number) {
  if (position >= state.departurePosition) return []
  return [...state.departures.values()]
    .filter((departure) => departure.position > position)
    .map(({ server, start }) => ({ server, start: BigInt(start) }))
}

function requireControlRole<Value>(control: Value | undefined): Value {
  if (control === undefined) throw new ConnectError('this node has no open replica', Code.Unimplemented)
  return control
}

function unwrapOrThrow<Value>(result: Result<Value, Failure>): Value {
  if (result.isOk()) return result.value
  const { code, message } = result.error
  throw new ConnectError(message, code === 'formatUnknown' ? Code.InvalidArgument : Code.Unavailable)
}
