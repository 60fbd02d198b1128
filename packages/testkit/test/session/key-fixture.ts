/** Fixture of the tests of idempotency keys: three entries that hold keys and two servers of the booking service. */
import {
  APPOINTMENT_HOST,
  KEY_AHEAD_MS,
  sendCall,
  uuidV7,
  type Call,
  type CallResult,
  type Cluster,
  type Harness,
  type FakeServerProcess,
} from '@bilberrystall/testkit'
import { entryNode, ONE_CONTROL, startCluster, startServers } from './fixture'

export interface KeyCluster {
  readonly cluster: Cluster
  readonly servers: readonly FakeServerProcess[]
}

export async function startKeyCluster(harness: Harness): Promise<KeyCluster> {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2), entryNode(3)])
  const servers = await startServers(cluster, 'booking', 2)
  await cluster.waitUntilKeysReady(3)
  return { cluster, servers }
}

export function createVisitCall(ms: number): Call & { idempotencyKey: string } {
  const idempotencyKey = uuidV7(Date.now() + KEY_AHEAD_MS)
  return { method: 'POST', host: APPOINTMENT_HOST, path: `/visits?ms=${ms}`, body: 'visit on Tuesday', idempotencyKey }
}

export function sendThrough(cluster: Cluster, entry: string, call: Call): Promise<CallResult> {
  return sendCall(cluster.node(entry).addresses.callers, call)
}
