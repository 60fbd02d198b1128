/**
 * Guards against an upgrade, one node at a time under load, that loses calls or changes or ends a node, and against a way
 * back that does. Runs if `BILBERRYSTALL_FORMER_BINARY` names the binary of an earlier build.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import {
  APPOINTMENT_HOST,
  Cluster,
  Harness,
  INSPECTION_HOST,
  sendCall,
  workloadDocument,
  type Call,
  type CallOutcome,
  type ClusterNode,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readHistory, readVoters, submit, waitUntilInForceEverywhere } from './control-fixture'
import { CONTROLS, entryNode, startServers } from './fixture'

const FORMER = process.env.BILBERRYSTALL_FORMER_BINARY
const CALLS: readonly Call[] = [
  { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' },
  { method: 'POST', host: APPOINTMENT_HOST, path: '/notes', body: 'note' },
]
const CALL_INTERVAL_MS = 20

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

/** Sends calls through all entries until `stop` is called, and counts their outcomes. */
function startCalls(cluster: Cluster) {
  const outcomes = new Map<CallOutcome, number>()
  let isStopped = false
  const run = async () => {
    for (let number = 0; !isStopped; number += 1) {
      const entry = cluster.entries[number % cluster.entries.length]!
      const { outcome, code } = await sendCall(entry.addresses.callers, CALLS[(number >> 1) % CALLS.length]!)
      // There is no balancer that would take an entry out of use while it restarts.
      if (code !== 'ECONNREFUSED') outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
      await sleep(CALL_INTERVAL_MS)
    }
  }
  const running = Promise.all(Array.from({ length: 4 }, run))
  return {
    stop: async () => {
      isStopped = true
      await running
      return outcomes
    },
  }
}

test.skipIf(FORMER === undefined)(
  'nodes are upgraded one by one under load, go half of the way back and forward again, and lose nothing',
  async () => {
    const cluster = await Cluster.create(harness)
    await cluster.add(...CONTROLS, entryNode(1), entryNode(2))
    for (const node of cluster.nodes) node.command = [FORMER!]
    await cluster.startAll()
    await cluster.waitUntilAllJoined()
    await cluster.putInForce('production', workloadDocument())
    await Promise.all(cluster.entries.map((entry) => entry.waitUntilHealthy()))
    await cluster.waitUntil('all three replicas are voters', async () => (await readVoters(cluster)).length === 3)
    await startServers(cluster, 'site-history', 2)
    await startServers(cluster, 'booking', 2, 4)

    let revision = 1
    const change = async () => {
      const title = `change-${revision}`
      expect(await submit(cluster, { title, base: revision, nodes: cluster.controls })).toMatchObject({ status: 0 })
      revision += 1
    }
    const restart = async (node: ClusterNode, command: readonly string[] | undefined) => {
      node.runningProcess.signal('SIGTERM')
      expect(await node.runningProcess.waitForExit()).toBe(0)
      node.command = command
      await node.start()
      await node.waitUntilHealthy()
      await change()
    }
    const calls = startCalls(cluster)
    for (const node of cluster.nodes) await restart(node, undefined)
    for (const node of cluster.nodes.slice(0, 3)) await restart(node, [FORMER!])
    await Promise.all(cluster.controls.map((node) => node.kill()))
    await Promise.all(cluster.controls.map((node) => node.start()))
    await cluster.waitForLeader()
    await change()
    for (const node of cluster.nodes.slice(0, 3)) await restart(node, undefined)
    const outcomes = await calls.stop()

    expect([...outcomes.keys()].filter((outcome) => !['complete', 'not-run'].includes(outcome))).toEqual([])
    expect(outcomes.get('complete')).toBeGreaterThan(0)
    await waitUntilInForceEverywhere(cluster, cluster.controls, revision)
    expect(await readHistory(cluster, cluster.controls)).toHaveLength(revision)
    expect(cluster.nodes.filter((node) => !node.runningProcess.isRunning).map(({ name }) => name)).toEqual([])
  },
  300_000,
)
