/** Guards against crashes of servers that only a node that stops has seen, and that its end takes along. */
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { nodeId } from '@bilberrystall/base'
import { request } from 'undici'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { startNode, type RunningNode, type Settings } from '../src/index'
import { OPERATOR_KEY, singleNodeSettings, type SingleNodeSettings } from './node-settings'

const SERVER_KEY = 'server key of the test'
const SERVERS = 3
const DOCUMENT = `[document]\ntitle = test\n[service.booking]\n[route.write]\nservice = booking\npath = /\nmethods = POST\ndeadline = 10s\n`
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined }

let folder: string
let control: SingleNodeSettings
const running: RunningNode[] = []
const servers: CrashingServer[] = []

/**
 * Accepts calls and does not answer them until `crash`. Then it ends as a killed process may: its connections break, and
 * its listener accepts and resets one more.
 */
class CrashingServer {
  readonly calls: Socket[] = []
  #isEnding = false
  readonly #server = createServer((socket) => {
    socket.on('error', () => undefined)
    if (!this.#isEnding) {
      socket.once('data', () => this.calls.push(socket))
      return
    }
    this.close()
    socket.resetAndDestroy()
  })

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  crash(): void {
    this.#isEnding = true
    for (const socket of this.calls) socket.resetAndDestroy()
  }

  close(): void {
    this.#server.close()
  }
}

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bilberrystall-reports-'))
  control = await singleNodeSettings(folder)
})

afterEach(async () => {
  for (const server of servers.splice(0)) server.close()
  for (const node of running.splice(0)) await node.stop()
  await rm(folder, { recursive: true, force: true })
})

async function start(settings: Settings): Promise<RunningNode> {
  const node = (await startNode(settings, { log: silentLog }))._unsafeUnwrap()
  running.push(node)
  return node
}

/** Settings of an entry that joins the control node. */
async function entrySettings(): Promise<Settings & { entry: NonNullable<Settings['entry']> }> {
  const { entry, ...rest } = await singleNodeSettings(folder)
  if (entry === undefined) throw new Error('no entry')
  const changed = { ...entry, serverKey: SERVER_KEY, stopLimitMs: 5_000 }
  return { ...rest, node: nodeId('b'), roles: ['entry'], seeds: [control.address], control: undefined, entry: changed }
}

async function operate(path: string, body?: object): Promise<Record<string, unknown>> {
  const response = await fetch(`http://${control.control.listen}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  })
  return (await response.json()) as Record<string, unknown>
}

async function announceServer(status: string, number: number): Promise<void> {
  const server = new CrashingServer()
  servers.push(server)
  const announcement = {
    environment: 'production',
    service: 'booking',
    server: `booking-${number}`,
    start: 1_000,
    sequence: 1,
    state: 'ready',
    address: await server.start(),
    failureDomain: 'west',
    slots: 1,
    connectionLimit: 10,
  }
  await fetch(`http://${status}/v1/announcements`, {
    method: 'POST',
    headers: { authorization: `Bearer ${SERVER_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(announcement),
  })
}

test('crashes that the last calls of a stopping entry caused are known to the nodes that stay', async () => {
  await start(control)
  const change = { kind: 'submit', changeId: 'c1', environment: 'production', baseRevision: 0, document: DOCUMENT }
  await expect.poll(async () => (await operate('/v1/changes', change)).revision, { timeout: 10_000 }).toBe(1)
  const settings = await entrySettings()
  const entry = await start(settings)
  const health = async () => (await fetch(`http://${settings.statusListen}/health`)).status
  await expect.poll(health, { timeout: 10_000 }).toBe(200)
  for (let number = 0; number < SERVERS; number += 1) await announceServer(settings.statusListen, number)
  const send = () => request(`http://${settings.entry.listen}/`, { method: 'POST', body: 'same' })
  const calls = servers.map(() => send())
  await expect.poll(() => servers.filter((server) => server.calls.length > 0).length).toBe(SERVERS)
  const stopped = entry.stop()
  await new Promise((resolve) => setTimeout(resolve, 50))
  for (const server of servers) server.crash()
  await Promise.all(calls)
  await stopped
  expect((await operate('/v1/quarantine')).requests).toHaveLength(1)
})
