/**
 * TCP proxy that injects faults between two processes: delay, reset, silence in one or both directions. A fault holds
 * for all connections, for the established ones only (new connections work), or for one connection. A frozen
 * direction keeps its bytes and delivers them after `heal`, as TCP does after lost segments. A proxy cannot drop a
 * connection request: while all is frozen, new connections are accepted and stay silent.
 */
import { once } from 'node:events'
import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net'
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { readJson, sendJson } from './json-http'

/** `forward` is from the connecting side to the target. */
export type Direction = 'forward' | 'backward'

export interface Faults {
  readonly delayMs: number
  readonly frozen: readonly Direction[]
}

export type Scope =
  | { readonly kind: 'all' }
  | { readonly kind: 'established' }
  | { readonly kind: 'connection'; readonly id: number }
  /** Present and new connections from one process. */
  | { readonly kind: 'peer'; readonly peer: string }

export interface FaultProxyOptions {
  readonly target: string
  readonly host?: string
  readonly port?: number
  /** Names the process behind a connection by the port it comes from and the port of the proxy. */
  readonly identify?: (from: number, to: number) => string | undefined
}

/** Body of `POST` on the control path. */
export type ProxyCommand =
  | { readonly kind: 'set'; readonly faults: Partial<Faults>; readonly scope?: Scope }
  | { readonly kind: 'cut'; readonly scope?: Scope }
  | { readonly kind: 'refuse'; readonly refuse: boolean }
  | { readonly kind: 'heal' }

const NO_FAULTS: Faults = { delayMs: 0, frozen: [] }
const ALL: Scope = { kind: 'all' }

export class FaultProxy {
  readonly #options: FaultProxyOptions
  readonly #links = new Map<number, Link>()
  readonly #server: Server
  #control: ReturnType<typeof createHttpServer> | undefined
  readonly #peerFaults = new Map<string, Faults>()
  #faults = NO_FAULTS
  #refusing = false
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

  /** Ids of the open connections, oldest first. */
  get connections(): readonly number[] {
    return [...this.#links.keys()]
  }

  set target(target: string) {
    this.#target = target
  }

  async start(): Promise<this> {
    const { host = '127.0.0.1', port = 0 } = this.#options
    await once(this.#server.listen(port, host), 'listening')
    return this
  }

  set(faults: Partial<Faults>, scope: Scope = ALL): void {
    if (scope.kind === 'all') this.#faults = { ...this.#faults, ...faults }
    if (scope.kind === 'peer') {
      this.#peerFaults.set(scope.peer, { ...NO_FAULTS, ...this.#peerFaults.get(scope.peer), ...faults })
    }
    for (const link of this.#select(scope)) link.set(faults)
  }

  /** No byte passes in either direction, on present and new connections. */
  freeze(scope: Scope = ALL): void {
    this.set({ frozen: ['forward', 'backward'] }, scope)
  }

  /** Closes connections with a reset on both sides. */
  cut(scope: Scope = ALL): void {
    for (const link of this.#select(scope)) link.reset()
  }

  /** Resets every new connection at once. */
  refuse(refuse: boolean): void {
    this.#refusing = refuse
  }

  heal(): void {
    this.#faults = NO_FAULTS
    this.#peerFaults.clear()
    this.#refusing = false
    for (const link of this.#links.values()) link.set(NO_FAULTS)
  }

  /** Starts the HTTP control path and returns its address. */
  async startControl(): Promise<string> {
    const control = createHttpServer((request, response) => void this.#serveControl(request, response))
    this.#control = control
    await once(control.listen(0, '127.0.0.1'), 'listening')
    return addressOf(control)
  }

  async stop(): Promise<void> {
    this.cut()
    this.#control?.close()
    this.#control?.closeAllConnections()
    if (this.#server.listening) await once(this.#server.close(), 'close')
  }

  apply(command: ProxyCommand): void {
    switch (command.kind) {
      case 'set':
        this.set(command.faults, command.scope)
        return
      case 'cut':
        this.cut(command.scope)
        return
      case 'refuse':
        this.refuse(command.refuse)
        return
      case 'heal':
        this.heal()
    }
  }

  #accept(socket: Socket): void {
    if (this.#refusing) {
      socket.resetAndDestroy()
      return
    }
    const id = this.#nextId
    this.#nextId += 1
    const { hostname, port } = new URL(`tcp://${this.#target}`)
    const upstream = connect({ host: hostname, port: Number(port), allowHalfOpen: true })
    const peer = this.#options.identify?.(socket.remotePort ?? 0, socket.localPort ?? 0)
    const faults = (peer === undefined ? undefined : this.#peerFaults.get(peer)) ?? this.#faults
    const link = new Link({ near: socket, far: upstream, faults, peer })
    this.#links.set(id, link)
    socket.on('close', () => this.#links.delete(id))
  }

  #select(scope: Scope): Link[] {
    const links = [...this.#links]
    switch (scope.kind) {
      case 'all':
      case 'established':
        return links.map(([, link]) => link)
      case 'connection':
        return links.filter(([id]) => id === scope.id).map(([, link]) => link)
      case 'peer':
        return links.map(([, link]) => link).filter((link) => link.peer === scope.peer)
    }
  }

  async #serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'POST') this.apply((await readJson(request)) as ProxyCommand)
    sendJson(response, 200, { connections: this.connections, faults: this.#faults })
  }
}

interface LinkOptions {
  readonly near: Socket
  readonly far: Socket
  readonly faults: Faults
  readonly peer: string | undefined
}

/** The two sockets of one proxied connection. */
class Link {
  readonly peer: string | undefined
  readonly #near: Socket
  readonly #far: Socket
  readonly #forward: Pipe
  readonly #backward: Pipe

  constructor({ near, far, faults, peer }: LinkOptions) {
    this.peer = peer
    this.#near = near
    this.#far = far
    near.setNoDelay(true)
    far.setNoDelay(true)
    this.#forward = new Pipe(near, far)
    this.#backward = new Pipe(far, near)
    this.set(faults)
    for (const socket of [near, far]) {
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
    for (const socket of [this.#near, this.#far]) {
      if (!socket.destroyed) socket.resetAndDestroy()
    }
  }
}

/** One direction: bytes in order, each chunk at its own time, none while frozen. */
class Pipe {
  readonly #from: Socket
  readonly #to: Socket
  readonly #waiting: { readonly due: number; readonly chunk: Buffer | undefined }[] = []
  #delayMs = 0
  #frozen = false
  #timer: NodeJS.Timeout | undefined

  constructor(from: Socket, to: Socket) {
    this.#from = from
    this.#to = to
    from.on('data', (chunk: Buffer) => {
      this.#push(chunk)
    })
    from.on('end', () => {
      this.#push(undefined)
    })
    to.on('drain', () => {
      this.#resume()
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
    this.#resume()
  }

  #resume(): void {
    if (!this.#frozen) this.#from.resume()
  }

  #push(chunk: Buffer | undefined): void {
    this.#waiting.push({ due: performance.now() + this.#delayMs, chunk })
    this.#flush()
  }

  #flush(): void {
    clearTimeout(this.#timer)
    while (!this.#frozen) {
      const next = this.#waiting[0]
      if (next === undefined) return
      const wait = next.due - performance.now()
      if (wait > 0) {
        this.#timer = setTimeout(() => {
          this.#flush()
        }, wait)
        return
      }
      this.#waiting.shift()
      this.#deliver(next.chunk)
    }
  }

  #deliver(chunk: Buffer | undefined): void {
    if (!this.#to.writable) return
    if (chunk === undefined) this.#to.end()
    else if (!this.#to.write(chunk)) this.#from.pause()
  }
}

function addressOf(server: Pick<Server, 'address'>): string {
  const { address, port } = server.address() as AddressInfo
  return `${address}:${port}`
}
