/** Verifies that departures and documents reach an entry within a bounded time while replicas are lost or behind. */
import { createServer, type AddressInfo } from 'node:net'
import { environmentName, failureDomain, nodeId, serverId } from '@bilberrystall/base'
import { RpcClients, Traffic } from '@bilberrystall/rpc'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { answerFollow } from '../src/control-delivery'
import { ControlFollower, DocumentKeeper, type Departed } from '../src/index'
import { NODE_KEY, TRIAL, TestCluster, call, submitBody, until } from './control-cluster'

/** Time within which an acknowledged departure must reach every entry that can reach a current replica. */
const DEPARTURE_BOUND_MS = 2_000

/** Request timeout for an unresponsive replica; a starting entry must not have to wait for it. */
const SILENT_REPLICA_MS = 350

let cluster: TestCluster
const stops: (() => unknown)[] = []

beforeEach(() => {
  cluster = new TestCluster()
})

afterEach(async () => {
  for (const stop of stops.splice(0)) await stop()
  await cluster.close()
})

function follow() {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new Traffic() })
  const keeper = new DocumentKeeper()
  const departed: Departed[] = []
  const follower = new ControlFollower({
    environment: TRIAL,
    self: nodeId('entry'),
    keeper,
    clients,
    addressOf: (node) => cluster.nodes.get(node)?.address,
    controlNodes: () => [...cluster.nodes.values()],
    failureDomain: failureDomain('north'),
    otherEntries: () => [],
    onDepartures: (news) => departed.push(...news),
    now: () => performance.now(),
  })
  follower.start()
  stops.push(() => {
    follower.stop()
    clients.close()
  })
  return { keeper, departed }
}

const depart = (name: string, start: number) => ({
  kind: 'depart' as const,
  at: 0,
  requester: 'platform',
  source: 'server',
  server: serverId(name),
  start,
})

test('an entry learns of a departure within 2 s even if the replica that it polled is lost', async () => {
  const leader = await cluster.start('a', { bootstrap: true })
  await until(() => cluster.leader())
  await cluster.start('b')
  await cluster.start('c')
  await until(() =>
    leader.control.host.status().replicas.filter(({ role }) => role === 'voter').length === 3 ? true : undefined,
  )
  await call(leader, '/v1/changes', submitBody('c1', 0))
  const entry = follow()
  await until(() => entry.keeper.inForce(TRIAL))
  const lost = [...cluster.members.values()].find(({ name }) => name !== cluster.leader()?.name)
  if (lost !== undefined) await cluster.kill(lost)
  const acting = cluster.leader()
  expect((await acting?.control.changes.submit(depart('s1', 7)))?.kind).toBe('recorded')
  const acknowledgedAt = performance.now()
  await until(() => entry.departed.find(({ server }) => server === 's1'))
  expect(entry.departed).toEqual([{ server: 's1', start: 7 }])
  expect(performance.now() - acknowledgedAt).toBeLessThan(DEPARTURE_BOUND_MS)
})

test('an entry without a document receives it while one of the replicas is unresponsive', async () => {
  const leader = await cluster.start('b', { bootstrap: true })
  await until(() => cluster.leader())
  await call(leader, '/v1/changes', submitBody('c1', 0))
  // Accepts connections but never responds, like a frozen process; listed first so that it is polled first.
  const silent = createServer()
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve))
  const place = { ...cluster.nodes.get(nodeId('b'))!, node: nodeId('a') }
  const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`
  const live = [...cluster.nodes]
  cluster.nodes.clear()
  for (const [name, node] of [[nodeId('a'), { ...place, address }] as const, ...live]) cluster.nodes.set(name, node)
  stops.push(() => silent.close())
  const startedAt = performance.now()
  const entry = follow()
  await until(() => entry.keeper.inForce(TRIAL))
  expect(performance.now() - startedAt).toBeLessThan(SILENT_REPLICA_MS)
})

test('a replica that may be behind rejects the request, so that the entry polls another one', async () => {
  const question = { environment: environmentName('trial'), revision: 0n, departurePosition: 0n, confirmed: false }
  const { host } = (await cluster.start('a', { bootstrap: true })).control
  await until(() => cluster.leader())
  expect(await answerFollow(host, question)).toMatchObject({ revision: 0n })
  const behind = { read: host.read.bind(host), state: host.state, isCurrent: () => false }
  await expect(answerFollow(behind, question)).rejects.toThrow('may be behind')
})

test('control rejects requests with fewer voters than the minimum', async () => {
  const only = await cluster.start('a', { bootstrap: true, leastVoters: 3, submitLimitMs: 300 })
  await until(() => cluster.leader())
  expect((await only.control.changes.submit(depart('s1', 7))).kind).toBe('failed')
})
