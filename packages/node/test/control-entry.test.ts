import { afterEach, beforeEach, expect, test } from 'vitest'
import { environmentName, failureDomain, nodeId, serverId, serviceName } from '@bilberrystall/base'
import { RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import {
  DocumentStore,
  ControlFollower,
  LeaseClient,
  controlNodesOf,
  deliveryRoutes,
  type DepartedServer,
  type Lease,
} from '../src/index'
import { NODE_KEY, TRIAL_ENVIRONMENT, TestCluster, call, submitBody, waitUntil } from './control-cluster'

let cluster: TestCluster
const cleanups: (() => unknown)[] = []

beforeEach(() => {
  cluster = new TestCluster()
})

afterEach(async () => {
  for (const stop of cleanups.splice(0)) await stop()
  await cluster.close()
})

/**
 * Starts the control client parts of an entry: document store, follower, lease, and an RPC server for its documents.
 */
async function startEntry(name: string) {
  const node = nodeId(name)
  const traffic = new TrafficCounter()
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic })
  const documentStore = new DocumentStore()
  const now = () => performance.now()
  const leases: Lease[] = []
  const peers = {
    environment: TRIAL_ENVIRONMENT,
    clients,
    addressOf: (other: typeof node) => cluster.nodes.get(other)?.address,
    controlNodes: () => controlNodesOf(cluster),
    now,
  }
  const otherEntries = () => {
    const entries = [...cluster.nodes.values()].filter((other) => other.roles.includes('entry'))
    return entries.map((other) => other.node).filter((other) => other !== node)
  }
  const location = { self: node, failureDomain: failureDomain('north') }
  const departures: DepartedServer[] = []
  const onDepartures = (departed: readonly DepartedServer[]) => departures.push(...departed)
  const controlNodes = () => [...cluster.nodes.values()].filter(({ roles }) => roles.includes('control'))
  const followerOptions = { ...peers, ...location, controlNodes, documentStore, otherEntries, onDepartures }
  const follower = new ControlFollower(followerOptions)
  const tokenDemands = () => [{ service: 'booking', wantedMs: 10_000, unitMs: 5 }]
  const client = new LeaseClient({ ...peers, node, start: 0, tokenDemands, onLease: (lease) => leases.push(lease) })
  const routes: Parameters<typeof RpcServer.listen>[0]['routes'] = (router) => {
    deliveryRoutes(router, { documentStore, now, control: () => undefined })
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
  return { documentStore, leases, client }
}

test('an entry receives documents and the roster of holders, but no measuring tokens from a new leader', async () => {
  const only = await cluster.start('a', { bootstrap: true })
  await waitUntil(() => cluster.leader())
  const server = {
    environment: TRIAL_ENVIRONMENT,
    service: serviceName('booking'),
    server: serverId('s1'),
    address: '',
  }
  const rest = { start: 0, sequence: 0, failureDomain: failureDomain('north'), slots: 3, connectionLimit: 300 }
  cluster.servers.set('s1', { ...server, ...rest, state: 'ready' })
  await call(only, '/v1/changes', submitBody('c1', 0))
  const entry = await startEntry('e')
  await waitUntil(() => entry.documentStore.inForce(TRIAL_ENVIRONMENT))
  await call(only, '/v1/changes', submitBody('c2', 1))
  const newest = await waitUntil(() =>
    entry.documentStore.inForce(TRIAL_ENVIRONMENT)?.revision === 2 ? true : undefined,
  )
  expect(newest).toBe(true)
  const holders = await waitUntil(() => entry.client.holdersAt(Date.now()))
  expect(holders.entries).toEqual([{ node: 'e', failureDomain: 'north' }])
  expect(entry.leases[0]).toMatchObject({ revision: 1, grants: [{ service: 'booking', tokensMs: 0 }], drain: false })
})

test('an entry that starts without a control majority does not use a possibly outdated document', async () => {
  const only = await cluster.start('a', { bootstrap: true })
  await waitUntil(() => cluster.leader())
  await call(only, '/v1/changes', submitBody('c1', 0))
  const first = await startEntry('e')
  await waitUntil(() => first.documentStore.inForce(TRIAL_ENVIRONMENT))
  await cluster.kill(only)
  const second = await startEntry('f')
  // The floor rises once the other entry has responded; only the confirmation is missing then.
  await waitUntil(() => (second.documentStore.floor(TRIAL_ENVIRONMENT) === 1 ? true : undefined))
  expect(second.documentStore.inForce(TRIAL_ENVIRONMENT)).toBeUndefined()
  expect(second.client.holdersAt(Date.now())).toBeUndefined()
})

test('an entry of an environment without a document is not ready', async () => {
  await cluster.start('a', { bootstrap: true })
  const entry = await startEntry('e')
  await waitUntil(() => entry.leases[0])
  expect(entry.leases[0]?.revision).toBe(0)
  expect(entry.documentStore.isReady(environmentName('trial'))).toBe(false)
})
