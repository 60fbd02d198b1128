/**
 * Guards against an early renewal of the lease that starts a second cycle of renewals or is lost, and against keys that
 * are accepted or refused against what the renewals of a node say.
 */
import { environmentName, nodeId, revision } from '@bilberrystall/base'
import { documentDigest } from '@bilberrystall/document'
import type * as os from 'node:os'
import { expect, onTestFinished, test, vi } from 'vitest'
import { ControlClient } from '../src/control-client'
import { LeaseClient, type LeaseClientOptions } from '../src/control-lease'
import { DocumentStore } from '../src/document-store'
import { Metrics } from '../src/metrics'
import type { NodeContext } from '../src/node-context'

const ENVIRONMENT = environmentName('trial')
const REPLICA = { node: nodeId('a'), address: '10.0.0.1:1' }
const TEXT =
  '[document]\ntitle = test\n[service.a]\n[route.a]\nservice = a\npath = /\n[organisation.north]\nkeys = k1\n'

// The clock since boot goes on with the time of the test.
vi.mock('node:os', async (original) => ({
  ...(await original<typeof os>()),
  uptime: () => performance.now() / 1000,
}))

/** Answers lease requests when the test says so. */
class FakeLeader {
  readonly pending: (() => void)[] = []
  requests = 0
  revision = 1n

  readonly clients = { client: () => ({ lease: () => this.#lease() }) }

  async answer(): Promise<void> {
    this.pending.shift()?.()
    await vi.advanceTimersByTimeAsync(0)
  }

  #lease() {
    this.requests += 1
    return new Promise((resolve) => {
      this.pending.push(() => {
        const response = { notLeader: false, rosterVersion: 0n, roster: [], grants: [], drain: false }
        resolve({ ...response, revision: this.revision, digest: '' })
      })
    })
  }
}

const contacts = {
  candidates: () => [REPLICA],
  addressOf: () => REPLICA.address,
  learn: () => undefined,
  live: () => [],
  known: () => [],
  seeds: () => [],
}

function useFakeTime(): void {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date'] })
  onTestFinished(() => {
    vi.useRealTimers()
  })
}

function makeLeaseClient() {
  useFakeTime()
  const leader = new FakeLeader()
  const client = new LeaseClient({
    node: nodeId('entry'),
    environment: ENVIRONMENT,
    incarnations: () => [1],
    clients: leader.clients as unknown as LeaseClientOptions['clients'],
    contacts: contacts as unknown as LeaseClientOptions['contacts'],
    tokenDemands: () => [],
    onLease: () => undefined,
    wallClock: () => Date.now(),
    now: () => performance.now(),
  })
  onTestFinished(() => {
    client.stop()
  })
  return { leader, client }
}

test('an early renewal replaces the next regular one', async () => {
  const { leader, client } = makeLeaseClient()
  client.renewNow()
  expect(leader.requests).toBe(0)
  client.start()
  await leader.answer()
  client.renewNow()
  expect(leader.requests).toBe(2)
  await leader.answer()
  await vi.advanceTimersByTimeAsync(60_000)
  expect(leader.pending).toHaveLength(1)
  expect(leader.requests).toBe(3)
})

test('an early renewal during another one is sent after it, once', async () => {
  const { leader, client } = makeLeaseClient()
  client.start()
  client.renewNow()
  client.renewNow()
  expect(leader.requests).toBe(1)
  await leader.answer()
  expect(leader.requests).toBe(2)
  await leader.answer()
  expect(leader.requests).toBe(2)
})

test('an entry accepts keys once a lease confirms the revision of its document, and until a newer one is read', async () => {
  useFakeTime()
  const leader = new FakeLeader()
  const documentStore = new DocumentStore()
  const log = { info: vi.fn(), warn: vi.fn(), error: vi.fn() }
  const context = {
    self: nodeId('entry'),
    settings: { failureDomain: 'north' },
    clients: leader.clients,
    contacts: { ...contacts, candidates: () => [REPLICA] },
    directory: { nodes: new Map(), incarnations: [1] },
    metrics: new Metrics(),
    log,
    now: () => performance.now(),
    wallClock: () => Date.now(),
  }
  const client = new ControlClient({
    context: context as unknown as NodeContext,
    environment: ENVIRONMENT,
    documentStore,
    tokens: { add: () => undefined } as never,
    keyRevocation: { revokeMs: 5_000 },
    onDocument: () => undefined,
    onDrain: () => undefined,
    onDepartures: () => undefined,
  })
  const publish = (number: number) => {
    const document = { environment: ENVIRONMENT, revision: revision(number), digest: documentDigest(TEXT), text: TEXT }
    documentStore.offer({ ...document, version: 0, source: 'replica' })
    documentStore.confirm(ENVIRONMENT, document.revision, performance.now())
  }
  onTestFinished(() => {
    client.stop()
  })
  publish(1)
  expect(client.areKeysConfirmed()).toBe(false)
  client.start()
  await leader.answer()
  expect(client.areKeysConfirmed()).toBe(true)
  leader.revision = 2n
  while (leader.pending.length === 0) await vi.advanceTimersByTimeAsync(500)
  await leader.answer()
  expect(client.areKeysConfirmed()).toBe(false)
  publish(2)
  expect(client.areKeysConfirmed()).toBe(true)
})
