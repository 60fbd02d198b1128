/**
 * Stand-in for a server of the platform: announces itself, answers its health path, and runs one request at a time on a
 * connection. It records what it ran. A case may replace how it answers.
 */
import { createServer, type Server as TcpServer, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Platform } from './platform'

export interface Request {
  readonly method: string
  readonly target: string
  readonly headers: ReadonlyMap<string, string>
  readonly attempt: string
}

/** Writes the answer to a request that the server has run. */
export type Answer = (request: Request, socket: Socket) => void | Promise<void>

export interface ServerOptions {
  readonly platform: Platform
  readonly service: string
  readonly id: string
  readonly ip: string
  readonly zone: string
  readonly slots: number
  readonly workMs: number
  /** Body of an ordinary answer. */
  readonly body?: string
  /** Returns an answer that differs from the ordinary one; undefined for the ordinary one. */
  readonly answer?: (request: Request) => Answer | undefined
}

const BEAT_INTERVAL_MS = 1_500
const HEAD_END = '\r\n\r\n'

export class Server {
  readonly #options: ServerOptions
  readonly #tcp: TcpServer
  readonly #sockets = new Set<Socket>()
  readonly #born = Date.now()
  #address = ''
  #sequence = 0
  #running = 0
  #timer: NodeJS.Timeout | undefined
  /** Attempt ids of the requests that this server ran, in order. */
  readonly ran: string[] = []
  /** Attempt ids of the requests that this server answered completely and correctly. */
  readonly answered: string[] = []
  /** Requests at work, with the time at which the work began. */
  readonly atWork = new Map<string, number>()

  constructor(options: ServerOptions) {
    this.#options = options
    this.#tcp = createServer((socket) => {
      this.#serve(socket)
    })
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#tcp.listen(0, this.#options.ip, resolve)
    })
    const address = this.#tcp.address()
    this.#address = `${this.#options.ip}:${typeof address === 'object' ? (address?.port ?? 0) : 0}`
    this.#timer = setInterval(() => void this.#beat(), BEAT_INTERVAL_MS)
    await this.#beat()
  }

  stop(): void {
    clearInterval(this.#timer)
    this.#tcp.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async #beat(): Promise<void> {
    const { platform, service, id, zone, slots } = this.#options
    this.#sequence += 1
    const beat = {
      service,
      address: this.#address,
      zone,
      version: 'v1',
      max_concurrency: slots,
      state: 'ready',
      warmup_left: '0ms',
      sequence: this.#sequence,
      born: this.#born,
    }
    for (const { index } of platform.nodes) {
      const { status } = await platform.call(index, 'instances.heartbeat', beat, id)
      if (status >= 200 && status < 300) return
    }
  }

  #serve(socket: Socket): void {
    let received = ''
    this.#sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => undefined)
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('data', (part) => {
      received += part.toString('latin1')
      for (let request = takeRequest(); request !== undefined; request = takeRequest()) void this.#run(request, socket)
    })
    const takeRequest = (): Request | undefined => {
      const end = received.indexOf(HEAD_END)
      if (end < 0) return undefined
      const [first = '', ...lines] = received.slice(0, end).split('\r\n')
      const headers = new Map<string, string>()
      for (const line of lines) {
        const colon = line.indexOf(':')
        headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim())
      }
      const total = end + HEAD_END.length + Number(headers.get('content-length') ?? 0)
      if (received.length < total) return undefined
      received = received.slice(total)
      const [method = '', target = ''] = first.split(' ')
      return { method, target, headers, attempt: headers.get('attempt-id') ?? '' }
    }
  }

  async #run(request: Request, socket: Socket): Promise<void> {
    const { id, slots, workMs, body = 'done', answer } = this.#options
    const load = `${this.#running},0,${slots}`
    if (request.target === '/health') {
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nServer-Load: ${load}\r\ncontent-length: 2\r\n\r\nok`)
      return
    }
    const { attempt } = request
    this.#running += 1
    this.ran.push(attempt)
    this.atWork.set(attempt, Date.now())
    // A server drops a request when its connection closes.
    const end = Date.now() + workMs
    while (Date.now() < end && !socket.destroyed) await sleep(Math.min(20, workMs))
    this.#running -= 1
    this.atWork.delete(attempt)
    if (socket.destroyed) return
    const special = answer?.(request)
    if (special !== undefined) {
      await special(request, socket)
      return
    }
    const head = `Attempt-Id: ${attempt}\r\nServer-Signature: ${id}.${attempt}\r\nServer-Load: ${load}`
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
    this.answered.push(attempt)
  }
}
