/**
 * A server as the pages describe it: answers its health path, runs requests, and tells the nodes of itself every 1.5 s.
 * A crash closes its connections and its listener without a word; it may start again under the same id.
 */
import { createServer, type IncomingMessage, type Server as HttpServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Fleet } from './fleet'
import type { Answer } from './http-client'
import { Proxy } from './proxy'
import type { Transcript } from './transcript'

const HEARTBEAT_MS = 1_500
const SLOTS = 3

export interface ServerOptions {
  readonly fleet: Fleet
  readonly record: Transcript
  readonly id: string
  readonly service: string
  readonly ip: string
  readonly workMs: number
  /** Length of the answers in bytes, short by default. */
  readonly answerBytes?: number
  /** Time between the first and the second half of an answer, which are sent as one by default. */
  readonly pauseMs?: number
}

/** The body with which a server answers an attempt. */
export function answerOf(id: string, attempt: string, bytes = 0): string {
  const text = `answer of ${id} to ${attempt};`
  return text.repeat(Math.max(1, Math.ceil(bytes / text.length)))
}

export class Server {
  readonly #options: ServerOptions
  /** Times at which requests reached this server, in ms of the record. */
  readonly arrivals: number[] = []
  /** Attempts that ran here. */
  readonly ran = new Set<string>()
  #http: HttpServer | undefined
  #port = 0
  #born = 0
  #sequence = 0
  #running = 0
  #beats: NodeJS.Timeout | undefined
  #state: 'ready' | 'draining' = 'ready'
  #proxy: Proxy | undefined
  #announcedPort = 0

  constructor(options: ServerOptions) {
    this.#options = options
  }

  /** Starts a process of this server. `born` is the time of day that its machine shows. */
  async start(born: number): Promise<void> {
    this.#born = born
    this.#sequence = 0
    this.#state = 'ready'
    this.#http = createServer((request, response) => void this.#answer(request, response))
    const http = this.#http
    await new Promise<void>((resolve) => http.listen(this.#port, this.#options.ip, resolve))
    this.#port = (http.address() as AddressInfo).port
    if (this.#proxy === undefined) this.#announcedPort = this.#port
    this.#options.record.write(`server ${this.#options.id} started, born ${born}`)
    await this.#beat()
    this.#beats = setInterval(() => void this.#beat(), HEARTBEAT_MS)
  }

  /** Puts a proxy in front of this server, which then announces the address of the proxy. Call it before `start`. */
  async startBehindProxy(born: number): Promise<Proxy> {
    const { ip } = this.#options
    const port = await unusedPort(ip)
    this.#port = port
    const proxy = new Proxy({ host: ip, port })
    this.#proxy = proxy
    this.#announcedPort = await proxy.listen(ip)
    await this.start(born)
    return proxy
  }

  crash(): void {
    clearInterval(this.#beats)
    this.#http?.close()
    this.#http?.closeAllConnections()
    this.#options.record.write(`server ${this.#options.id} crashed`)
  }

  /** Reports that it is draining. Resolves once that was acknowledged. */
  async drain(): Promise<void> {
    clearInterval(this.#beats)
    this.#state = 'draining'
    await this.#beat()
    this.#beats = setInterval(() => void this.#beat(), HEARTBEAT_MS)
  }

  async #beat(): Promise<Answer> {
    const { fleet, record, id, service, ip } = this.#options
    const answer = await fleet.rpcUntilAnswered(`call=instances.heartbeat&of=${id}`, () => {
      this.#sequence += 1
      return {
        service,
        address: `${ip}:${this.#announcedPort}`,
        zone: 'zone-front-0',
        version: 'v1',
        max_concurrency: SLOTS,
        state: this.#state,
        warmup_left: '0ms',
        sequence: this.#sequence,
        born: this.#born,
      }
    })
    record.write(`server ${id} says ${this.#state}, born ${this.#born}: answered ${answer.status}`)
    return answer
  }

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { record, id, workMs } = this.#options
    request.resume()
    response.setHeader('server-load', `${this.#running},0,${SLOTS},100`)
    if (request.url === '/health') {
      response.statusCode = this.#state === 'ready' ? 200 : 503
      response.setHeader('instance-id', id).end()
      return
    }
    const attempt = String(request.headers['attempt-id'] ?? '')
    response.setHeader('attempt-id', attempt)
    if (request.headers['target-instance'] !== id) {
      response.statusCode = 421
      response.setHeader('not-executed', '1').end()
      return
    }
    this.arrivals.push(record.now())
    this.ran.add(attempt)
    record.write(`server ${id} runs ${attempt}`)
    this.#running += 1
    await sleep(workMs)
    this.#running -= 1
    const body = answerOf(id, attempt, this.#options.answerBytes)
    response.setHeader('server-signature', `signed.${id}`).setHeader('content-length', body.length)
    const { pauseMs } = this.#options
    if (pauseMs !== undefined) {
      response.write(body.slice(0, body.length / 2))
      await sleep(pauseMs)
    }
    response.end(pauseMs === undefined ? body : body.slice(body.length / 2))
    record.write(`server ${id} has answered ${attempt}`)
  }
}

async function unusedPort(ip: string): Promise<number> {
  const probe = createServer()
  await new Promise<void>((resolve) => probe.listen(0, ip, resolve))
  const { port } = probe.address() as AddressInfo
  await new Promise((resolve) => probe.close(resolve))
  return port
}
