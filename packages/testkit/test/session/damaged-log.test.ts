/** Guards against a control node that ends at each start because its log is damaged, and against what it accepted. */
import { readdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Harness, type Cluster, type ClusterNode } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { otherControls, readHistory, readVoters, submit } from './control-fixture'
import { CONTROLS, entryNode, startCluster } from './fixture'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('a replica whose log is damaged returns as a new one, and what was accepted is kept', async () => {
  const nodes = CONTROLS.map((options) => ({ ...options, lostAfter: '2s' }))
  const cluster = await startCluster(harness, [...nodes, entryNode(1)])
  await cluster.waitUntil('all three replicas are voters', async () => (await readVoters(cluster)).length === 3)
  expect(await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls })).toMatchObject({ status: 0 })
  const leader = await cluster.waitForLeader()
  const [damaged, other] = otherControls(cluster, leader) as [ClusterNode, ClusterNode]
  const former = await replicaOf(cluster, leader, damaged)
  await damaged.kill()
  await damageLog(damaged)
  await damaged.start()
  await cluster.waitUntil('the node is a voter with its new replica', async () => {
    const voters = await readVoters(cluster, [leader])
    return voters.length === 3 && ![undefined, former].includes(await replicaOf(cluster, leader, damaged))
  })
  await other.kill()
  expect(await submit(cluster, { title: 'third', base: 2, nodes: [damaged] })).toMatchObject({ status: 0 })
  expect(await readHistory(cluster, [damaged])).toHaveLength(3)
  expect(damaged.runningProcess.isRunning).toBe(true)
  expect(await readdir(dataFolder(damaged))).toContain('damaged-disk.json')
})

/** Returns the id of the voter on a node. */
async function replicaOf(cluster: Cluster, leader: ClusterNode, node: ClusterNode): Promise<string | undefined> {
  const replicas = (await cluster.status([leader]))?.replicas ?? []
  return replicas.find(({ node: name, role }) => name === node.name && role === 'voter')?.replica
}

/** Overwrites synced bytes near the start of the log. */
async function damageLog(node: ClusterNode): Promise<void> {
  const file = join(dataFolder(node), 'log-0000000000000001')
  const content = await readFile(file)
  content.fill(0, 100, 110)
  await writeFile(file, content)
}

function dataFolder(node: ClusterNode): string {
  return join(harness.folder, `data-${node.name}`)
}
