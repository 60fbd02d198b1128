/** Guards against a request that ends one server after another because callers and entries send it again. */
import { setTimeout as sleep } from 'node:timers/promises'
import {
  Harness,
  INSPECTION_HOST,
  sendCall,
  type Call,
  type Cluster,
  type FakeServerProcess,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { entryNode, ONE_CONTROL, startCluster } from './fixture'

const CRASHING: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/13' }
const OTHER: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' }
const SERVERS = 9
/** Number of servers that a request may end before it is withheld. */
const CRASH_LIMIT = 3
/** Time within which all entries have to know. */
const LEARNING_MS = 3_000

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

const countEnded = (servers: readonly FakeServerProcess[]) => servers.filter(({ process }) => !process.isRunning).length

async function startCrashingServers(cluster: Cluster): Promise<FakeServerProcess[]> {
  const servers = await Promise.all(
    Array.from({ length: SERVERS }, (_, index) => {
      const behaviour = { crashPath: CRASHING.path }
      return cluster.startFakeServer({ service: 'site-history', server: `history-${index + 1}`, behaviour })
    }),
  )
  await cluster.waitUntilServersKnown(SERVERS)
  return servers
}

/** Sends the request through one entry after the other until it has ended as many servers as the limit. */
async function crashServers({ entries }: Cluster, servers: readonly FakeServerProcess[]): Promise<void> {
  for (let index = 0; countEnded(servers) < CRASH_LIMIT; index += 1) {
    await sendCall(entries[index % entries.length]?.addresses.callers ?? '', CRASHING)
  }
  await sleep(LEARNING_MS)
}

test('a request that has ended three servers reaches no other one, also through an entry that started later', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2), entryNode(3)])
  const { entries } = cluster
  const servers = await startCrashingServers(cluster)
  await crashServers(cluster, servers)
  const ended = countEnded(servers)
  const restarted = cluster.node('entry-2')
  await restarted.kill()
  await restarted.start()
  await restarted.waitUntilHealthy()
  for (const entry of [...entries, ...entries]) {
    expect(await sendCall(entry.addresses.callers, CRASHING)).toMatchObject({ outcome: 'not-run' })
    expect(await sendCall(entry.addresses.callers, OTHER)).toMatchObject({ outcome: 'complete' })
  }
  expect(countEnded(servers)).toBe(ended)
})

test('an operator lists a withheld request and releases it on all entries', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const servers = await startCrashingServers(cluster)
  await crashServers(cluster, servers)
  const remaining = servers.filter(({ process }) => process.isRunning)
  for (const server of remaining) await server.change({ behaviour: { crashPath: '' } })
  const { requests } = (await cluster.runJsonCommand('quarantine')) as { requests: { request: string }[] }
  expect(requests).toHaveLength(1)
  await cluster.runJsonCommand('quarantine', 'release', requests[0]?.request ?? '')
  for (const entry of cluster.entries) {
    await cluster.waitUntil('the request completes again', async () => {
      return (await sendCall(entry.addresses.callers, CRASHING)).outcome === 'complete'
    })
  }
  const { records } = (await cluster.runJsonCommand('audit')) as { records: { operation: string }[] }
  expect(records.filter(({ operation }) => operation === 'release-request')).toHaveLength(1)
})
