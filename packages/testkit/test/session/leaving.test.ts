import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, NETCHECK_HOST, runLoad, type Call, type StandInProcess } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import {
  callers,
  entryNode,
  expectAllComplete,
  LEAVING_LIMIT_MS,
  ONE_CONTROL,
  startCluster,
  startServers,
} from './fixture'

const HISTORY: Call = { method: 'GET', host: NETCHECK_HOST, path: '/sites/17' }

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('a draining server gets no new call after 3 s and no call fails', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startServers(cluster, 'site-history', 3)
  const pace = { kind: 'open', callsPerSecond: 100 } as const
  const load = runLoad({ entries: callers(cluster.entries), pace, durationMs: 4500, calls: [HISTORY] })
  const leaving = await cluster.until('a server works', () => inUse(servers))
  const told = Date.now()
  await leaving.change({ state: 'draining' })
  expectAllComplete(await load)
  expect((await leaving.record()).lastArrival).toBeLessThan(told + LEAVING_LIMIT_MS)
})

test('a server that leaves tells one entry, which is killed at once; no other entry sends it work after 3 s', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2), entryNode(3)])
  const servers = await startServers(cluster, 'site-history', 2)
  const [first, ...others] = cluster.entries
  for (const server of servers) await server.change({ entries: [first?.addresses.status ?? ''] })
  const pace = { kind: 'open', callsPerSecond: 100 } as const
  const load = runLoad({ entries: callers(others), pace, durationMs: 4500, calls: [HISTORY] })
  const leaving = await cluster.until('a server works', () => inUse(servers))
  const told = Date.now()
  const acceptedBy = await leaving.change({ state: 'draining' })
  await first?.kill()
  const entries = others.map((entry) => entry.addresses.status)
  for (const server of servers) if (server !== leaving) await server.change({ entries })
  expect(acceptedBy).toBe(first?.addresses.status)
  const summary = await load
  expectAllComplete(summary)
  expect((await leaving.record()).lastArrival).toBeLessThan(told + LEAVING_LIMIT_MS)
})

test('an entry that is cut off stops using a leaving server after 3 s, keeps serving and turns unhealthy', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startServers(cluster, 'site-history', 2)
  const entry = cluster.node('entry-2')
  const [leaving, staying] = servers
  for (const server of servers) await server.change({ entries: [cluster.node('entry-1').addresses.status] })
  await staying?.change({ entries: [entry.addresses.status] })
  await sleep(1000)
  cluster.network.isolate('entry-2')
  const told = Date.now()
  await leaving?.change({ state: 'draining' })
  await sleep(LEAVING_LIMIT_MS)
  const pace = { kind: 'open', callsPerSecond: 50 } as const
  const summary = await runLoad({ entries: callers([entry]), pace, durationMs: 1000, calls: [HISTORY] })
  expectAllComplete(summary)
  expect((await leaving?.record())?.lastArrival).toBeLessThan(told + LEAVING_LIMIT_MS)
  await cluster.until('isolated', async () => (await entry.health()).status === 503, 15_000)
  cluster.network.heal()
  await entry.healthy()
})

/** A server that the entries use; a light load does not need every server. */
async function inUse(servers: readonly StandInProcess[]): Promise<StandInProcess | undefined> {
  const records = await Promise.all(servers.map((server) => server.record()))
  return servers[records.findIndex((record) => record.executions > 0)]
}
