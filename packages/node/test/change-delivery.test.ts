/** Verifies for which entries, and for how long, an acknowledgement waits. The responses of the entries are controlled. */
import { setTimeout as sleep } from 'node:timers/promises'
import { environmentName, failureDomain, nodeId } from '@bilberrystall/base'
import { emptyState } from '@bilberrystall/control'
import type { RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import { expect, onTestFinished, test } from 'vitest'
import { ChangeDelivery } from '../src/change-delivery'

/** Time within which a change must be in force. */
const IN_FORCE_LIMIT_MS = 2_000
/** Half of that, and several times the polling interval of an entry. */
const SLOW_RESPONSE_MS = 1_000
const CHANGES = 4

type Response = () => Promise<{ revision: bigint; departurePosition: bigint }>

/** Delivery to the entries e and f. Each commit is a departure. */
function startDelivery(responses: { readonly e?: Response; readonly f?: Response } = {}) {
  const starts = new Map([
    ['e', 1],
    ['f', 1],
  ])
  const nodes = [...starts.keys()].map((name) => ({
    node: nodeId(name),
    roles: ['entry' as const],
    address: name,
    failureDomain: failureDomain('north'),
    region: 'default',
    environment: environmentName('production'),
    state: 'serving' as const,
    disk: '',
    documents: [],
    ejected: [],
  }))
  const byName = new Map(nodes.map((node) => [node.node, node]))
  const notified: string[] = []
  const state = { ...emptyState(), departurePosition: 0 }
  const confirm: Response = () => Promise.resolve({ revision: 0n, departurePosition: BigInt(state.departurePosition) })
  const notify = (name: string) => {
    notified.push(name)
    return (responses[name as 'e' | 'f'] ?? confirm)()
  }
  const client = (_: unknown, address: string) => ({ notify: () => notify(address) })
  const delivery = new ChangeDelivery({
    self: nodeId('a'),
    cluster: { nodes: byName, startOf: (node) => starts.get(node) },
    clients: { client } as unknown as RpcClients,
    state: () => state,
    isLeader: () => true,
    now: () => performance.now(),
  })
  onTestFinished(() => {
    delivery.stop()
  })
  const commit = () => {
    state.departurePosition += 1
    return delivery.deliver({ environment: undefined, revision: 0, departurePosition: state.departurePosition })
  }
  return { delivery, notified, nodes: byName, state, starts, confirm, commit }
}

const refused = new ConnectError(
  'refused',
  Code.Unavailable,
  undefined,
  undefined,
  Object.assign(new Error(), { code: 'ECONNREFUSED' }),
)

// Guards against acknowledgements that do not wait for entries of a busy machine.
test('a change waits for a slow entry', async () => {
  const { commit, state } = startDelivery({
    f: async () => {
      const departurePosition = BigInt(state.departurePosition)
      await sleep(SLOW_RESPONSE_MS)
      return { revision: 0n, departurePosition }
    },
  })
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
})

// Guards against an entry that is left out after one notification was lost or came too early.
test.each([
  ['fails', () => Promise.reject(new ConnectError('reset', Code.Unavailable))],
  ['finds no current replica', () => Promise.resolve({ revision: 0n, departurePosition: 0n })],
])('a notification that %s is repeated until the entry confirms it', async (_, failed) => {
  const responses: Response[] = [failed, failed]
  const { commit, confirm } = startDelivery({ f: () => (responses.shift() ?? confirm)() })
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
})

test('a change does not wait for an entry whose process has ended, and the next one notifies its successor', async () => {
  let isListening = false
  const { commit, confirm, starts } = startDelivery({
    f: () => (isListening ? confirm() : Promise.reject(refused)),
  })
  const first = commit()
  expect(await Promise.race([first, sleep(SLOW_RESPONSE_MS, 'late')])).toEqual({ entries: 2, unconfirmed: ['f'] })
  isListening = true
  starts.set('f', 2)
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
})

// Guards against a series of changes, or one that is sent again, each of which waits for the same frozen entry.
test('changes wait for a frozen entry for 2 s in all', async () => {
  const { commit, delivery, state } = startDelivery({ f: () => new Promise(() => undefined) })
  const startedAt = performance.now()
  const first = commit()
  await sleep(SLOW_RESPONSE_MS)
  const sentAgain = delivery.deliver({
    environment: undefined,
    revision: 0,
    departurePosition: state.departurePosition,
  })
  expect(await Promise.all([first, sentAgain])).toEqual([
    { entries: 2, unconfirmed: ['f'] },
    { entries: 2, unconfirmed: ['f'] },
  ])
  expect(performance.now() - startedAt).toBeLessThan(IN_FORCE_LIMIT_MS + SLOW_RESPONSE_MS)
  expect(await Promise.race([commit(), sleep(SLOW_RESPONSE_MS, 'late')])).toEqual({ entries: 2, unconfirmed: ['f'] })
})

// Guards against an entry that is left out for good after it was frozen once.
test('changes wait again for an entry that has confirmed one late', async () => {
  let thaw: () => void = () => undefined
  const frozen = new Promise<void>((resolve) => (thaw = resolve))
  const { commit, confirm } = startDelivery({
    f: async () => {
      await frozen
      const confirmed = await confirm()
      await sleep(SLOW_RESPONSE_MS)
      return confirmed
    },
  })
  expect(await commit()).toEqual({ entries: 2, unconfirmed: ['f'] })
  thaw()
  await sleep(2 * SLOW_RESPONSE_MS)
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
})

// Guards against an entry of an earlier build, which may never confirm a change, that is notified ten times a second.
test('an entry that does not confirm a change in time is notified once a second', async () => {
  const { commit, notified } = startDelivery({
    f: () => Promise.resolve({ revision: 0n, departurePosition: 0n }),
  })
  expect(await commit()).toEqual({ entries: 2, unconfirmed: ['f'] })
  const count = notified.length
  await sleep(3 * SLOW_RESPONSE_MS)
  expect(notified.length - count).toBeGreaterThan(0)
  expect(notified.length - count).toBeLessThanOrEqual(4)
})

// Guards against a leader that connects to an ended process without a pause while it waits for another entry.
test('an entry whose process has ended is not notified without a pause', async () => {
  const { commit, notified } = startDelivery({
    e: () => Promise.reject(refused),
    f: () => new Promise(() => undefined),
  })
  await commit()
  expect(notified.filter((name) => name === 'e').length).toBeLessThanOrEqual(IN_FORCE_LIMIT_MS / 100)
})

test('a process that replaced another one has confirmed nothing', async () => {
  const { commit, delivery, notified, state, starts } = startDelivery()
  await commit()
  starts.set('f', 2)
  await delivery.deliver({ environment: undefined, revision: 0, departurePosition: state.departurePosition })
  expect(notified).toEqual(['e', 'f', 'f'])
})

test('changes that are committed during a notification share the next one', async () => {
  const pending: (() => void)[] = []
  const respond: Response = () =>
    new Promise((resolve) => {
      const departurePosition = BigInt(state.departurePosition)
      pending.push(() => {
        resolve({ revision: 0n, departurePosition })
      })
    })
  const { commit, notified, state } = startDelivery({ e: respond, f: respond })
  const changes = Array.from({ length: CHANGES }, commit)
  while (notified.length < 4 || pending.length > 0) {
    pending.shift()?.()
    await new Promise((resolve) => setImmediate(resolve))
  }
  await Promise.all(changes)
  expect(notified).toEqual(['e', 'f', 'e', 'f'])
})

/** Puts both entries into the roster and takes one of them out of the directory. */
function startWithUnknownEntry() {
  const started = startDelivery()
  const f = started.nodes.get(nodeId('f'))
  if (f === undefined) throw new Error('the entry is missing')
  const entries = [...started.nodes.values()].map(({ node, failureDomain: domain }) => ({
    node,
    failureDomain: domain,
  }))
  started.state.roster = [{ epoch: 1, effectiveFrom: 0, standing: 'sealed', entries }]
  started.nodes.delete(f.node)
  return { ...started, f }
}

// Guards against a leader that has just started, knows few entries, and acknowledges a change that the others do not have.
test('a change waits for an entry of the roster that the leader does not know yet', async () => {
  const { commit, nodes, f } = startWithUnknownEntry()
  const first = commit()
  expect(await Promise.race([first, sleep(SLOW_RESPONSE_MS, 'waits')])).toBe('waits')
  nodes.set(f.node, f)
  expect(await first).toEqual({ entries: 2, unconfirmed: [] })
})

test('changes wait for an entry of the roster that does not join for 2 s in all', async () => {
  const { commit } = startWithUnknownEntry()
  const startedAt = performance.now()
  expect(await commit()).toEqual({ entries: 2, unconfirmed: ['f'] })
  expect(performance.now() - startedAt).toBeLessThan(IN_FORCE_LIMIT_MS + SLOW_RESPONSE_MS)
  const second = commit()
  expect(await Promise.race([second, sleep(SLOW_RESPONSE_MS, 'late')])).toEqual({ entries: 2, unconfirmed: ['f'] })
})

test('a change does not wait for an entry of the roster that the leader knew and that has left', async () => {
  const { commit, nodes, f } = startWithUnknownEntry()
  nodes.set(f.node, f)
  expect(await commit()).toEqual({ entries: 2, unconfirmed: [] })
  nodes.delete(f.node)
  expect(await Promise.race([commit(), sleep(SLOW_RESPONSE_MS, 'late')])).toEqual({ entries: 1, unconfirmed: [] })
})
