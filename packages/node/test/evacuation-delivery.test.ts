/** Verifies which entries the acknowledgement of an evacuation order waits for. The responses of the entries are played. */
import { setTimeout as sleep } from 'node:timers/promises'
import { environmentName, failureDomain, nodeId, revision, toDigest, type NodeId } from '@bilberrystall/base'
import { applyCommand, emptyState, sha256 } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import { expect, onTestFinished, test } from 'vitest'
import { ChangeDelivery } from '../src/change-delivery'
import { decodeEvacuations } from '../src/evacuations'
import { relayNotification, type RelayedNotification } from '../src/notification-relay'

const ENVIRONMENT = environmentName('production')
/** Time that an order waits for an entry. */
const LIMIT_MS = 2_000
/** Several times what an acknowledgement takes here, and a fraction of the limit. */
const PROMPT_MS = 1_000

/**
 * - `earlier`: a build that knows no evacuations and drops the fields of them.
 * - `slow`: confirms after half a second.
 */
type Behaviour = 'current' | 'earlier' | 'slow' | 'frozen'

function entryNode(name: string): Node {
  const place = { failureDomain: failureDomain('north'), region: 'default', environment: ENVIRONMENT }
  const rest = { state: 'serving' as const, disk: '', documents: [], ejected: [] }
  return { node: nodeId(name), roles: ['entry'], address: name, ...place, ...rest }
}

function startDelivery(behaviours: Readonly<Record<string, Behaviour>>) {
  const names = Object.keys(behaviours)
  const nodes = new Map<NodeId, Node>(names.map((name) => [nodeId(name), entryNode(name)]))
  const starts = new Map<NodeId, number>(names.map((name) => [nodeId(name), 1]))
  const state = emptyState()
  const lists = new Map<string, { position: number; domains: readonly string[]; revision: number }>()
  const sentByLeader: string[] = []
  const receive = async (address: string, request: RelayedNotification): Promise<unknown> => {
    const behaviour = behaviours[address]
    if (behaviour === 'frozen') return new Promise(() => undefined)
    if (behaviour === 'slow') await sleep(500)
    const { revision: notified, departurePosition, evacuated, evacuationPosition, ...rest } = request
    const position = { revision: notified, departurePosition }
    if (behaviour === 'earlier') {
      const known = { ...rest, ...position, evacuated: [], evacuationPosition: 0n }
      const members = await relayNotification(known, clientsOf())
      return { ...position, evacuationPosition: 0n, members }
    }
    lists.set(address, { ...decodeEvacuations({ evacuated, evacuationPosition }), revision: Number(notified) })
    return { ...position, evacuationPosition, members: await relayNotification(request, clientsOf()) }
  }
  const clientsOf = (onSent: (address: string) => void = () => undefined) =>
    ({
      client: (_: unknown, address: string) => ({
        notify: (request: Partial<RelayedNotification>, { timeoutMs }: { timeoutMs: number }) => {
          onSent(address)
          const late = sleep(timeoutMs, undefined, { ref: false }).then(() => Promise.reject(new Error('late')))
          return Promise.race([receive(address, { members: [], ...request } as RelayedNotification), late])
        },
      }),
    }) as unknown as RpcClients
  const delivery = new ChangeDelivery({
    self: nodeId('leader'),
    cluster: { nodes, startOf: (node) => starts.get(node) },
    clients: clientsOf((address) => sentByLeader.push(address)),
    state: () => state,
    isLeader: () => true,
    now: () => performance.now(),
  })
  onTestFinished(() => {
    delivery.stop()
  })
  const deliver = async (position: Partial<Parameters<typeof delivery.deliver>[0]>) => {
    const startedAt = performance.now()
    const report = await delivery.deliver({ environment: undefined, revision: 0, departurePosition: 0, ...position })
    return { ...report, ms: performance.now() - startedAt }
  }
  const order = (action: 'start' | 'end', domain: string) => {
    const origin = { at: 1, requester: 'asha', source: '10.0.0.1', order: `${action}-${domain}-${performance.now()}` }
    applyCommand(state, { kind: 'evacuate', ...origin, action, domain: failureDomain(domain) })
    return deliver({ evacuationPosition: state.evacuationPosition })
  }
  const putDocument = (next: number) => {
    const text = `document ${next}`
    const document = { revision: revision(next), digest: toDigest(sha256(text)), text, at: 1, requester: 'asha' }
    state.environments.set(ENVIRONMENT, [{ ...document, changeId: `c${next}` }])
    return deliver({ environment: ENVIRONMENT, revision: next })
  }
  return { lists, starts, sentByLeader, order, putDocument }
}

const fleet = (count: number, behaviour: Behaviour = 'current') =>
  Object.fromEntries(Array.from({ length: count }, (_, index) => [`e${index + 10}`, behaviour]))

// Guards against an order that is acknowledged while a live entry still sends to the domain.
test('an order waits until every live entry has the whole list', async () => {
  const { lists, order } = startDelivery({ e: 'current', f: 'slow' })
  expect(await order('start', 'a')).toMatchObject({ entries: 2, unconfirmed: [] })
  expect(await order('start', 'b')).toMatchObject({ entries: 2, unconfirmed: [] })
  expect([...lists.values()].map(({ domains }) => domains)).toEqual([
    ['a', 'b'],
    ['a', 'b'],
  ])
})

test('an order waits 2 s for a frozen entry and names it', async () => {
  const { order } = startDelivery({ e: 'current', f: 'frozen' })
  const { unconfirmed, ms } = await order('start', 'a')
  expect(unconfirmed).toEqual(['f'])
  expect(ms).toBeGreaterThan(LIMIT_MS - 100)
  expect(ms).toBeLessThan(LIMIT_MS + PROMPT_MS)
})

// Guards against orders that take 2 s, and entries that are notified for ever, in the middle of an upgrade.
test('an entry of an earlier build is named, but delays no order and is notified once for each', async () => {
  const { order, sentByLeader } = startDelivery({ e: 'current', f: 'earlier' })
  for (const domain of ['a', 'b']) {
    const { unconfirmed, ms } = await order('start', domain)
    expect(unconfirmed).toEqual(['f'])
    expect(ms).toBeLessThan(PROMPT_MS)
  }
  await sleep(LIMIT_MS)
  expect(sentByLeader.filter((name) => name === 'f').length).toBeLessThanOrEqual(2)
})

test('an entry of an earlier build that is replaced by one of this build confirms again', async () => {
  const behaviours: Record<string, Behaviour> = { e: 'current', f: 'earlier' }
  const { order, starts } = startDelivery(behaviours)
  await order('start', 'a')
  behaviours.f = 'current'
  starts.set(nodeId('f'), 2)
  expect(await order('start', 'b')).toMatchObject({ unconfirmed: [] })
})

// Guards against a change that the notification of an order leaves out, and against documents that wait for orders.
test('a document and an order at the same time reach every entry, each with its own acknowledgement', async () => {
  const { lists, order, putDocument } = startDelivery({ e: 'current', f: 'earlier', g: 'slow' })
  const [ordered, put] = await Promise.all([order('start', 'a'), putDocument(1)])
  expect([ordered.unconfirmed, put.unconfirmed]).toEqual([['f'], []])
  for (const name of ['e', 'g']) expect(lists.get(name)).toEqual({ position: 1, domains: ['a'], revision: 1 })
})

test('an order reaches the members of a relayed notification', async () => {
  const { lists, order, sentByLeader } = startDelivery(fleet(30))
  expect(await order('start', 'a')).toMatchObject({ entries: 30, unconfirmed: [] })
  expect(lists.size).toBe(30)
  expect(sentByLeader.length).toBeLessThan(20)
  expect(await order('end', 'a')).toMatchObject({ unconfirmed: [] })
  for (const { domains } of lists.values()) expect(domains).toEqual([])
})

// Guards against members that a relay of an earlier build leaves without the list.
test('members behind relays of an earlier build are notified by the leader', async () => {
  const relays = ['e10', 'e15', 'e20', 'e25', 'e30', 'e35']
  const behaviours = Object.fromEntries(
    Object.keys(fleet(30)).map((name): [string, Behaviour] => [name, relays.includes(name) ? 'earlier' : 'current']),
  )
  const { lists, order } = startDelivery(behaviours)
  const { unconfirmed, ms } = await order('start', 'a')
  expect(unconfirmed).toEqual(relays.filter((name) => name in behaviours))
  expect(lists.size).toBe(30 - unconfirmed.length)
  for (const { domains } of lists.values()) expect(domains).toEqual(['a'])
  expect(ms).toBeLessThan(PROMPT_MS)
})
