/**
 * TCP proxy that injects faults between two processes: delays, resets, and silence in one or both directions. A fault
 * applies to all connections, to the established ones only (new connections work), to one connection or to the
 * connections of one process. A frozen direction keeps its bytes and delivers them after `heal`, as TCP does after
 * lost segments. A proxy cannot drop connection requests: while everything is frozen, it accepts new connections and
 * forwards nothing on them.
 */
import { once } from 'node:events'
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { readJson, sendJson } from './json-http'

/** `forward` is the direction from the connecting process to the target. */
export type Direction = 'forward' | 'backward'

export interface Faults {
  readonly delayMs: number
  readonly frozen: readonly Direction[]
}

export type FaultScope =
  | { readonly kind: 'all' }
  | { readonly kind: 'established' }
  | { readonly kind: 'connection'; readonly id: number }
  /** Current and future connections of one process. */
  | { readonly kind: 'peer'; readonly peer: string }

export interface FaultProxyOptions {
  readonly target: string
  readonly host?: string
  readonly port?: number
  /** Returns the name of the process whose connections come from an address. */
  readonly identifyPeer?: (source: string) => string | undefined
}

/**
 * Delivers the first bytes of new connections late, as a machine does that is busy with many of them. Proxies that share
 * one start their connections one after the other.
 */
export class SlowStart {
  readonly #delayMs: number
  readonly #intervalMs: number
  #newestStartAt = Number.NEGATIVE_INFINITY

  constructor({ delayMs, intervalMs }: { readonly delayMs: number; readonly intervalMs: number }) {
    this.#delayMs = delayMs
    this.#intervalMs = intervalMs
  }

  /** Returns the time at which the next connection delivers its first bytes. */
  nextStart(): number {
    this.#newestStartAt = Math.max(performance.now() + this.#delayMs, this.#newestStartAt + this.#intervalMs)
    return this.#newestStartAt
  }
}

/** Body of a `POST` request to the control endpoint. */
export type ProxyCommand =
  | { readonly kind: 'set'; readonly faults: Partial<Faults>; readonly scope?: FaultScope }
  | { readonly kind: 'reset'; readonly scope?: FaultScope }
  | { readonly kind: 'refuse'; readonly refuse: boolean }
  | { readonly kind: 'heal' }

const NO_FAULTS: Faults = { delayMs: 0, frozen: [] }
const ALL_CONNECTIONS: FaultScope = { kind: 'all' }

export class FaultProxy {
  readonly #options: FaultProxyOptions
  readonly #connections = new Map<number, ProxiedConnection>()
  readonly #server: Server
  #controlServer: ReturnType<typeof createHttpServer> | undefined
  readonly #peerFaults = new Map<string, Faults>()
  #faults = NO_FAULTS
  #refusesConnections = false
  #slowStart: SlowStart | undefined
  #nextId = 1
  #target: string

  constructor(options: FaultProxyOptions) {
    this.#options = options
    this.#target = options.target
    this.#server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, (socket) => {
      this.#accept(socket)
    })
  }

  get address(): string {
    return addressOf(this.#server)
  }

  /** Ids of the open connections in order of their creation. */
  get connections(): readonly number[] {
    return [...this.#connections.keys()]
  }

  set target(target: string) {
    this.#target = target
  }

  async start(): Promise<this> {
    const { host = '127.0.0.1', port = 0 } = this.#options
    await once(this.#server.listen(port, host), 'listening')
    return this
  }

  set(faults: Partial<Faults>, scope: FaultScope = ALL_CONNECTIONS): void {
    if (scope.kind === 'all') this.#faults = { ...this.#faults, ...faults }
    if (scope.kind === 'peer') {
      this.#peerFaults.set(scope.peer, { ...NO_FAULTS, ...this.#peerFaults.get(scope.peer), ...faults })
    }
    for (const connection of this.#selectConnections(scope)) connection.set(faults)
  }

  /** Holds back all bytes in both directions, by default on current and future connections. */
  freeze(scope: FaultScope = ALL_CONNECTIONS): void {
    this.set({ frozen: ['forward', 'backward'] }, scope)
  }

  /** Resets the connections on both sides. */
  resetConnections(scope: FaultScope = ALL_CONNECTIONS): void {
    for (const connection of this.#selectConnections(scope)) connection.reset()
  }

  /** Sets whether every new connection is reset immediately. */
  refuseConnections(refuse: boolean): void {
    this.#refusesConnections = refuse
  }

  /** Applies to connections that are accepted from now on; `heal` leaves it. */
  slowStart(slowStart: SlowStart): void {
    this.#slowStart = slowStart
  }

  heal(): void {
    this.#faults = NO_FAULTS
    this.#peerFaults.clear()
    this.#refusesConnections = false
    for (const connection of this.#connections.values()) connection.set(NO_FAULTS)
  }

  /** Starts the HTTP server of the control endpoint and returns its address. */
  async startControlServer(): Promise<string> {
    const control = createHttpServer((request, response) => void this.#serveControl(request, response))
    this.#controlServer = control
    await once(control.listen(0, '127.0.0.1'), 'listening')
    return addressOf(control)
  }

  async stop(): Promise<void> {
    this.resetConnections()
    this.#controlServer?.close()
    this.#controlServer?.closeAllConnections()
    if (this.#server.listening) await once(this.#server.close(), 'close')
  }

  apply(command: ProxyCommand): void {
    switch (command.kind) {
      case 'set':
        this.set(command.faults, command.scope)
        return
      case 'reset':
        this.resetConnections(command.scope)
        return
      case 'refuse':
        this.refuseConnections(command.refuse)
        return
      case 'heal':
        this.heal()
    }
  }

  #accept(socket: Socket): void {
    if (this.#refusesConnections) {
      socket.resetAndDestroy()
      return
    }
    const id = this.#nextId
    this.#nextId += 1
    const { hostname, port } = new URL(`tcp://${this.#target}`)
    const targetSocket = connect({ host: hostname, port: Number(port), allowHalfOpen: true })
    const peer = this.#options.identifyPeer?.(socket.remoteAddress ?? '')
    const faults = (peer === undefined ? undefined : this.#peerFaults.get(peer)) ?? this.#faults
    const startAt = this.#slowStart?.nextStart() ?? 0
    const connection = new ProxiedConnection({ downstream: socket, upstream: targetSocket, faults, peer, startAt })
    this.#connections.set(id, connection)
    socket.on('close', () => this.#connections.delete(id))
  }

  #selectConnections(scope: FaultScope): ProxiedConnection[] {
    const connections = [...this.#connections]
    switch (scope.kind) {
      case 'all':
      case 'established':
        return connections.map(([, connection]) => connection)
      case 'connection':
        return connections.filter(([id]) => id === scope.id).map(([, connection]) => connection)
      case 'peer':
        return connections.map(([, connection]) => connection).filter((connection) => connection.peer === scope.peer)
    }
  }

  async #serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'POST') this.apply((await readJson(request)) as ProxyCommand)
    sendJson(response, 200, { connections: this.connections, faults: this.#faults })
  }
}

interface ProxiedConnectionOptions {
  readonly downstream: Socket
  readonly upstream: Socket
  readonly faults: Faults
  readonly peer: string | undefined
  /** Time before which no bytes are delivered. */
  readonly startAt: number
}

/** The two sockets of one proxied connection. */
class ProxiedConnection {
  readonly peer: string | undefined
  readonly #downstream: Socket
  readonly #upstream: Socket
  readonly #forward: Pipe
  readonly #backward: Pipe

  constructor({ downstream, upstream, faults, peer, startAt }: ProxiedConnectionOptions) {
    this.peer = peer
    this.#downstream = downstream
    this.#upstream = upstream
    downstream.setNoDelay(true)
    upstream.setNoDelay(true)
    this.#forward = new Pipe(downstream, upstream, startAt)
    this.#backward = new Pipe(upstream, downstream, startAt)
    this.set(faults)
    for (const socket of [downstream, upstream]) {
      socket.on('error', () => {
        this.reset()
      })
    }
  }

  set(faults: Partial<Faults>): void {
    this.#forward.set(faults.delayMs, faults.frozen?.includes('forward'))
    this.#backward.set(faults.delayMs, faults.frozen?.includes('backward'))
  }

  reset(): void {
    for (const socket of [this.#downstream, this.#upstream]) resetSocket(socket)
  }
}

/**
 * A reset fails with EINVAL while a shutdown is in progress, and Node.js 20 then never closes the handle: the process can
 * not end, or uses a whole core in `CleanupHandles`. The reset therefore follows the end of the shutdown.
 */
function resetSocket(socket: Socket): void {
  if (socket.destroyed) return
  const isShuttingDown = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0
  if (!isShuttingDown || socket.connecting) {
    socket.resetAndDestroy()
    return
  }
  socket.once('finish', () => {
    resetSocket(socket)
  })
}

/** One direction of a connection. Delivers chunks in order, each after the delay, and none while frozen. */
class Pipe {
  readonly #from: Socket
  readonly #to: Socket
  readonly #startAt: number
  readonly #queue: { readonly due: number; readonly chunk: Buffer | undefined }[] = []
  #delayMs = 0
  #frozen = false
  #timer: NodeJS.Timeout | undefined

  constructor(from: Socket, to: Socket, startAt: number) {
    this.#from = from
    this.#to = to
    this.#startAt = startAt
    from.on('data', (chunk: Buffer) => {
      this.#enqueue(chunk)
    })
    from.on('end', () => {
      this.#enqueue(undefined)
    })
    to.on('drain', () => {
      this.#resumeSource()
    })
    from.on('close', () => {
      clearTimeout(this.#timer)
    })
  }

  set(delayMs: number | undefined, frozen: boolean | undefined): void {
    this.#delayMs = delayMs ?? this.#delayMs
    this.#frozen = frozen ?? this.#frozen
    if (this.#frozen) {
      this.#from.pause()
      return
    }
    this.#flush()
    this.#resumeSource()
  }

  #resumeSource(): void {
    if (!this.#frozen) this.#from.resume()
  }

  #enqueue(chunk: Buffer | undefined): void {
    this.#queue.push({ due: Math.max(this.#startAt, performance.now() + this.#delayMs), chunk })
    this.#flush()
  }

  #flush(): void {
    clearTimeout(this.#timer)
    while (!this.#frozen) {
      const next = this.#queue[0]
      if (next === undefined) return
      const delayMs = next.due - performance.now()
      if (delayMs > 0) {
        this.#timer = setTimeout(() => {
          this.#flush()
        }, delayMs)
        return
      }
      this.#queue.shift()
      this.#write(next.chunk)
    }
  }

  #write(chunk: Buffer | undefined): void {
    if (!this.#to.writable) return
    if (chunk === undefined) this.#to.end()
    else if (!this.#to.write(chunk)) this.#from.pause()
  }
}

function addressOf(server: Pick<Server, 'address'>): string {
  const { address, port } = server.address() as AddressInfo
  return `${address}:${port}`
}
