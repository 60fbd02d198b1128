/** Verifies that entries have an acknowledged evacuation whatever is lost then, and what the operator API does. */
import { setTimeout as sleep } from 'node:timers/promises'
import { failureDomain, nodeId } from '@bilberrystall/base'
import { MAX_EVACUATIONS, applyCommand, emptyState, type EvacuateCommand } from '@bilberrystall/control'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { handleFollow } from '../src/control-delivery'
import { startEntry } from './control-entries'
import { TRIAL_ENVIRONMENT, TestCluster, call, submitBody, waitUntil, type Member } from './control-cluster'

let cluster: TestCluster
const cleanups: (() => unknown)[] = []
let orders = 0

beforeEach(() => {
  cluster = new TestCluster()
})

afterEach(async () => {
  for (const stop of cleanups.splice(0)) await stop()
  await cluster.close()
})

function order(action: 'start' | 'end', domain: string, id = `o${(orders += 1)}`): EvacuateCommand {
  const origin = { at: 0, requester: 'platform', source: '10.0.0.1' }
  return { kind: 'evacuate', ...origin, action, domain: failureDomain(domain), order: id }
}

async function startReplicas(): Promise<Member> {
  await cluster.start('a', { bootstrap: true })
  await waitUntil(() => cluster.leader())
  await cluster.start('b')
  await cluster.start('c')
  const leader = await cluster.waitForVoters()
  expect((await call(leader, '/v1/changes', submitBody('c1', 0))).status).toBe(200)
  return leader
}

async function startEntries(names: readonly string[]) {
  const entries = await Promise.all(names.map((name) => startEntry(cluster, cleanups, name)))
  for (const { documentStore, evacuations } of entries) {
    await waitUntil(() => (documentStore.isReady(TRIAL_ENVIRONMENT) && evacuations.isConfirmed ? true : undefined))
  }
  return entries
}

async function killReplicas(): Promise<void> {
  for (const member of [...cluster.members.values()]) await cluster.kill(member)
}

// Guards against an order that is acknowledged, but known to no live entry once the replicas are lost.
test('an acknowledged order is known to every entry when all replicas are killed right after, and they keep it', async () => {
  const leader = await startReplicas()
  const entries = await startEntries(['e', 'f'])
  expect(await leader.control.changes.submit(order('start', 'north'))).toEqual({ kind: 'recorded' })
  await killReplicas()
  for (const { evacuations } of entries) expect(evacuations.domains).toEqual(['north'])
  await sleep(1_000)
  for (const { evacuations } of entries) expect(evacuations.domains).toEqual(['north'])
})

test('an order and a document that are submitted at the same time through two nodes are both in force', async () => {
  const leader = await startReplicas()
  const [first, second] = await startEntries(['e', 'f'])
  const [ordered, changed] = await Promise.all([
    first!.changes.submit(order('start', 'north')),
    call(leader, '/v1/changes', submitBody('c2', 1)),
  ])
  expect([ordered.kind, changed.status]).toEqual(['recorded', 200])
  for (const { evacuations, documentStore } of [first!, second!]) {
    expect(evacuations.domains).toEqual(['north'])
    expect(documentStore.inForce(TRIAL_ENVIRONMENT)?.revision).toBe(2)
  }
})

test('an entry that starts while a domain is evacuated has the list before it counts it as confirmed', async () => {
  const leader = await startReplicas()
  await leader.control.changes.submit(order('start', 'north'))
  const entry = await startEntry(cluster, cleanups, 'g')
  await waitUntil(() => (entry.evacuations.isConfirmed ? true : undefined))
  expect(entry.evacuations.domains).toEqual(['north'])
})

// Guards against an entry that serves all domains after a restart, because another entry gave it the document.
test('an entry that starts without a majority has a document of another entry at most, and no confirmed list', async () => {
  await startReplicas()
  await startEntries(['e'])
  await killReplicas()
  const entry = await startEntry(cluster, cleanups, 'g')
  await waitUntil(() => (entry.documentStore.floor(TRIAL_ENVIRONMENT) === 1 ? true : undefined))
  expect(entry.evacuations.isConfirmed).toBe(false)
})

test('a new leader keeps the order, and acknowledges a repeated one without a change', async () => {
  const first = await startReplicas()
  const [entry] = await startEntries(['e'])
  await first.control.changes.submit(order('start', 'north'))
  await cluster.kill(first)
  const next = await waitUntil(() => cluster.leader())
  expect(await next.control.changes.submit(order('start', 'north'))).toEqual({ kind: 'recorded' })
  expect(next.control.host.state.evacuationPosition).toBe(1)
  expect(await next.control.changes.submit(order('end', 'north'))).toEqual({ kind: 'recorded' })
  expect(entry?.evacuations.domains).toEqual([])
})

test('an order survives the end of all replicas at once, and entries that start then have it', async () => {
  const leader = await startReplicas()
  await leader.control.changes.submit(order('start', 'north'))
  const folders = [...cluster.members.values()].map(({ name, folder }) => ({ name, folder }))
  await killReplicas()
  for (const { name, folder } of folders) await cluster.start(name, { folder })
  await waitUntil(() => cluster.leader())
  const entry = await startEntry(cluster, cleanups, 'g')
  await waitUntil(() => (entry.evacuations.isConfirmed ? true : undefined))
  expect(entry.evacuations.domains).toEqual(['north'])
})

// The order of the first operator is sent again after a second one ended the evacuation.
test('an attempt of an order that comes late does not take back the opposite order of another operator', async () => {
  const leader = await startReplicas()
  const [entry] = await startEntries(['e'])
  await leader.control.changes.submit(order('start', 'north', 'first'))
  await leader.control.changes.submit(order('end', 'north', 'second'))
  expect(await entry!.changes.submit(order('start', 'north', 'first'))).toEqual({ kind: 'recorded' })
  expect(entry?.evacuations.domains).toEqual([])
})

test('a replica sends the whole list if the position differs, and none if it is equal', async () => {
  const state = emptyState()
  for (const command of [order('start', 'a'), order('start', 'b')]) applyCommand(state, command)
  const host = { read: () => Promise.reject(new Error('not asked for')), state, isCurrent: () => true }
  const query = { environment: TRIAL_ENVIRONMENT, revision: 0n, departurePosition: 0n, confirmed: false }
  const responses = await Promise.all([
    handleFollow(host, query),
    handleFollow(host, { ...query, evacuationPosition: 1n }),
    handleFollow(host, { ...query, evacuationPosition: 2n }),
  ])
  expect(responses.map(({ evacuated, evacuationPosition }) => [evacuated, evacuationPosition])).toEqual([
    [['a', 'b'], 2n],
    [['a', 'b'], 2n],
    [[], 2n],
  ])
})

test('operators start, list and end evacuations, and the audit log names them', async () => {
  const only = await cluster.start('a', { bootstrap: true })
  await waitUntil(() => cluster.leader())
  expect(await call(only, '/v1/evacuations/eu%2F1/start', '')).toEqual({
    status: 200,
    body: { domain: 'eu/1', action: 'start' },
  })
  const listed = await call(only, '/v1/evacuations')
  expect(listed.body).toMatchObject({ domains: [{ domain: 'eu/1', requester: 'asha' }] })
  expect((await call(only, '/v1/evacuations/eu%2F1/end', '')).status).toBe(200)
  expect((await call(only, '/v1/evacuations')).body).toEqual({ domains: [] })
  expect((await call(only, '/v1/evacuations/a%20b/start', '')).status).toBe(400)
  const { records } = (await call(only, '/v1/audit?requester=asha')).body as { records: Record<string, unknown>[] }
  expect(records.map(({ operation, target, result }) => [operation, target, result])).toEqual([
    ['refuse', undefined, 'request-invalid'],
    ['evacuate-end', 'eu/1', 'ok'],
    ['evacuate-start', 'eu/1', 'ok'],
  ])
})

test('an order beyond the number of domains that can be evacuated is refused, also by way of another node', async () => {
  const only = await cluster.start('a', { bootstrap: true })
  await waitUntil(() => cluster.leader())
  const entry = await startEntry(cluster, cleanups, 'e')
  const submit = (domain: string) => only.control.changes.submit(order('start', domain))
  await Promise.all(Array.from({ length: MAX_EVACUATIONS }, (_, index) => submit(`d${index}`)))
  expect((await call(only, '/v1/evacuations/one-more/start', '')).status).toBe(409)
  await waitUntil(() => cluster.nodes.get(nodeId('a')))
  expect(await entry.changes.submit(order('start', 'one-more'))).toMatchObject({
    kind: 'failed',
    failure: { code: 'evacuationLimit' },
  })
})
