import { readdir, rm, truncate, stat, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { RESULT_CODES } from '@bilberrystall/base'
import {
  FaultProxy,
  Harness,
  workloadDocument,
  type Cluster,
  type ClusterNode,
  type CommandResult,
  type Operated,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { CONTROLS, entryNode, IN_FORCE_LIMIT_MS, startCluster } from './fixture'

/** Long enough for an entry to take whatever a node that it reaches offers. */
const CUT_OFF_MS = 2500

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startCluster(harness, [...CONTROLS, entryNode(1)])
  await cluster.until('three voters', async () => (await voters()).length === 3)
})

afterEach(() => harness.end())

/** Nodes with a vote, as the given nodes state them. */
async function voters(nodes: readonly Operated[] = cluster.controls): Promise<string[]> {
  const replicas = (await cluster.status(nodes))?.replicas ?? []
  return replicas.filter((replica) => replica.role === 'voter').map((replica) => replica.node)
}

function others(node: ClusterNode): ClusterNode[] {
  return cluster.controls.filter((candidate) => candidate !== node)
}

async function submit(title: string, nodes: readonly Operated[], ...rest: string[]): Promise<CommandResult> {
  await writeFile(join(harness.folder, `${title}.ini`), workloadDocument(title))
  const args = ['document', 'submit', `${title}.ini`, '--environment', 'production', '--json', ...rest]
  return cluster.operator(args, { nodes })
}

async function history(nodes: readonly Operated[]): Promise<readonly unknown[]> {
  const view = (await cluster.view('/v1/environments/production/history', nodes)) as
    { documents: unknown[] } | undefined
  return view?.documents ?? []
}

function inForceEverywhere(nodes: readonly Operated[], revision: number): Promise<boolean> {
  const check = async (): Promise<boolean> => {
    const view = await cluster.view('/v1/environments/production', nodes)
    const { revision: seen, inForceEverywhere } = (view ?? {}) as { revision?: number; inForceEverywhere?: boolean }
    return seen === revision && inForceEverywhere === true
  }
  return cluster.until(`revision ${revision} in force everywhere`, check, IN_FORCE_LIMIT_MS)
}

test.each(['SIGKILL', 'SIGSTOP'] as const)(
  'a change during which the leader gets %s is in force once',
  async (signal) => {
    const leader = await cluster.leader()
    const rest = others(leader)
    const change = submit('second', [leader, ...rest], '--base', '1', '--change-id', 'change-1')
    leader.running.signal(signal)
    const result = await change
    expect(result).toMatchObject({ status: 0 })
    expect(JSON.parse(result.stdout)).toMatchObject({ revision: 2 })
    await inForceEverywhere(rest, 2)
    leader.running.signal('SIGCONT')
    const again = await submit('second', cluster.controls, '--base', '1', '--change-id', 'change-1')
    expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
    expect(await history(rest)).toHaveLength(2)
  },
)

test('a change whose response is lost and that is resent through another replica has one effect', async () => {
  const [first, ...rest] = cluster.controls
  const proxy = await new FaultProxy({ target: first?.addresses.operators ?? '' }).start()
  harness.onEnd(() => proxy.stop())
  proxy.set({ frozen: ['backward'] })
  const behind = { addresses: { operators: proxy.address } }
  const lost = submit('second', [behind], '--base', '1', '--change-id', 'change-1', '--limit', '0s')
  await cluster.until('the change is in force', async () => (await history(rest)).length === 2)
  proxy.cut()
  expect((await lost).status).toBe(RESULT_CODES.changeUnknown.number)
  const again = await submit('second', rest, '--base', '1', '--change-id', 'change-1')
  expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
  expect(await history(rest)).toHaveLength(2)
})

test('a VM is replaced and returns with an empty disk, then a second VM is killed', async () => {
  const [spare] = await cluster.add({ name: 'control-4', roles: 'control', failureDomain: 'fd-4' })
  await spare?.start()
  const leader = await cluster.leader()
  const [lost, second] = others(leader).filter((node) => node !== spare) as [ClusterNode, ClusterNode]
  await lost.kill()
  await rm(dataFolder(lost), { recursive: true })
  const replace = await cluster.operator(['node', 'replace', lost.name], { nodes: [leader] })
  expect(replace.status).toBe(0)
  await cluster.until('the spare replica replaced the lost one', async () => {
    const names = await voters([leader])
    return names.includes('control-4') && !names.includes(lost.name) && names.length === 3
  })
  await lost.start()
  await second.kill()
  expect(await submit('second', [leader], '--base', '1')).toMatchObject({ status: 0 })
  expect(await history([cluster.node('control-4')])).toHaveLength(2)
})

test('after all processes were killed and started again the documents stand and the entry serves', async () => {
  expect(await submit('second', cluster.controls, '--base', '1')).toMatchObject({ status: 0 })
  await Promise.all(cluster.nodes.map((node) => node.kill()))
  await cluster.startAll()
  await cluster.node('entry-1').healthy()
  expect(await history(cluster.controls)).toHaveLength(2)
  await inForceEverywhere(cluster.controls, 2)
})

test('an entry that restarts and first finds a cut-off replica does not serve the older document', async () => {
  const [cutOff] = others(await cluster.leader()) as [ClusterNode]
  const rest = others(cutOff)
  cluster.network.isolate(cutOff.name)
  expect(await submit('second', rest, '--base', '1')).toMatchObject({ status: 0 })
  await inForceEverywhere(rest, 2)
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
  await inForceEverywhere(rest, 2)
})

test('a torn last record is cut off and the replica joins again', async () => {
  expect(await submit('second', cluster.controls, '--base', '1')).toMatchObject({ status: 0 })
  const [first] = cluster.controls as [ClusterNode]
  await first.kill()
  const file = await newestLog(first)
  await truncate(file, (await stat(file)).size - 3)
  await first.start()
  expect(await submit('third', [first], '--base', '2')).toMatchObject({ status: 0 })
  expect(await history([first])).toHaveLength(3)
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
