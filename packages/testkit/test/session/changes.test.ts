import { RESULT_CODES } from '@bilberrystall/base'
import { FaultProxy, Harness, type Cluster } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readHistory, waitUntilInForceEverywhere, otherControls, startControlCluster, submit } from './control-fixture'

const CHANGE_ID_ARGUMENTS = ['--change-id', 'change-1']
/** Delays replication, so that the fault occurs after the leader appended the change and before others respond. */
const REPLICATION_DELAY_MS = 200

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startControlCluster(harness)
})

afterEach(() => harness.end())

test.each(['SIGKILL', 'SIGSTOP'] as const)(
  'a change during which the leader gets %s is in force once',
  async (signal) => {
    const leader = await cluster.waitForLeader()
    const rest = otherControls(cluster, leader)
    for (const node of rest) cluster.network.proxy(node.name).set({ delayMs: REPLICATION_DELAY_MS })
    const entries = (await cluster.status([leader]))?.logEntries ?? 0
    const change = submit(cluster, {
      title: 'second',
      base: 1,
      nodes: [leader, ...rest],
      extraArguments: CHANGE_ID_ARGUMENTS,
    })
    await cluster.waitUntil('the leader has appended the change', async () => {
      return ((await cluster.status([leader]))?.logEntries ?? 0) > entries
    })
    leader.runningProcess.signal(signal)
    cluster.network.heal()
    const result = await change
    expect(result).toMatchObject({ status: 0 })
    expect(JSON.parse(result.stdout)).toMatchObject({ revision: 2 })
    await waitUntilInForceEverywhere(cluster, rest, 2)
    leader.runningProcess.signal('SIGCONT')
    const again = await submit(cluster, {
      title: 'second',
      base: 1,
      nodes: cluster.controls,
      extraArguments: CHANGE_ID_ARGUMENTS,
    })
    expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
    expect(await readHistory(cluster, rest)).toHaveLength(2)
  },
)

test('a change whose response is lost and that is resent through another replica has one effect', async () => {
  const [first, ...rest] = cluster.controls
  const proxy = await new FaultProxy({ target: first?.addresses.operators ?? '' }).start()
  harness.onEnd(() => proxy.stop())
  proxy.set({ frozen: ['backward'] })
  const proxiedControl = { addresses: { operators: proxy.address } }
  const lost = submit(cluster, {
    title: 'second',
    base: 1,
    nodes: [proxiedControl],
    extraArguments: [...CHANGE_ID_ARGUMENTS, '--limit', '0s'],
  })
  await cluster.waitUntil('the change is in force', async () => (await readHistory(cluster, rest)).length === 2)
  proxy.resetConnections()
  expect((await lost).status).toBe(RESULT_CODES.changeUnknown.number)
  const again = await submit(cluster, { title: 'second', base: 1, nodes: rest, extraArguments: CHANGE_ID_ARGUMENTS })
  expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
  expect(await readHistory(cluster, rest)).toHaveLength(2)
})

test('a leader that is stopped transfers leadership and the next change is accepted', async () => {
  const leader = await cluster.waitForLeader()
  leader.runningProcess.signal('SIGTERM')
  expect(await submit(cluster, { title: 'second', base: 1, nodes: otherControls(cluster, leader) })).toMatchObject({
    status: 0,
  })
  expect(await leader.runningProcess.waitForExit()).toBe(0)
  await waitUntilInForceEverywhere(cluster, otherControls(cluster, leader), 2)
})
