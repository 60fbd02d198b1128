/** Entries of a test cluster: the parts that speak to control, without the HTTP entry. */
import { failureDomain, nodeId, type NodeId } from '@bilberrystall/base'
import { RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { checkDocument } from '@bilberrystall/document'
import {
  ChangeSubmitter,
  DocumentStore,
  ControlContacts,
  ControlFollower,
  LeaseClient,
  deliveryRoutes,
  type DepartedServer,
  type Lease,
} from '../src/index'
import type { Node } from '@bilberrystall/membership'
import { Evacuations } from '../src/evacuations'
import { NON_LEADER_HOST } from '../src/change-proposals'
import { NODE_KEY, TRIAL_ENVIRONMENT, type TestCluster } from './control-cluster'

/** Several attempts at a control node. */
const SUBMIT_TIMEOUT_MS = 2_000

interface EntryOptions {
  /** Directory of the entry; that of the cluster by default. */
  readonly nodes?: Map<NodeId, Node>
  readonly seeds?: readonly string[]
  readonly incarnations?: () => readonly number[]
}

/**
 * Starts the control client parts of an entry: document store, follower, lease, and an RPC server for its documents.
 */
export async function startEntry(
  cluster: TestCluster,
  cleanups: (() => unknown)[],
  name: string,
  { nodes = cluster.nodes, seeds = [], incarnations = () => [0] }: EntryOptions = {},
) {
  const node = nodeId(name)
  const traffic = new TrafficCounter()
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic })
  const documentStore = new DocumentStore()
  const now = () => performance.now()
  const leases: Lease[] = []
  const contacts = new ControlContacts({ self: node, cluster: { nodes }, seeds: () => seeds, now })
  const peers = {
    environment: TRIAL_ENVIRONMENT,
    clients,
    contacts,
    addressOf: (other: typeof node) => nodes.get(other)?.address,
    now,
  }
  const otherEntries = () => {
    const entries = [...nodes.values()].filter((other) => other.roles.includes('entry'))
    return entries.map((other) => other.node).filter((other) => other !== node)
  }
  const location = { self: node, failureDomain: failureDomain('north') }
  const departures: DepartedServer[] = []
  const onDepartures = (departed: readonly DepartedServer[]) => departures.push(...departed)
  const evacuations = new Evacuations()
  const followerOptions = { ...peers, ...location, documentStore, otherEntries, onDepartures, evacuations }
  const follower = new ControlFollower(followerOptions)
  const tokenDemands = () => [{ service: 'booking', wantedMs: 10_000, unitMs: 5 }]
  const wallClock = () => Date.now()
  const changes = new ChangeSubmitter({
    host: NON_LEADER_HOST,
    node,
    clients,
    addressOf: (other) => contacts.addressOf(other),
    controlNodes: () => contacts.candidates().map((candidate) => candidate.node),
    onLeaderNamed: (leader) => {
      contacts.learn([leader])
    },
    checkDocument,
    wallClock,
    timeoutMs: SUBMIT_TIMEOUT_MS,
  })
  const onLease = (lease: Lease) => leases.push(lease)
  const client = new LeaseClient({ ...peers, node, incarnations, tokenDemands, wallClock, onLease })
  const routes: Parameters<typeof RpcServer.listen>[0]['routes'] = (router) => {
    deliveryRoutes(router, { documentStore, now, clients, control: () => undefined, entry: () => follower })
  }
  const listening = await RpcServer.listen({ host: '127.0.0.1', port: 0, nodeKey: NODE_KEY, traffic, routes })
  const rpc = listening._unsafeUnwrap()
  const endpoint = {
    environment: TRIAL_ENVIRONMENT,
    address: `127.0.0.1:${rpc.port}`,
    failureDomain: failureDomain('north'),
  }
  const rest = { region: 'default', state: 'serving' as const, disk: '', documents: [], ejected: [] }
  cluster.nodes.set(node, { node, roles: ['entry'], ...endpoint, ...rest })
  follower.start()
  client.start()
  cleanups.push(() => rpc.close())
  cleanups.push(() => {
    follower.stop()
    client.stop()
    clients.close()
  })
  return { documentStore, leases, client, departures, changes, evacuations }
}
