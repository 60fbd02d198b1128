/** Guards against a node that does not write or count what its entry refused, or names another connection. */
import { mkdtemp, rm } from 'node:fs/promises'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { CodeName } from '@bilberrystall/base'
import { request } from 'undici'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { startNode, type RunningNode } from '../src/index'
import { OPERATOR_KEY, singleNodeSettings, type SingleNodeSettings } from './node-settings'

const SERVER_KEY = 'server key of the test'
const DOCUMENT = `[document]\ntitle = test\n[service.booking]\n[route.write]\nservice = booking\npath = /\nmethods = POST\ndeadline = 5s\n`
const COMPLETE = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

interface WrittenLine {
  readonly code: CodeName
  readonly fields: Readonly<Record<string, unknown>>
}

let folder: string
let settings: SingleNodeSettings
let node: RunningNode | undefined
const lines: WrittenLine[] = []
/** Bytes that the server sends for each POST. */
let answer = COMPLETE
/** Port of the entry's side of the connection on which the last POST arrived, and the requests on it until then. */
let lastCall: { readonly connection: number | undefined; readonly requests: number } | undefined
/** Id that the entry gave to the last POST. */
let lastAttempt: string | undefined

/** Requests have no body, and a small head arrives in one piece. */
const server = createServer((socket) => {
  let requests = 0
  socket.on('error', () => undefined)
  socket.on('data', (bytes) => {
    requests += 1
    const text = bytes.toString('latin1')
    const isCall = text.startsWith('POST')
    if (isCall) {
      lastCall = { connection: socket.remotePort, requests }
      lastAttempt = /^bilberrystall-attempt: (.+)$/m.exec(text)?.[1]
    }
    socket.write(isCall ? answer : COMPLETE)
  })
})

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bilberrystall-refused-'))
  const { entry, ...rest } = await singleNodeSettings(folder)
  if (entry === undefined) throw new Error('no entry')
  settings = { ...rest, entry: { ...entry, serverKey: SERVER_KEY } }
  const write = (code: CodeName, fields: WrittenLine['fields'] = {}) => lines.push({ code, fields })
  node = (await startNode(settings, { log: { info: write, warn: write, error: write } }))._unsafeUnwrap()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
})

afterEach(async () => {
  await node?.stop()
  server.close()
  await rm(folder, { recursive: true, force: true })
})

async function post(url: string, key: string, body: object): Promise<number> {
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' }
  return (await fetch(url, { method: 'POST', headers, body: JSON.stringify(body) })).status
}

async function call(): Promise<number> {
  const response = await request(`http://${settings.entry?.listen}/`, { method: 'POST' })
  await response.body.dump()
  return response.statusCode
}

const refused = () => lines.filter(({ code }) => code === 'responseRefused').map(({ fields }) => fields)

test('a node writes and counts the responses that its entry refused, with the connection that the server sees', async () => {
  const change = { kind: 'submit', changeId: 'c1', environment: 'production', baseRevision: 0, document: DOCUMENT }
  const submit = () => post(`http://${settings.control.listen}/v1/changes`, OPERATOR_KEY, change)
  await expect.poll(submit, { timeout: 10_000 }).toBe(200)
  const announcement = {
    environment: 'production',
    service: 'booking',
    server: 'booking-1',
    start: 1_000,
    sequence: 1,
    state: 'ready',
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    failureDomain: 'west',
    slots: 1,
    connectionLimit: 10,
  }
  await post(`http://${settings.statusListen}/v1/announcements`, SERVER_KEY, announcement)
  await expect.poll(call, { timeout: 10_000 }).toBe(200)
  expect(refused()).toEqual([])

  answer = 'HTTP/1.1 700 Unknown\r\ncontent-length: 0\r\n\r\n'
  expect(await call()).toBe(502)
  const common = { server: 'production/booking/booking-1' }
  expect(lastAttempt).toBeDefined()
  expect(refused()).toEqual([{ ...common, reason: 'invalid-status', status: 700, ...lastCall, attempt: lastAttempt }])

  answer = `${COMPLETE}${COMPLETE}`
  expect(await call()).toBe(200)
  await expect.poll(refused).toHaveLength(2)
  expect(refused()[1]).toEqual({ ...common, reason: 'stray-bytes', ...lastCall })

  const metrics = await (await fetch(`http://${settings.statusListen}/metrics`)).text()
  expect(metrics).toContain('bilberrystall_responses_refused_total{reason="invalid-status"} 1')
  expect(metrics).toContain('bilberrystall_responses_refused_total{reason="stray-bytes"} 1')
})
