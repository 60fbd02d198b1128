/** Starts an entry with fake servers on raw sockets in the test process. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { failureDomain, nodeId, seededRandom, serverId, serviceName, type CodeName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import { request, type Dispatcher } from 'undici'
import { onTestFinished } from 'vitest'
import { Entry, type EntryOptions } from '../src/index'
import type { EntryServer } from '../src/entry-options'

export interface ReceivedRequest {
  readonly head: string
  readonly body: string
  readonly socket: Socket
  /** Index of the request on its connection, from 0. */
  readonly requestIndex: number
}

/** Handles one complete request of a fake server. */
export type RequestHandler = (received: ReceivedRequest) => void

export interface FakeServer {
  readonly port: number
  /** Every complete request that the server received, in order. Tests check it to see what ran. */
  readonly received: ReceivedRequest[]
  /** Sockets accepted so far. */
  readonly sockets: Socket[]
  /** Ends the server as the end of its process would: resets all connections and refuses new ones. */
  readonly crash: () => void
}

export function respond(
  received: ReceivedRequest,
  body: string,
  head: readonly string[] = [],
  status = '200 OK',
): void {
  const lines = [`HTTP/1.1 ${status}`, `content-length: ${Buffer.byteLength(body)}`, ...head]
  received.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`)
}

/** Starts a fake server. It parses bodies with a content-length or chunks, which covers what undici sends. */
export async function startFakeServer(handler: RequestHandler): Promise<FakeServer> {
  const received: ReceivedRequest[] = []
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    let text = ''
    let requestIndex = 0
    socket.on('error', () => undefined)
    socket.on('data', (part) => {
      text += part.toString('latin1')
      for (;;) {
        const end = endOfRequest(text)
        if (end === undefined) return
        const split = text.indexOf('\r\n\r\n')
        const item = { head: text.slice(0, split), body: text.slice(split + 4, end), socket, requestIndex }
        text = text.slice(end)
        requestIndex += 1
        received.push(item)
        handler(item)
      }
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const crash = () => {
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }
  onTestFinished(crash)
  return { port: (server.address() as AddressInfo).port, received, sockets, crash }
}

/** The first port of addresses that refuse connections. Ports below 1024 are never handed out for port 0. */
const FIRST_REFUSED_PORT = 1

/**
 * Returns servers that have ended before a test uses them: their addresses refuse connections. The port of a fake server
 * that was crashed does not do for this, because the operating system may give it to the next listener.
 */
export async function endedServers(count: number): Promise<FakeServer[]> {
  const ports = Array.from({ length: count }, (_, index) => FIRST_REFUSED_PORT + index)
  await Promise.all(ports.map(expectRefused))
  return ports.map((port) => ({ port, received: [], sockets: [], crash: () => undefined }))
}

function expectRefused(port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1')
    socket.once('connect', () => {
      socket.destroy()
      reject(new Error(`a process listens on port ${port} of 127.0.0.1, which must refuse connections`))
    })
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') resolve()
      else reject(error)
    })
  })
}

function endOfRequest(text: string): number | undefined {
  const split = text.indexOf('\r\n\r\n')
  if (split < 0) return undefined
  const head = text.slice(0, split)
  if (/transfer-encoding: chunked/i.test(head)) {
    const end = text.indexOf('0\r\n\r\n', split)
    return end < 0 ? undefined : end + 5
  }
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0)
  return text.length >= split + 4 + length ? split + 4 + length : undefined
}

export const DOCUMENT = `
[document]
title = test
[service.booking]
[route.read]
service = booking
path = /read
repeatable = yes
deadline = 5s
[route.write]
service = booking
path = /write
methods = POST, PUT
deadline = 5s
max-body = 256KiB
key = optional
[route.middle]
service = booking
path = /middle
deadline = 1s
[route.brief]
service = booking
path = /brief
methods = GET, POST
deadline = 200ms
`

export interface Setup {
  readonly entry: Entry
  readonly origin: string
  /** Results of calls in the order in which they ended. */
  readonly results: (CodeName | 'complete')[]
}

export async function startEntry(servers: readonly FakeServer[], options: Partial<EntryOptions> = {}): Promise<Setup> {
  const document = parseDocument(DOCUMENT)._unsafeUnwrap()
  const results: (CodeName | 'complete')[] = []
  const entry = new Entry({
    host: '127.0.0.1',
    port: 0,
    node: nodeId('entry-1'),
    nodeKey: 'node key',
    router: new Router({ random: seededRandom(1) }),
    random: seededRandom(2),
    document: () => document,
    liveEntries: () => 1,
    ...options,
    events: {
      ...options.events,
      callEnded: (result, latencyMs, call) => {
        results.push(result)
        options.events?.callEnded?.(result, latencyMs, call)
      },
    },
  })
  servers.forEach((server, index) => {
    addServer(entry, server, index)
  })
  ;(await entry.start())._unsafeUnwrap()
  onTestFinished(() => entry.stop())
  return { entry, origin: `http://127.0.0.1:${entry.port}`, results }
}

export function addServer(
  entry: Entry,
  server: FakeServer,
  index: number,
  change: Partial<Pick<EntryServer, 'start' | 'firstSeen' | 'domain'>> = {},
): void {
  entry.updateServer({
    id: serverId(`server-${index}`),
    service: serviceName('booking'),
    domain: failureDomain('domain-1'),
    slots: 64,
    state: 'ready',
    firstSeen: 0,
    instance: `server-${index}`,
    start: 1,
    address: { host: '127.0.0.1', port: server.port },
    connectionLimit: 64,
    ...change,
  })
}

export interface CallResult {
  readonly status: number
  readonly text: string
  readonly headers: Dispatcher.ResponseData['headers']
  readonly code: number | undefined
  readonly outcome: string | undefined
}

type RequestOptions = NonNullable<Parameters<typeof request>[1]>

export async function sendCall(url: string, options: Partial<RequestOptions> = {}): Promise<CallResult> {
  const response = await request(url, options as RequestOptions)
  const text = await response.body.text()
  const isProblem = response.headers['content-type'] === 'application/problem+json'
  const members = isProblem ? (JSON.parse(text) as { code: number; outcome?: string }) : undefined
  return {
    status: response.statusCode,
    text,
    headers: response.headers,
    code: members?.code,
    outcome: members?.outcome,
  }
}

/** Resolves when the condition holds. The timeout of the test bounds the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5))
}

/** Sends raw bytes and resolves to everything received until the entry closes the connection. */
export function sendRaw(origin: string, text: string, end = false): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(Number(new URL(origin).port), '127.0.0.1')
    let received = ''
    socket.on('data', (part) => (received += part.toString('latin1')))
    socket.on('error', () => undefined)
    socket.once('close', () => {
      resolve(received)
    })
    socket.write(text)
    if (end) socket.end()
  })
}
