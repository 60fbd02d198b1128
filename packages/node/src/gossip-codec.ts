/** Converts directory records to and from the messages of the gossip service. */
import {
  toDigest,
  environmentName,
  failureDomain,
  nodeId,
  replicaId,
  requestId,
  revision,
  serverId,
  serviceName,
} from '@bilberrystall/base'
import {
  isValidNode,
  isValidServer,
  type Node,
  type NodeState,
  type Versioned,
  type OriginDelta,
  type OriginVersion,
  type Role,
  type Server,
  type ServerState,
} from '@bilberrystall/membership'
import type { ProcessId } from '@bilberrystall/quarantine'
import {
  NodeRecordSchema,
  OriginDeltaSchema,
  OriginVersionSchema,
  ServerRecordSchema,
  type NodeRecord,
  type OriginDelta as OriginDeltaMessage,
  type OriginVersion as OriginVersionMessage,
  type ServerRecord,
} from '@bilberrystall/rpc'
import { create } from '@bufbuild/protobuf'

const MAX_UINT32 = 0xffffffff

export function encodeVersion(version: OriginVersion): OriginVersionMessage {
  return create(OriginVersionSchema, {
    origin: version.origin,
    incarnation: BigInt(version.incarnation),
    counter: BigInt(version.counter),
    ageMs: version.ageMs,
  })
}

export function decodeVersion(message: OriginVersionMessage): OriginVersion {
  return {
    origin: nodeId(message.origin),
    incarnation: Number(message.incarnation),
    counter: Number(message.counter),
    ageMs: message.ageMs,
  }
}

export function encodeDelta(delta: OriginDelta): OriginDeltaMessage {
  const message = create(OriginDeltaSchema, {
    version: encodeVersion(delta.version),
    servers: delta.servers.map(encodeServer),
    removed: delta.removed.map((removal) => ({ key: removal.value, counter: BigInt(removal.counter) })),
    full: delta.full,
  })
  if (delta.node !== undefined) message.node = encodeNode(delta.node)
  return message
}

/**
 * Returns undefined if the message has no version, which a correct node never sends. A record that is not valid is left
 * out, and the others hold: it may come from a node of another version.
 */
export function decodeDelta(message: OriginDeltaMessage): OriginDelta | undefined {
  if (message.version === undefined) return undefined
  return {
    version: decodeVersion(message.version),
    servers: message.servers.map(decodeServer).filter(({ value }) => isValidServer(value)),
    node: message.node === undefined ? undefined : validNode(decodeNode(message.node)),
    removed: message.removed.map((removal) => ({ value: removal.key, counter: Number(removal.counter) })),
    full: message.full,
  }
}

function validNode(node: Versioned<Node>): Versioned<Node> | undefined {
  return isValidNode(node.value) ? node : undefined
}

function encodeServer({ value, counter }: Versioned<Server>): ServerRecord {
  const { statedStart, ...fields } = value
  return create(ServerRecordSchema, {
    ...fields,
    start: BigInt(value.start),
    ...(statedStart === undefined ? {} : { statedStart: BigInt(statedStart) }),
    sequence: BigInt(value.sequence),
    // An earlier end than announced would let calls through too soon.
    warmUpMs: Math.min(Math.ceil(value.warmUpMs ?? 0), MAX_UINT32),
    counter: BigInt(counter),
  })
}

function decodeServer(message: ServerRecord): Versioned<Server> {
  return {
    value: {
      environment: environmentName(message.environment),
      service: serviceName(message.service),
      server: serverId(message.server),
      start: Number(message.start),
      ...(message.statedStart === undefined ? {} : { statedStart: Number(message.statedStart) }),
      sequence: Number(message.sequence),
      state: message.state as ServerState,
      address: message.address,
      failureDomain: failureDomain(message.failureDomain),
      slots: message.slots,
      connectionLimit: message.connectionLimit,
      ...(message.warmUpMs === 0 ? {} : { warmUpMs: message.warmUpMs }),
    },
    counter: Number(message.counter),
  }
}

function encodeNode({ value, counter }: Versioned<Node>): NodeRecord {
  return create(NodeRecordSchema, {
    ...value,
    roles: [...value.roles],
    ejected: [...value.ejected],
    documents: value.documents.map((document) => ({ ...document, revision: BigInt(document.revision) })),
    crashReports: (value.crashReports ?? []).map((report) => ({ ...report, at: BigInt(report.at) })),
    clearances: (value.clearances ?? []).map((clearance) => ({ ...clearance, at: BigInt(clearance.at) })),
    counter: BigInt(counter),
  })
}

function decodeNode(message: NodeRecord): Versioned<Node> {
  return {
    value: {
      node: nodeId(message.node),
      roles: message.roles as Role[],
      address: message.address,
      failureDomain: failureDomain(message.failureDomain),
      region: message.region,
      environment: environmentName(message.environment),
      state: message.state as NodeState,
      disk: message.disk,
      documents: message.documents.map((document) => ({
        environment: environmentName(document.environment),
        revision: revision(Number(document.revision)),
        digest: toDigest(document.digest),
      })),
      ejected: message.ejected,
      ...(message.relay === '' ? {} : { relay: message.relay }),
      cutOff: message.cutOff,
      crashReports: message.crashReports.map(({ request, process, at }) => ({
        request: requestId(request),
        process: process as ProcessId,
        at: Number(at),
      })),
      clearances: message.clearances.map(({ request, at }) => ({ request: requestId(request), at: Number(at) })),
      ...(message.founder === '' ? {} : { founder: replicaId(message.founder) }),
    },
    counter: Number(message.counter),
  }
}
