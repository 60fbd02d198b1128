import { readdir, rm, truncate, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, type Cluster, type ClusterNode } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { history, inForceEverywhere, others, startControl, submit, voters } from './control-fixture'

/** Long enough for an entry to take whatever a node that it reaches offers. */
const CUT_OFF_MS = 2500

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startControl(harness)
})

afterEach(() => harness.end())

test('a VM is replaced and returns with an empty disk, then a second VM is killed', async () => {
  const [spare] = await cluster.add({ name: 'control-4', roles: 'control', failureDomain: 'fd-4' })
  await spare?.start()
  const leader = await cluster.leader()
  const [lost, second] = others(cluster, leader).filter((node) => node !== spare) as [ClusterNode, ClusterNode]
  await lost.kill()
  await rm(dataFolder(lost), { recursive: true })
  const replace = await cluster.operator(['node', 'replace', lost.name], { nodes: [leader] })
  expect(replace.status).toBe(0)
  await cluster.until('the spare replica replaced the lost one', async () => {
    const names = await voters(cluster, [leader])
    return names.includes('control-4') && !names.includes(lost.name) && names.length === 3
  })
  await lost.start()
  await second.kill()
  expect(await submit(cluster, { title: 'second', base: 1, nodes: [leader] })).toMatchObject({ status: 0 })
  expect(await history(cluster, [cluster.node('control-4')])).toHaveLength(2)
})

test('after all processes were killed and started again the documents stand and the entry serves', async () => {
  expect(await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls })).toMatchObject({ status: 0 })
  await Promise.all(cluster.nodes.map((node) => node.kill()))
  await cluster.startAll()
  await cluster.node('entry-1').healthy()
  expect(await history(cluster, cluster.controls)).toHaveLength(2)
  await inForceEverywhere(cluster, cluster.controls, 2)
})

test('an entry that restarts and first finds a cut-off replica does not serve the older document', async () => {
  const [cutOff] = others(cluster, await cluster.leader()) as [ClusterNode]
  const rest = others(cluster, cutOff)
  cluster.network.isolate(cutOff.name)
  expect(await submit(cluster, { title: 'second', base: 1, nodes: rest })).toMatchObject({ status: 0 })
  await inForceEverywhere(cluster, rest, 2)
  const entry = cluster.node('entry-1')
  await entry.kill()
  cluster.network.heal()
  cluster.network.partition(
    [entry.name, cutOff.name],
    rest.map((node) => node.name),
  )
  await entry.start()
  await cluster.until('the entry answers', async () => (await entry.health()).status !== 0)
  await sleep(CUT_OFF_MS)
  expect(revisionsInForce(entry)).not.toContain(1)
  cluster.network.heal()
  await entry.healthy()
  await inForceEverywhere(cluster, rest, 2)
})

test('a torn last record is cut off and the replica joins again', async () => {
  expect(await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls })).toMatchObject({ status: 0 })
  const [first] = cluster.controls as [ClusterNode]
  await first.kill()
  const file = await newestLog(first)
  await truncate(file, (await stat(file)).size - 3)
  await first.start()
  expect(await submit(cluster, { title: 'third', base: 2, nodes: [first] })).toMatchObject({ status: 0 })
  expect(await history(cluster, [first])).toHaveLength(3)
})

/** Revisions that the present process of an entry put in force. */
function revisionsInForce(entry: ClusterNode): number[] {
  const lines = entry.running.stderr.split('\n').filter((line) => line.includes('document-in-force'))
  return lines.map((line) => (JSON.parse(line) as { revision: number }).revision)
}

function dataFolder(node: ClusterNode): string {
  return join(harness.folder, `data-${node.name}`)
}

async function newestLog(node: ClusterNode): Promise<string> {
  const files = (await readdir(dataFolder(node), { recursive: true })).filter((name) => name.startsWith('log-')).sort()
  return join(dataFolder(node), files.at(-1) ?? '')
}
