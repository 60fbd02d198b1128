import { readdir, rm, truncate, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, type Cluster, type ClusterNode } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import {
  readHistory,
  waitUntilInForceEverywhere,
  otherControls,
  startControlCluster,
  submit,
  readVoters,
} from './control-fixture'

/** Long enough for an entry to apply whatever document a reachable node offers. */
const ISOLATED_START_MS = 2500

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startControlCluster(harness)
})

afterEach(() => harness.end())

test('a VM is replaced and returns with an empty disk, then a second VM is killed', async () => {
  const [spare] = await cluster.add({ name: 'control-4', roles: 'control', failureDomain: 'fd-4' })
  await spare?.start()
  const leader = await cluster.waitForLeader()
  const [lost, second] = otherControls(cluster, leader).filter((node) => node !== spare) as [ClusterNode, ClusterNode]
  await lost.kill()
  await rm(dataFolder(lost), { recursive: true })
  const replace = await cluster.runCommand(['node', 'replace', lost.name], { nodes: [leader] })
  expect(replace.status).toBe(0)
  await cluster.waitUntil('the spare replica has replaced the lost one', async () => {
    const names = await readVoters(cluster, [leader])
    return names.includes('control-4') && !names.includes(lost.name) && names.length === 3
  })
  await lost.start()
  await second.kill()
  expect(await submit(cluster, { title: 'second', base: 1, nodes: [leader] })).toMatchObject({ status: 0 })
  expect(await readHistory(cluster, [cluster.node('control-4')])).toHaveLength(2)
})

test('after all processes were killed and restarted the documents are kept and the entry serves', async () => {
  expect(await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls })).toMatchObject({ status: 0 })
  await Promise.all(cluster.nodes.map((node) => node.kill()))
  await cluster.startAll()
  await cluster.node('entry-1').waitUntilHealthy()
  expect(await readHistory(cluster, cluster.controls)).toHaveLength(2)
  await waitUntilInForceEverywhere(cluster, cluster.controls, 2)
})

test('an entry that restarts and first reaches an isolated replica does not serve the older document', async () => {
  const [isolated] = otherControls(cluster, await cluster.waitForLeader()) as [ClusterNode]
  const rest = otherControls(cluster, isolated)
  cluster.network.isolate(isolated.name)
  expect(await submit(cluster, { title: 'second', base: 1, nodes: rest })).toMatchObject({ status: 0 })
  await waitUntilInForceEverywhere(cluster, rest, 2)
  const entry = cluster.node('entry-1')
  await entry.kill()
  cluster.network.heal()
  cluster.network.partition(
    [entry.name, isolated.name],
    rest.map((node) => node.name),
  )
  await entry.start()
  await cluster.waitUntil('the entry responds', async () => (await entry.health()).status !== 0)
  await sleep(ISOLATED_START_MS)
  expect(revisionsInForce(entry)).not.toContain(1)
  cluster.network.heal()
  await entry.waitUntilHealthy()
  await waitUntilInForceEverywhere(cluster, rest, 2)
})

test('a partially written last record is removed and the replica rejoins', async () => {
  expect(await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls })).toMatchObject({ status: 0 })
  const [first] = cluster.controls as [ClusterNode]
  await first.kill()
  const file = await newestLogFile(first)
  await truncate(file, (await stat(file)).size - 3)
  await first.start()
  expect(await submit(cluster, { title: 'third', base: 2, nodes: [first] })).toMatchObject({ status: 0 })
  expect(await readHistory(cluster, [first])).toHaveLength(3)
})

/** Returns the revisions that the current process of an entry put in force. */
function revisionsInForce(entry: ClusterNode): number[] {
  const lines = entry.runningProcess.stderr.split('\n').filter((line) => line.includes('document-in-force'))
  return lines.map((line) => (JSON.parse(line) as { revision: number }).revision)
}

function dataFolder(node: ClusterNode): string {
  return join(harness.folder, `data-${node.name}`)
}

async function newestLogFile(node: ClusterNode): Promise<string> {
  const files = (await readdir(dataFolder(node), { recursive: true })).filter((name) => name.startsWith('log-')).sort()
  return join(dataFolder(node), files.at(-1) ?? '')
}
