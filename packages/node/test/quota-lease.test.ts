/** Shares of quotas in leases, without a network: the server side with a replica that always reads, the client alone. */
import { err, ok } from 'neverthrow'
import { expect, onTestFinished, test, vi } from 'vitest'
import { failure, nodeId, replicaId, revision } from '@bilberrystall/base'
import type { Status } from '@bilberrystall/consensus'
import { applyCommand, emptyState } from '@bilberrystall/control'
import type { Node, Server } from '@bilberrystall/membership'
import type { RpcClients } from '@bilberrystall/rpc'
import { ControlContacts } from '../src/control-contacts'
import { FAST_LEASE_TIMES, LeaseClient, type LeaseTimes } from '../src/control-lease'
import { LeaseServer } from '../src/control-lease-server'
import { EntryClocks } from '../src/entry-clocks'
import { TRIAL_ENVIRONMENT } from './control-cluster'

const BOUNDS = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const RATE = 10

function documentText(organisations: string): string {
  return `[document]\ntitle = t\n[service.a]\n[route.a]\nservice = a\n${organisations}`
}

class FakeLeader {
  time = 0
  role: Status['role'] = 'leader'
  majority = true
  current = true
  readonly state = emptyState()
  readonly server: LeaseServer
  #revision = 0

  constructor() {
    this.submit(`[organisation.north]\nkeys = k1\nrate = ${RATE}\nburst = 5\n[organisation.open]\nkeys = k2\n`)
    const status = () => ({ role: this.role, leader: replicaId('other/1') }) as unknown as Status
    const read = () => Promise.resolve(this.majority ? ok() : err(failure('noQuorum')))
    this.server = new LeaseServer({
      clocks: new EntryClocks(),
      host: { status, read, state: this.state, isCurrent: () => this.current },
      directory: { nodes: new Map<Node['node'], Node>(), servers: new Map<string, Server>() },
      quotaBounds: BOUNDS,
      now: () => this.time,
    })
    this.server.setLeader(true)
    this.time = 10_000
  }

  submit(organisations: string): void {
    const text = documentText(organisations)
    const changeId = `c${this.#revision}`
    const origin = { at: 1, requester: 'asha', source: '10.0.0.1', changeId, environment: TRIAL_ENVIRONMENT }
    const baseRevision = revision(this.#revision)
    applyCommand(this.state, { kind: 'submit', ...origin, baseRevision, content: { validity: 'valid', text } })
    this.#revision += 1
  }

  async request(node: string, organisation: string, demandPerS: number, quotasOnly = false) {
    this.time += 100
    const held = { heldPerS: 0, heldBurst: 0, tokens: 0, waiting: 0, returned: 0 }
    const quota = { $typeName: 'bilberrystall.v1.QuotaDemand' as const, organisation, demandPerS, ...held }
    const process = { node, environment: TRIAL_ENVIRONMENT, start: 0n, clock: 0n }
    const request = {
      ...process,
      rosterVersion: 0n,
      measuring: [],
      quotas: [quota],
      quotaSequence: BigInt(this.time),
      quotasOnly,
    }
    return await this.server.lease(request)
  }
}

test('a lease contains shares of organisations with a limit, in total at most the rate', async () => {
  const leader = new FakeLeader()
  let total = 0
  for (const node of ['e', 'f', 'g']) {
    const { quotas } = (await leader.request(node, 'north', 20))._unsafeUnwrap()
    total += quotas[0]?.ratePerS ?? 0
  }
  expect(total).toBeGreaterThan(RATE * 0.9)
  expect(total).toBeLessThanOrEqual(RATE)
  expect(leader.server.allocatedRate).toBeCloseTo(total)
  expect((await leader.request('e', 'open', 20))._unsafeUnwrap().quotas).toEqual([])
  expect((await leader.request('e', 'unknown', 20))._unsafeUnwrap().quotas).toEqual([])
})

// Guards against a replaced leader that allocates what its successor has allocated already.
test('a leader without a majority and a follower allocate nothing', async () => {
  const leader = new FakeLeader()
  leader.majority = false
  expect((await leader.request('e', 'north', 20)).isErr()).toBe(true)
  leader.majority = true
  leader.role = 'follower'
  expect((await leader.request('e', 'north', 20))._unsafeUnwrap()).toMatchObject({ notLeader: true, quotas: [] })
})

// Guards against a round of messages between replicas for each request of an entry whose share is used up.
test('a leader with recent contact to a majority gives shares alone without a read', async () => {
  const leader = new FakeLeader()
  leader.majority = false
  const shares = (await leader.request('e', 'north', 20, true))._unsafeUnwrap()
  expect(shares).toMatchObject({ notLeader: false, revision: 0n, quotas: [{ organisation: 'north' }] })
  leader.current = false
  expect((await leader.request('e', 'north', 20, true)).isErr()).toBe(true)
})

test('a leader uses the limit of the document in force, and none of a removed organisation', async () => {
  const leader = new FakeLeader()
  await leader.request('e', 'north', 50)
  leader.submit('[organisation.north]\nkeys = k1\nrate = 1\n')
  leader.time += 10_000
  expect((await leader.request('e', 'north', 50))._unsafeUnwrap().quotas[0]?.ratePerS).toBeLessThanOrEqual(1)
  leader.submit('[organisation.south]\nkeys = k1\nrate = 1\n')
  expect((await leader.request('e', 'north', 50))._unsafeUnwrap().quotas).toEqual([])
})

test('a leader that is elected again gives no new shares for a window', async () => {
  const leader = new FakeLeader()
  leader.server.setLeader(false)
  expect(leader.server.allocatedRate).toBe(0)
  leader.server.setLeader(true)
  expect((await leader.request('e', 'north', 20))._unsafeUnwrap().quotas[0]).toMatchObject({ ratePerS: 0, tokens: 0 })
})

/** A client whose requests are answered at once; returns the times at which it sent them. */
function startClient(times: () => LeaseTimes, succeeds = () => true) {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
  const sentAt: number[] = []
  const timeouts: (number | undefined)[] = []
  const response = {
    notLeader: false,
    leader: '',
    leaderAddress: '',
    revision: 1n,
    digest: '',
    rosterVersion: 0n,
    roster: [],
    grants: [],
    drain: false,
    quotas: [{ organisation: 'north', ratePerS: 1, burst: 1, tokens: 1, validForMs: 3_000 }],
  }
  const lease = (_request: unknown, { timeoutMs }: { timeoutMs?: number }) => {
    sentAt.push(Math.round(performance.now()) - startedAt)
    timeouts.push(timeoutMs)
    return succeeds() ? Promise.resolve(response) : Promise.reject(new Error('no response'))
  }
  const clients = { client: () => ({ lease }) } as unknown as RpcClients
  const now = () => performance.now()
  const startedAt = Math.round(now())
  const self = nodeId('e')
  const control = { node: nodeId('c'), roles: ['control'], address: '127.0.0.1:1', failureDomain: 'north' }
  const nodes = new Map([[control.node, control as unknown as Node]])
  const applied: number[] = []
  const client = new LeaseClient({
    node: self,
    environment: TRIAL_ENVIRONMENT,
    incarnations: () => [0],
    clients,
    contacts: new ControlContacts({ self, cluster: { nodes }, seeds: () => [], now }),
    tokenDemands: () => [],
    onLease: () => undefined,
    times,
    quotas: {
      statement: () => ({ quotaSequence: 1n, quotas: [] }),
      apply: (shares) => applied.push(shares.length),
    },
    wallClock: () => 0,
    now,
  })
  client.start()
  onTestFinished(() => {
    client.stop()
    vi.useRealTimers()
  })
  return { client, sentAt, timeouts, applied }
}

test('leases are renewed every second with a timeout of 500 ms where the document requires keys', async () => {
  const { sentAt, timeouts, applied } = startClient(() => FAST_LEASE_TIMES)
  await vi.advanceTimersByTimeAsync(2_500)
  expect(sentAt).toEqual([0, 1_000, 2_000])
  expect(timeouts).toEqual([500, 500, 500])
  expect(applied).toEqual([1, 1, 1])
})

test('a lease is renewed at once when a share is used up, at most every 100 ms', async () => {
  const { client, sentAt } = startClient(() => FAST_LEASE_TIMES)
  await vi.advanceTimersByTimeAsync(500)
  for (let step = 0; step < 30; step += 1) {
    client.requestShares()
    await vi.advanceTimersByTimeAsync(10)
  }
  expect(sentAt).toEqual([0, 500, 600, 700, 800])
  await vi.advanceTimersByTimeAsync(1_100)
  expect(sentAt.slice(5)).toEqual([1_000])
})

// Guards against requests every 100 ms from all entries to control nodes that do not respond.
test('a lease that cannot be renewed is requested again after 200 ms, however often a share is used up', async () => {
  const { client, sentAt } = startClient(
    () => FAST_LEASE_TIMES,
    () => false,
  )
  for (let step = 0; step < 50; step += 1) {
    await vi.advanceTimersByTimeAsync(10)
    client.requestShares()
  }
  expect(sentAt).toEqual([0, 200, 400])
})
