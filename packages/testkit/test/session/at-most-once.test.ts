import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, type Cluster, type FakeServerProcess } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { countKeyExecutions, waitUntilRunning } from './fixture'
import { sendThrough, startKeyCluster, createVisitCall } from './key-fixture'

let harness: Harness
let cluster: Cluster
let servers: readonly FakeServerProcess[]

beforeEach(async () => {
  harness = await Harness.create()
  ;({ cluster, servers } = await startKeyCluster(harness))
})

afterEach(() => harness.end())

const INJECT_FAULT: Readonly<Record<string, () => unknown>> = {
  killed: () => cluster.node('entry-1').kill(),
  frozen: () => {
    cluster.node('entry-1').runningProcess.signal('SIGSTOP')
  },
  'isolated from all nodes': () => {
    cluster.network.isolate('entry-1')
  },
  restarted: async () => {
    await cluster.node('entry-1').kill()
    await cluster.node('entry-1').start()
  },
}

const REMOVE_FAULT: Readonly<Record<string, () => unknown>> = {
  frozen: () => {
    cluster.node('entry-1').runningProcess.signal('SIGCONT')
  },
  'isolated from all nodes': () => {
    cluster.network.heal()
  },
}

test.each(Object.keys(INJECT_FAULT))(
  'a call whose entry is %s and that is resent through others runs once',
  async (fault) => {
    const call = createVisitCall(1500)
    const first = sendThrough(cluster, 'entry-1', call)
    await waitUntilRunning(servers, 1)
    await INJECT_FAULT[fault]?.()
    const during = [await sendThrough(cluster, 'entry-2', call), await sendThrough(cluster, 'entry-3', call)]
    for (const result of during) expect(result.outcome).not.toBe('wrong')
    await REMOVE_FAULT[fault]?.()
    await first
    await sleep(1500)
    const after = [await sendThrough(cluster, 'entry-3', call), await sendThrough(cluster, 'entry-2', call)]
    expect([...during, ...after].filter((result) => result.outcome === 'complete' && !result.replayed)).toEqual([])
    expect(await countKeyExecutions(servers, call.idempotencyKey)).toBe(1)
  },
)
