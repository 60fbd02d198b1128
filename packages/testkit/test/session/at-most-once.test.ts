import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, type Cluster, type StandInProcess } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { executionsOf, untilRunning } from './fixture'
import { send, startKeyCluster, visit } from './key-fixture'

let harness: Harness
let cluster: Cluster
let servers: readonly StandInProcess[]

beforeEach(async () => {
  harness = await Harness.create()
  ;({ cluster, servers } = await startKeyCluster(harness))
})

afterEach(() => harness.end())

const FAULTS: Readonly<Record<string, () => unknown>> = {
  killed: () => cluster.node('entry-1').kill(),
  frozen: () => {
    cluster.node('entry-1').running.signal('SIGSTOP')
  },
  'cut off': () => {
    cluster.network.isolate('entry-1')
  },
  restarted: async () => {
    await cluster.node('entry-1').kill()
    await cluster.node('entry-1').start()
  },
}

const REPAIRS: Readonly<Record<string, () => unknown>> = {
  frozen: () => {
    cluster.node('entry-1').running.signal('SIGCONT')
  },
  'cut off': () => {
    cluster.network.heal()
  },
}

test.each(Object.keys(FAULTS))(
  'a call whose entry is %s and that is resent through others runs once',
  async (fault) => {
    const call = visit(1500)
    const first = send(cluster, 'entry-1', call)
    await untilRunning(servers, 1)
    await FAULTS[fault]?.()
    const during = [await send(cluster, 'entry-2', call), await send(cluster, 'entry-3', call)]
    for (const result of during) expect(result.outcome).not.toBe('wrong')
    await REPAIRS[fault]?.()
    await first
    await sleep(1500)
    const after = [await send(cluster, 'entry-3', call), await send(cluster, 'entry-2', call)]
    expect([...during, ...after].filter((result) => result.outcome === 'complete' && !result.replayed)).toEqual([])
    expect(await executionsOf(servers, call.idempotencyKey)).toBe(1)
  },
)
