/** Views of the control state and the directory for the operator API. */
import type { Environment, NodeId, Revision } from '@bilberrystall/base'
import { documentInForce, type ControlState } from '@bilberrystall/control'
import type { Node, Server } from '@bilberrystall/membership'
import type { QuarantinedRequest } from '@bilberrystall/quarantine'
import type { ReplicaHost } from './control-replica'
import { nodeIdOf } from './control-transport'

const MAX_REPLICA_STEPS_SHOWN = 10

export interface ClusterView {
  readonly nodes: ReadonlyMap<NodeId, Node>
  readonly servers: ReadonlyMap<string, Server>
  /** Incarnation of the process of a live node. */
  readonly startOf?: (node: NodeId) => number | undefined
}

/** Sorts lists by node, so that successive responses can be compared. */
function compareByNode(left: Pick<Node, 'node'>, right: Pick<Node, 'node'>): number {
  return left.node.localeCompare(right.node)
}

function compareByKey([left]: readonly [string, Server], [right]: readonly [string, Server]): number {
  return left.localeCompare(right)
}

interface NodeRevision {
  readonly node: NodeId
  readonly revision: number
}

/** Revisions on the live nodes that use the document of an environment: its entries and the nodes with a replica. */
function revisionsOf(state: ControlState, cluster: ClusterView, environment: Environment): readonly NodeRevision[] {
  const relevant = [...cluster.nodes.values()].filter(({ node, environment: served }) => {
    return served === environment || state.replicas.some((replica) => replica.node === node)
  })
  return relevant.sort(compareByNode).map(({ node, documents }) => {
    const held = documents.find((document) => document.environment === environment)
    return { node, revision: held?.revision ?? 0 }
  })
}

function isInForceEverywhere(revisions: readonly NodeRevision[], revision: Revision): boolean {
  return revisions.length > 0 && revisions.every((node) => node.revision >= revision)
}

export function environmentView(state: ControlState, cluster: ClusterView, environment: Environment) {
  const document = documentInForce(state, environment)
  if (document === undefined) return undefined
  const nodes = revisionsOf(state, cluster, environment)
  return { environment, ...document, inForceEverywhere: isInForceEverywhere(nodes, document.revision), nodes }
}

export function statusView(host: Pick<ReplicaHost, 'status' | 'state'>, cluster: ClusterView) {
  const { replica, node, role, term, leader, commit, applied, replicas, followers, logEntries, logBytes } =
    host.status()
  const { state } = host
  const environments = [...state.environments.keys()].flatMap((environment) => {
    const view = environmentView(state, cluster, environment)
    if (view === undefined) return []
    const { revision, digest, inForceEverywhere } = view
    return [{ environment, revision, digest, inForceEverywhere }]
  })
  return {
    node,
    replica,
    role,
    term,
    leader: leader === undefined ? null : nodeIdOf(leader),
    commit,
    applied,
    logEntries,
    logBytes,
    replicas,
    followers,
    replicaSteps: state.replicaSteps.slice(-MAX_REPLICA_STEPS_SHOWN),
    replacing: state.replacing,
    roster: state.roster.map(({ epoch, effectiveFrom, standing, entries }) => {
      return { epoch, effectiveFrom, standing, entries: entries.length }
    }),
    environments,
    audit: { records: state.audit.size, head: state.audit.head },
  }
}

export function nodeViews(host: Pick<ReplicaHost, 'status' | 'state'>, cluster: ClusterView) {
  const { replicas, leader } = host.status()
  const leaderNode = leader === undefined ? undefined : nodeIdOf(leader)
  return [...cluster.nodes.values()].sort(compareByNode).map((node) => {
    const { ejected, documents, disk, ...rest } = withoutCrashReports(node)
    const member = replicas.find((replica) => replica.node === node.node)
    const replica = leaderNode === node.node ? 'leader' : (member?.role ?? 'none')
    const held = Object.fromEntries(documents.map((document) => [document.environment, document.revision]))
    return { ...rest, disk: disk === '' ? null : disk, replica, documents: held, ejected: ejected.length }
  })
}

/** The list of quarantined requests shows them. */
function withoutCrashReports(node: Node): Omit<Node, 'crashReports' | 'clearances'> {
  const rest: { -readonly [Key in keyof Node]: Node[Key] } = { ...node }
  delete rest.crashReports
  delete rest.clearances
  return rest
}

export function quarantineViews(quarantined: readonly QuarantinedRequest[]) {
  return quarantined.map(({ request, until, crashes }) => {
    return { request, until, servers: crashes.map(({ process }) => process), lastCrash: crashes.at(-1)?.at ?? 0 }
  })
}

export function serverViews(cluster: ClusterView) {
  const nodes = [...cluster.nodes.values()]
  return [...cluster.servers].sort(compareByKey).map(([key, server]) => {
    const ejectedBy = nodes.filter((node) => node.ejected.includes(key)).map(({ node }) => node)
    return { ...server, ejectedBy }
  })
}
