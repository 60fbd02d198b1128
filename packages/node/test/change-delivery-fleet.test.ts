/** Verifies what an acknowledgement costs the leader of a large fleet, and how long it waits. The entries are played. */
import { setTimeout as sleep } from 'node:timers/promises'
import { environmentName, failureDomain, nodeId, type NodeId } from '@bilberrystall/base'
import { emptyState } from '@bilberrystall/control'
import type { Node } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import { expect, onTestFinished, test } from 'vitest'
import { ChangeDelivery } from '../src/change-delivery'
import { relayNotification, type RelayedNotification } from '../src/notification-relay'

const ENTRIES = 124
const DOMAINS = 6
const ENVIRONMENT = environmentName('production')
/** Time within which a valid change must be acknowledged while no entry is lost. */
const ACKNOWLEDGEMENT_MS = 1_000
/** Time within which a change must be in force. */
const IN_FORCE_LIMIT_MS = 2_000

type Behaviour = 'confirms' | 'silent' | 'refuses' | 'ignores-members'

const refused = new ConnectError(
  'refused',
  Code.Unavailable,
  undefined,
  undefined,
  Object.assign(new Error(), { code: 'ECONNREFUSED' }),
)

function entryNode(index: number): Node {
  const name = `e${index}`
  const place = {
    failureDomain: failureDomain(`domain-${index % DOMAINS}`),
    region: 'default',
    environment: ENVIRONMENT,
  }
  const rest = { state: 'serving' as const, disk: '', documents: [], ejected: [] }
  return { node: nodeId(name), roles: ['entry'], address: name, ...place, ...rest }
}

/** Delivery to a fleet of entries that relay notifications as real ones do. Each commit is a departure. */
function startFleet() {
  const nodes = new Map<NodeId, Node>()
  const starts = new Map<NodeId, number>()
  for (let index = 0; index < ENTRIES; index += 1) {
    const node = entryNode(index)
    nodes.set(node.node, node)
    starts.set(node.node, 1)
  }
  const behaviours = new Map<string, Behaviour>()
  const sentByLeader: string[] = []
  const state = { ...emptyState(), departurePosition: 0 }
  const receive = async (address: string, request: RelayedNotification): Promise<unknown> => {
    const behaviour = behaviours.get(address) ?? 'confirms'
    if (behaviour === 'silent') return new Promise(() => undefined)
    if (behaviour === 'refuses') throw refused
    await sleep(1)
    const members = behaviour === 'ignores-members' ? [] : await relayNotification(request, clientsOf())
    return { revision: 0n, departurePosition: request.departurePosition, members }
  }
  const limited = (promise: Promise<unknown>, timeoutMs: number) =>
    Promise.race([
      promise,
      sleep(timeoutMs, undefined, { ref: false }).then(() => {
        throw new ConnectError('late', Code.DeadlineExceeded)
      }),
    ])
  const clientsOf = (onSent: (address: string) => void = () => undefined) =>
    ({
      client: (_: unknown, address: string) => ({
        notify: (request: Partial<RelayedNotification>, { timeoutMs }: { timeoutMs: number }) => {
          onSent(address)
          return limited(receive(address, { members: [], ...request } as RelayedNotification), timeoutMs)
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
  const commit = async () => {
    state.departurePosition += 1
    const startedAt = performance.now()
    const position = { environment: undefined, revision: 0, departurePosition: state.departurePosition }
    const { unconfirmed } = await delivery.deliver(position)
    return { unconfirmed, ms: performance.now() - startedAt }
  }
  return { behaviours, sentByLeader, starts, commit }
}

// Guards against a leader that is busy with the notification of each entry while the changes after this one wait.
test('the leader sends a change to some entries, and those to the others', async () => {
  const { commit, sentByLeader } = startFleet()
  expect((await commit()).unconfirmed).toEqual([])
  expect(sentByLeader.length).toBeLessThanOrEqual(2 * Math.ceil(Math.sqrt(ENTRIES)))
})

test.each(['silent', 'refuses', 'ignores-members'] as const)(
  'a change reaches the entries behind a relay that %s',
  async (behaviour) => {
    const { behaviours, commit, sentByLeader } = startFleet()
    await commit()
    const [relay = ''] = sentByLeader
    behaviours.set(relay, behaviour)
    const { unconfirmed } = await commit()
    expect(unconfirmed).toEqual(behaviour === 'ignores-members' ? [] : [relay])
    sentByLeader.length = 0
    const { ms } = await commit()
    expect(ms).toBeLessThan(ACKNOWLEDGEMENT_MS)
    expect(sentByLeader.length).toBeLessThanOrEqual(3 * Math.ceil(Math.sqrt(ENTRIES)))
  },
)

// Guards against a change that waits for each of the entries that restart one after the other.
test('entries that restart one after the other delay a change as long as one', async () => {
  const { behaviours, commit, starts } = startFleet()
  await commit()
  for (const name of ['e1', 'e2', 'e3']) behaviours.set(name, 'silent')
  const change = commit()
  for (const name of ['e1', 'e2', 'e3']) {
    await sleep(IN_FORCE_LIMIT_MS / 2)
    starts.set(nodeId(name), 2)
  }
  const { ms } = await change
  expect(ms).toBeLessThan(IN_FORCE_LIMIT_MS + ACKNOWLEDGEMENT_MS / 2)
})

// Guards against a leader whose event loop is busy with many departures at once, beside an entry that has just ended.
test('departures of many servers at once are acknowledged in time beside an entry whose process has ended', async () => {
  const { behaviours, commit, sentByLeader } = startFleet()
  await commit()
  behaviours.set('e1', 'refuses')
  sentByLeader.length = 0
  const acknowledged = await Promise.all(Array.from({ length: 65 }, commit))
  expect(Math.max(...acknowledged.map(({ ms }) => ms))).toBeLessThan(ACKNOWLEDGEMENT_MS)
  expect(sentByLeader.length).toBeLessThanOrEqual(4 * Math.ceil(Math.sqrt(ENTRIES)))
})
