import { RESULT_CODES } from '@bilberrystall/base'
import { FaultProxy, Harness, type Cluster } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { history, inForceEverywhere, others, startControl, submit } from './control-fixture'

const CHANGE = ['--change-id', 'change-1']
/** Keeps a change between the leader's log and the answers of the others, so that the fault falls into it. */
const REPLICATION_DELAY_MS = 200

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startControl(harness)
})

afterEach(() => harness.end())

test.each(['SIGKILL', 'SIGSTOP'] as const)(
  'a change during which the leader gets %s is in force once',
  async (signal) => {
    const leader = await cluster.leader()
    const rest = others(cluster, leader)
    for (const node of rest) cluster.network.proxy(node.name).set({ delayMs: REPLICATION_DELAY_MS })
    const entries = (await cluster.status([leader]))?.logEntries ?? 0
    const change = submit(cluster, { title: 'second', base: 1, nodes: [leader, ...rest], rest: CHANGE })
    await cluster.until('the leader has the change', async () => {
      return ((await cluster.status([leader]))?.logEntries ?? 0) > entries
    })
    leader.running.signal(signal)
    cluster.network.heal()
    const result = await change
    expect(result).toMatchObject({ status: 0 })
    expect(JSON.parse(result.stdout)).toMatchObject({ revision: 2 })
    await inForceEverywhere(cluster, rest, 2)
    leader.running.signal('SIGCONT')
    const again = await submit(cluster, { title: 'second', base: 1, nodes: cluster.controls, rest: CHANGE })
    expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
    expect(await history(cluster, rest)).toHaveLength(2)
  },
)

test('a change whose response is lost and that is resent through another replica has one effect', async () => {
  const [first, ...rest] = cluster.controls
  const proxy = await new FaultProxy({ target: first?.addresses.operators ?? '' }).start()
  harness.onEnd(() => proxy.stop())
  proxy.set({ frozen: ['backward'] })
  const behind = { addresses: { operators: proxy.address } }
  const lost = submit(cluster, { title: 'second', base: 1, nodes: [behind], rest: [...CHANGE, '--limit', '0s'] })
  await cluster.until('the change is in force', async () => (await history(cluster, rest)).length === 2)
  proxy.cut()
  expect((await lost).status).toBe(RESULT_CODES.changeUnknown.number)
  const again = await submit(cluster, { title: 'second', base: 1, nodes: rest, rest: CHANGE })
  expect(JSON.parse(again.stdout)).toMatchObject({ revision: 2 })
  expect(await history(cluster, rest)).toHaveLength(2)
})

test('a leader that is stopped hands over and the next change is accepted', async () => {
  const leader = await cluster.leader()
  leader.running.signal('SIGTERM')
  expect(await submit(cluster, { title: 'second', base: 1, nodes: others(cluster, leader) })).toMatchObject({
    status: 0,
  })
  expect(await leader.running.exit()).toBe(0)
  await inForceEverywhere(cluster, others(cluster, leader), 2)
})
