import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, INSPECTION_HOST, runLoad, type Call, type FakeServerProcess } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import {
  callerAddresses,
  entryNode,
  expectAllComplete,
  LEAVING_LIMIT_MS,
  ONE_CONTROL,
  startCluster,
  startServers,
} from './fixture'

const HISTORY: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' }

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('a draining server gets no new call after 3 s and no call fails', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startServers(cluster, 'site-history', 3)
  const pace = { kind: 'open', callsPerSecond: 100 } as const
  const load = runLoad({ entries: callerAddresses(cluster.entries), pace, durationMs: 4500, calls: [HISTORY] })
  const leaving = await cluster.waitUntil('a server has executed a call', () => findServerInUse(servers))
  const announcedAt = Date.now()
  await leaving.change({ state: 'draining' })
  expectAllComplete(await load)
  expect((await leaving.record()).lastArrival).toBeLessThan(announcedAt + LEAVING_LIMIT_MS)
})

test('a server announces its drain to one entry, which is killed immediately; no other entry sends it calls after 3 s', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2), entryNode(3)])
  const servers = await startServers(cluster, 'site-history', 2)
  const [first, ...others] = cluster.entries
  for (const server of servers) await server.change({ entries: [first?.addresses.status ?? ''] })
  const pace = { kind: 'open', callsPerSecond: 100 } as const
  const load = runLoad({ entries: callerAddresses(others), pace, durationMs: 4500, calls: [HISTORY] })
  const leaving = await cluster.waitUntil('a server has executed a call', () => findServerInUse(servers))
  const announcedAt = Date.now()
  const acceptedBy = await leaving.change({ state: 'draining' })
  await first?.kill()
  const entries = others.map((entry) => entry.addresses.status)
  for (const server of servers) if (server !== leaving) await server.change({ entries })
  expect(acceptedBy).toBe(first?.addresses.status)
  const summary = await load
  expectAllComplete(summary)
  expect((await leaving.record()).lastArrival).toBeLessThan(announcedAt + LEAVING_LIMIT_MS)
})

test('an isolated entry stops using a leaving server after 3 s, keeps serving and turns unhealthy', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startServers(cluster, 'site-history', 2)
  const entry = cluster.node('entry-2')
  const [leaving, staying] = servers
  for (const server of servers) await server.change({ entries: [cluster.node('entry-1').addresses.status] })
  await staying?.change({ entries: [entry.addresses.status] })
  await sleep(1000)
  cluster.network.isolate('entry-2')
  const announcedAt = Date.now()
  await leaving?.change({ state: 'draining' })
  await sleep(LEAVING_LIMIT_MS)
  const pace = { kind: 'open', callsPerSecond: 50 } as const
  const summary = await runLoad({ entries: callerAddresses([entry]), pace, durationMs: 1000, calls: [HISTORY] })
  expectAllComplete(summary)
  expect((await leaving?.record())?.lastArrival).toBeLessThan(announcedAt + LEAVING_LIMIT_MS)
  await cluster.waitUntil('the isolated entry is unhealthy', async () => (await entry.health()).status === 503, 15_000)
  cluster.network.heal()
  await entry.waitUntilHealthy()
})

/** Returns a server that has executed a call; under a light load the entries do not use every server. */
async function findServerInUse(servers: readonly FakeServerProcess[]): Promise<FakeServerProcess | undefined> {
  const records = await Promise.all(servers.map((server) => server.record()))
  return servers[records.findIndex((record) => record.executions > 0)]
}

test('an entry that was frozen while a server left sends it no waiting calls when it resumes', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startServers(cluster, 'site-history', 2)
  const frozen = cluster.node('entry-2')
  const [leaving] = servers
  for (const server of servers) await server.change({ entries: [cluster.node('entry-1').addresses.status] })
  await sleep(1000)
  frozen.runningProcess.signal('SIGSTOP')
  const announcedAt = Date.now()
  await leaving?.change({ state: 'draining' })
  await sleep(LEAVING_LIMIT_MS + 500)
  // The calls wait in the socket buffers of the frozen entry, which reads them before any of its timers fires.
  const pace = { kind: 'open', callsPerSecond: 200 } as const
  const load = runLoad({ entries: callerAddresses([frozen]), pace, durationMs: 500, calls: [HISTORY] })
  await sleep(300)
  frozen.runningProcess.signal('SIGCONT')
  await load
  expect((await leaving?.record())?.lastArrival ?? 0).toBeLessThan(announcedAt + LEAVING_LIMIT_MS)
})
