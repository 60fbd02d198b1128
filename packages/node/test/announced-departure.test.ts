/** Guards against a server that was told that its departure is known and still gets calls from other entries. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { startNode, type RunningNode, type Settings } from '../src/index'
import { OPERATOR_KEY, singleNodeSettings, type SingleNodeSettings } from './node-settings'

const SERVER_KEY = 'server key of the test'
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined }

let folder: string
let settings: SingleNodeSettings
const running: RunningNode[] = []

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bilberrystall-departure-'))
  settings = await singleNodeSettings(folder)
})

afterEach(async () => {
  await stop()
  await rm(folder, { recursive: true, force: true })
})

async function stop(): Promise<void> {
  for (const node of running.splice(0)) await node.stop()
}

interface Role {
  readonly renewalMs: number | undefined
  readonly isControl: boolean
}

async function start({ renewalMs, isControl }: Role): Promise<void> {
  const { entry, control } = settings
  if (entry === undefined) throw new Error('no entry')
  const changed: Settings = {
    ...settings,
    roles: isControl ? ['entry', 'control'] : ['entry'],
    entry: { ...entry, serverKey: SERVER_KEY, renewalMs },
    control: isControl ? control : undefined,
  }
  running.push((await startNode(changed, { log: silentLog }))._unsafeUnwrap())
}

async function announce(state: 'ready' | 'draining' | 'stopped', sequence: number, environment = 'production') {
  return (await post(state, sequence, environment)).status
}

function post(state: string, sequence: number, environment: string): Promise<Response> {
  return fetch(`http://${settings.statusListen}/v1/announcements`, {
    method: 'POST',
    headers: { authorization: `Bearer ${SERVER_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      environment,
      service: 'booking',
      server: 'booking-1',
      start: 1_000,
      sequence,
      state,
      address: '127.0.0.1:9',
      failureDomain: 'west',
      slots: 3,
      connectionLimit: 10,
    }),
  })
}

async function serverStates(): Promise<unknown> {
  const response = await fetch(`http://${settings.control.listen}/v1/servers`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  })
  const { servers } = (await response.json()) as { servers: { state: string }[] }
  return servers.map(({ state }) => state)
}

test.each(['draining', 'stopped'] as const)(
  'where control decides departures, %s is not acknowledged while control cannot commit it',
  async (state) => {
    await start({ renewalMs: 1_500, isControl: false })
    expect(await announce('ready', 1)).toBe(200)
    expect(await announce(state, 2)).toBe(503)
  },
)

test('where control decides departures, one that was acknowledged outlives the node that took it', async () => {
  await start({ renewalMs: 1_500, isControl: true })
  expect(await announce('ready', 1)).toBe(200)
  await expect.poll(() => announce('draining', 2), { timeout: 5_000 }).toBe(200)
  await stop()
  await start({ renewalMs: 1_500, isControl: true })
  // Sent before the server left, and delayed until the node has forgotten what the server announced.
  expect(await announce('ready', 3)).toBe(200)
  await expect.poll(serverStates, { timeout: 5_000 }).toEqual(['draining'])
})

test('where leases are short, a server that leaves is acknowledged without control', async () => {
  await start({ renewalMs: undefined, isControl: false })
  expect(await announce('ready', 1)).toBe(200)
  expect(await announce('draining', 2)).toBe(200)
  expect(await announce('ready', 1)).not.toBe(200)
})

test.each([
  // Time until the entry and then the other nodes drop a server that no longer renews.
  { renewalMs: undefined, told: { renewMs: 500, leaseMs: 2_800 } },
  { renewalMs: 1_500, told: { renewMs: 1_500, leaseMs: 24_000 } },
])('servers are told the renewal and the lease in force with the setting $renewalMs', async ({ renewalMs, told }) => {
  await start({ renewalMs, isControl: false })
  expect(await (await post('ready', 1, 'production')).json()).toEqual(told)
})

test('a server of another environment cannot announce its departure', async () => {
  await start({ renewalMs: 1_500, isControl: true })
  await expect.poll(() => announce('draining', 1), { timeout: 5_000 }).toBe(200)
  expect(await announce('draining', 2, 'trial')).toBe(422)
})
