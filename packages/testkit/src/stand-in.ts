/**
 * Stand-in server: HTTP/1.1 with slots and a FIFO queue, announced to the entries. `GET /photos/...?bytes=N` streams a
 * large body, `?ms=N` sets the service time of one call; every other path answers with JSON that names the request. The
 * record and the faults are reached over a second listener, so no entry can meet them.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { seededRandom, type Random } from '@bilberrystall/base'
import { Announcer, type Identity, type ServerState } from './announcer'
import { coldFactor, DEFAULT_BEHAVIOUR, drawServiceTime, type Behaviour } from './behaviour'
import { photoChunks, sha256, type Answer } from './body'
import { ExecutionRecord, type RecordView } from './execution-record'
import { readJson, sendJson } from './json-http'
import { Slots } from './slots'

export interface StandInOptions {
  readonly environment?: string
  readonly service: string
  readonly server: string
  readonly failureDomain?: string
  readonly slots?: number
  readonly connectionLimit?: number
  readonly host?: string
  readonly port?: number
  /** Address told to the entries when it differs from the listener, for example a proxy in front of it. */
  readonly announcedAddress?: string
  readonly entries?: readonly string[]
  readonly serverKey?: string
  readonly seed?: number
  readonly behaviour?: Partial<Behaviour>
}

/** Change sent over the control path; absent members stay as they are. */
export interface StandInChange {
  readonly behaviour?: Partial<Behaviour>
  readonly state?: ServerState
  readonly entries?: readonly string[]
  readonly renew?: boolean
}

interface Arrival {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly id: string | undefined
  readonly key: string | undefined
  readonly url: URL
  readonly signal: AbortSignal
}

export class StandIn {
  readonly #options: StandInOptions
  readonly #slots: Slots
  readonly #random: Random
  readonly #record = new ExecutionRecord()
  readonly #startedAt = performance.now()
  readonly #reports: { readonly at: number; readonly value: string }[] = []
  readonly #server: Server
  readonly #control: Server
  #behaviour: Behaviour
  #announcer: Announcer | undefined
  #connections = 0

  constructor(options: StandInOptions) {
    this.#options = options
    this.#slots = new Slots(options.slots ?? 3)
    this.#random = seededRandom(options.seed ?? 1)
    this.#behaviour = { ...DEFAULT_BEHAVIOUR, ...options.behaviour }
    this.#server = createServer((request, response) => void this.#serve(request, response))
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', (socket) => {
      this.#connections += 1
      socket.on('close', () => (this.#connections -= 1))
    })
    this.#control = createServer((request, response) => void this.#serveControl(request, response))
  }

  get address(): string {
    return addressOf(this.#server)
  }

  get controlAddress(): string {
    return addressOf(this.#control)
  }

  get record(): RecordView {
    return this.#record.view(this.#slots.running + this.#slots.queued, this.#connections)
  }

  async start(): Promise<void> {
    const { host = '127.0.0.1', port = 0 } = this.#options
    await Promise.all([
      once(this.#server.listen(port, host), 'listening'),
      once(this.#control.listen(0, host), 'listening'),
    ])
    this.#announcer = new Announcer({
      identity: this.#identity(),
      entries: this.#options.entries ?? [],
      serverKey: this.#options.serverKey ?? '',
      load: () => this.#announcedLoad(),
    })
    this.#announcer.start()
  }

  /** Applies a change; returns the entry that accepted a new state. */
  async change(change: StandInChange): Promise<string | undefined> {
    this.#behaviour = { ...this.#behaviour, ...change.behaviour }
    const announcer = this.#announcer
    if (announcer === undefined) return undefined
    if (change.entries !== undefined) announcer.entries = change.entries
    if (change.renew === false) announcer.fallSilent()
    if (change.renew === true) announcer.start()
    if (change.state === undefined) return undefined
    announcer.state = change.state
    return announcer.announce()
  }

  async stop(): Promise<void> {
    await this.#announcer?.stop()
    for (const server of [this.#server, this.#control]) {
      server.close()
      server.closeAllConnections()
    }
  }

  #announcedLoad(): number | undefined {
    const { loadReport } = this.#behaviour
    if (loadReport === 'none') return undefined
    return loadReport === 'idle' ? 0 : this.#slots.running + this.#slots.queued
  }

  #identity(): Identity {
    const { environment = 'production', service, server, failureDomain = 'fd-1' } = this.#options
    const { slots = 3, connectionLimit = 300, announcedAddress = this.address } = this.#options
    return { environment, service, server, failureDomain, slots, connectionLimit, address: announcedAddress }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#record.lastArrival = Date.now()
    const gone = new AbortController()
    response.on('close', () => {
      if (!response.writableFinished) gone.abort()
    })
    const arrival = {
      request,
      response,
      id: headerOf(request, 'x-request-id'),
      key: headerOf(request, 'idempotency-key'),
      url: new URL(request.url ?? '/', 'http://stand-in'),
      signal: gone.signal,
    }
    try {
      await this.#handle(arrival)
    } catch {
      response.destroy()
    }
  }

  async #handle(arrival: Arrival): Promise<void> {
    const body = await readBody(arrival.request)
    const { failFastStatus, shedAtQueue, silent } = this.#behaviour
    if (silent) return
    const queueLimit = headerOf(arrival.request, 'bilberrystall-queue-limit')
    const isUnwanted = queueLimit !== undefined && this.#slots.exceeds(Number(queueLimit))
    if (isUnwanted || (shedAtQueue > 0 && this.#slots.queued >= shedAtQueue)) {
      this.#shed(arrival)
      return
    }
    if (failFastStatus > 0) {
      this.#record.ran(arrival.id, arrival.key)
      arrival.response.writeHead(failFastStatus, this.#headers()).end('failed')
      return
    }
    if (!(await this.#work(arrival))) return
    if (this.#behaviour.lateMs > 0) await sleep(this.#behaviour.lateMs, undefined, { signal: arrival.signal })
    await this.#respond(arrival, body)
  }

  /** Takes a slot and runs the call; false when the caller left first. */
  async #work(arrival: Arrival): Promise<boolean> {
    if (!(await this.#slots.take(arrival.signal))) {
      this.#record.cancelled += 1
      return false
    }
    this.#record.ran(arrival.id, arrival.key)
    try {
      await sleep(this.#serviceMs(arrival.url), undefined, { signal: arrival.signal })
      this.#record.completed += 1
      return true
    } catch {
      this.#record.cancelled += 1
      return false
    } finally {
      this.#slots.release()
    }
  }

  #serviceMs(url: URL): number {
    const asked = url.searchParams.get('ms')
    const ms = asked === null ? drawServiceTime(this.#behaviour.serviceTime, this.#random) : Number(asked)
    return ms * this.#behaviour.slowdown * coldFactor(this.#behaviour, performance.now() - this.#startedAt)
  }

  #shed(arrival: Arrival): void {
    this.#record.shed += 1
    arrival.response.writeHead(503, { ...this.#headers(), 'bilberrystall-not-run': '1' }).end('shed')
  }

  async #respond(arrival: Arrival, body: Buffer): Promise<void> {
    if (this.#take('resetNext')) {
      arrival.request.socket.resetAndDestroy()
      return
    }
    const bytes = arrival.url.searchParams.get('bytes')
    const id = arrival.id ?? ''
    const chunks = bytes === null ? [this.#answer(arrival, body)] : photoChunks(id, Number(bytes))
    const length = bytes === null ? this.#answer(arrival, body).length : Number(bytes)
    arrival.response.writeHead(200, {
      ...this.#headers(),
      'content-type': bytes === null ? 'application/json' : 'application/octet-stream',
      'content-length': String(length),
      'x-request-id': id,
    })
    const truncated = this.#take('truncateNext')
    await this.#stream(arrival, chunks, truncated ? Math.floor(length / 2) : length)
    if (truncated) arrival.request.socket.end()
    else arrival.response.end()
  }

  async #stream(arrival: Arrival, chunks: Iterable<Buffer>, limit: number): Promise<void> {
    let left = limit
    for (const chunk of chunks) {
      const part = chunk.subarray(0, left)
      left -= part.length
      if (!arrival.response.write(part)) await once(arrival.response, 'drain', { signal: arrival.signal })
      if (left === 0) break
    }
  }

  #answer(arrival: Arrival, body: Buffer): Buffer {
    const answer: Answer = {
      request: arrival.id ?? '',
      server: this.#options.server,
      method: arrival.request.method ?? '',
      path: arrival.url.pathname,
      bodyDigest: sha256(body),
    }
    return Buffer.from(JSON.stringify(answer))
  }

  #take(counter: 'resetNext' | 'truncateNext'): boolean {
    if (this.#behaviour[counter] === 0) return false
    this.#behaviour = { ...this.#behaviour, [counter]: this.#behaviour[counter] - 1 }
    return true
  }

  #headers(): Record<string, string> {
    const { loadReport } = this.#behaviour
    if (loadReport === 'none') return {}
    const slots = this.#options.slots ?? 3
    const now = `inflight=${this.#slots.running};slots=${slots};queue=${this.#slots.queued}`
    const value = loadReport === 'idle' ? `inflight=0;slots=${slots};queue=0` : this.#aged(now)
    return { 'bilberrystall-load': value }
  }

  /** The report as it was `loadReportAgeMs` ago. */
  #aged(value: string): string {
    const { loadReportAgeMs } = this.#behaviour
    if (loadReportAgeMs === 0) return value
    const now = performance.now()
    this.#reports.push({ at: now, value })
    while ((this.#reports[1]?.at ?? Infinity) <= now - loadReportAgeMs) this.#reports.shift()
    return this.#reports[0]?.value ?? value
  }

  async #serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET') {
      sendJson(response, 200, this.record)
      return
    }
    const acceptedBy = await this.change((await readJson(request)) as StandInChange)
    sendJson(response, 200, { acceptedBy: acceptedBy ?? null })
  }
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function addressOf(server: Server): string {
  const { address, port } = server.address() as AddressInfo
  return `${address}:${port}`
}
