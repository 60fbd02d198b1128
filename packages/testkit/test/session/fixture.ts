/** Fixture of the session tests: a cluster with a document in force, and sums over the servers' execution records. */
import {
  Cluster,
  eventually,
  type Harness,
  workloadDocument,
  type ClusterNode,
  type LoadSummary,
  type NodeOptions,
  type ExecutionRecordSnapshot,
  type FakeServerProcess,
  type WorkloadService,
} from '@bilberrystall/testkit'
import { expect } from 'vitest'

/** Time after which a leaving server receives no new calls (design section 1.2). */
export const LEAVING_LIMIT_MS = 3000
/** Time within which a change is in force everywhere, also if a leader is killed (design section 1.4). */
export const IN_FORCE_LIMIT_MS = 11_000
export const CONTROLS: readonly NodeOptions[] = [
  { name: 'control-1', roles: 'control', failureDomain: 'fd-1', bootstrap: true },
  { name: 'control-2', roles: 'control', failureDomain: 'fd-2' },
  { name: 'control-3', roles: 'control', failureDomain: 'fd-3' },
]

/** Smallest control deployment: one replica. */
export const ONE_CONTROL: NodeOptions = { name: 'control-1', roles: 'control', bootstrap: true }

export function entryNode(number: number): NodeOptions {
  return { name: `entry-${number}`, roles: 'entry', environment: 'production', failureDomain: `fd-${number}` }
}

export async function startCluster(
  harness: Harness,
  nodes: readonly NodeOptions[],
  document = workloadDocument(),
): Promise<Cluster> {
  const cluster = await Cluster.create(harness)
  await cluster.add(...nodes)
  await cluster.startAll()
  await cluster.waitUntilAllJoined()
  await cluster.putInForce('production', document)
  await Promise.all(cluster.entries.map((entry) => entry.waitUntilHealthy()))
  return cluster
}

export async function startServers(
  cluster: Cluster,
  service: WorkloadService,
  count: number,
  /** Number of servers that the entries know afterwards, if there are other servers. */
  expectedKnown = count,
): Promise<FakeServerProcess[]> {
  const names = Array.from({ length: count }, (_, index) => `${service}-${index + 1}`)
  const servers = await Promise.all(names.map((server) => cluster.startFakeServer({ service, server })))
  await cluster.waitUntilServersKnown(expectedKnown)
  return servers
}

/** Number of executions of an idempotency key, summed over all servers. */
export async function countKeyExecutions(servers: readonly FakeServerProcess[], key: string): Promise<number> {
  return sumOverServers(servers, (record) => record.byKey[key] ?? 0)
}

export async function countRequestExecutions(servers: readonly FakeServerProcess[], request: string): Promise<number> {
  return sumOverServers(servers, (record) => record.byRequest[request] ?? 0)
}

export async function sumOverServers(
  servers: readonly FakeServerProcess[],
  value: (record: ExecutionRecordSnapshot) => number,
): Promise<number> {
  const records = await Promise.all(servers.map((server) => server.record()))
  return records.reduce((total, record) => total + value(record), 0)
}

export function waitUntilRunning(servers: readonly FakeServerProcess[], count: number): Promise<boolean> {
  return eventually(
    `${count} calls run`,
    async () => (await sumOverServers(servers, (record) => record.inflight)) >= count,
  )
}

export function callerAddresses(nodes: readonly ClusterNode[]): string[] {
  return nodes.map((node) => node.addresses.callers)
}

/** Expects every call to complete; a failure shows the result codes of the other calls. */
export function expectAllComplete(summary: LoadSummary): void {
  const { sent, codes, outcomes } = summary
  expect({ codes, complete: outcomes.complete }).toEqual({ codes: {}, complete: sent })
}
