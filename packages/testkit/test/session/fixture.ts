/** What the session tests share: a cluster with a document in force, and sums over the servers' records. */
import {
  Cluster,
  eventually,
  type Harness,
  workloadDocument,
  type ClusterNode,
  type LoadSummary,
  type NodeOptions,
  type RecordView,
  type StandInProcess,
  type WorkloadService,
} from '@bilberrystall/testkit'
import { expect } from 'vitest'

/** A leaving server receives no new call later than this (design section 1.2). */
export const LEAVING_LIMIT_MS = 3000
/** A change is in force everywhere within this time, also when a leader is killed (design section 1.4). */
export const IN_FORCE_LIMIT_MS = 11_000
export const CONTROLS: readonly NodeOptions[] = [
  { name: 'control-1', roles: 'control', failureDomain: 'fd-1', bootstrap: true },
  { name: 'control-2', roles: 'control', failureDomain: 'fd-2' },
  { name: 'control-3', roles: 'control', failureDomain: 'fd-3' },
]

/** The smallest control: one replica. */
export const ONE_CONTROL: NodeOptions = { name: 'control-1', roles: 'control', bootstrap: true }

export function entryNode(number: number): NodeOptions {
  return { name: `entry-${number}`, roles: 'entry', environment: 'production', failureDomain: `fd-${number}` }
}

export async function startCluster(harness: Harness, nodes: readonly NodeOptions[]): Promise<Cluster> {
  const cluster = await Cluster.create(harness)
  await cluster.add(...nodes)
  await cluster.startAll()
  await cluster.allJoined()
  await cluster.putInForce('production', workloadDocument())
  await Promise.all(cluster.entries.map((entry) => entry.healthy()))
  return cluster
}

export async function startServers(
  cluster: Cluster,
  service: WorkloadService,
  count: number,
  /** Servers that the entries know then, when there are others. */
  known = count,
): Promise<StandInProcess[]> {
  const names = Array.from({ length: count }, (_, index) => `${service}-${index + 1}`)
  const servers = await Promise.all(names.map((server) => cluster.standIn({ service, server })))
  await cluster.serversKnown(known)
  return servers
}

/** Sum of the executions of one idempotency key over all servers. */
export async function executionsOf(servers: readonly StandInProcess[], key: string): Promise<number> {
  return sum(servers, (record) => record.byKey[key] ?? 0)
}

export async function executionsOfRequest(servers: readonly StandInProcess[], request: string): Promise<number> {
  return sum(servers, (record) => record.byRequest[request] ?? 0)
}

export async function sum(servers: readonly StandInProcess[], value: (record: RecordView) => number): Promise<number> {
  const records = await Promise.all(servers.map((server) => server.record()))
  return records.reduce((total, record) => total + value(record), 0)
}

export function untilRunning(servers: readonly StandInProcess[], count: number): Promise<boolean> {
  return eventually(`${count} calls run`, async () => (await sum(servers, (record) => record.inflight)) >= count)
}

export function callers(nodes: readonly ClusterNode[]): string[] {
  return nodes.map((node) => node.addresses.callers)
}

/** Every call was answered completely; the codes of the others show in a failure. */
export function expectAllComplete(summary: LoadSummary): void {
  const { sent, codes, outcomes } = summary
  expect({ codes, complete: outcomes.complete }).toEqual({ codes: {}, complete: sent })
}
