/**
 * Pool of connections to one server. The number of connections stays within this entry's share of the server's
 * connection limit; further requests for a connection wait until one is released. While the server sends bytes that belong
 * to no request, each connection is used once.
 */
import { failure, type Failure } from '@bilberrystall/base'
import { ConnectionReuse } from '@bilberrystall/routing'
import { err, ok, type Result } from 'neverthrow'
import { Connection, type Address } from './connection'
import type { Clock, Limits } from './limits'
import type { RefusedResponse } from './response-refusal'

export interface ConnectionPoolOptions {
  readonly address: Address
  readonly limits: Limits
  readonly clock: Clock
  /** Returns this entry's share of the server's connection limit. */
  readonly maxConnections: () => number
  readonly onRetired: (count: number) => void
  readonly onRefused: (refused: RefusedResponse) => void
  /** Connections are used once from now on, or for several requests again. */
  readonly onReuseChanged: (isAllowed: boolean) => void
}

export type AcquireCallback = (result: Result<Connection, Failure>) => void

export interface ConnectionUse {
  /** Accepts only a connection that was used within `idleReuseMs`, or a new one. */
  readonly recentOnly: boolean
  /** Id of the attempt that the connection is for, if it has one. */
  readonly attempt?: string | undefined
}

interface Waiter {
  readonly use: ConnectionUse
  readonly acquired: AcquireCallback
}

export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #connections = new Set<Connection>()
  readonly #idle: Connection[] = []
  readonly #waiters: Waiter[] = []
  readonly #pendingReturns: Connection[] = []
  #opening = 0
  #closed = false
  #connectionTest: Promise<boolean> | undefined
  /** Time in ms of the first suspicion that is not yet confirmed or dismissed. */
  #suspectedAt: number | undefined
  #silentSince = -Infinity
  readonly #reuse = new ConnectionReuse()
  #isReuseAllowed = true

  constructor(options: ConnectionPoolOptions) {
    this.#options = options
  }

  get size(): number {
    return this.#connections.size + this.#opening
  }

  acquire(use: ConnectionUse, acquired: AcquireCallback): void {
    const idle = this.#takeIdle(use)
    if (idle !== undefined) {
      acquired(ok(idle))
      return
    }
    if (this.size >= this.#options.maxConnections()) this.#idle.shift()?.destroy()
    if (this.size < this.#options.maxConnections()) {
      void this.#open(acquired)
      return
    }
    this.#waiters.push({ use, acquired })
  }

  /** Cancels a waiting request for a connection. */
  cancelAcquire(acquired: AcquireCallback): void {
    const index = this.#waiters.findIndex((waiter) => waiter.acquired === acquired)
    if (index >= 0) this.#waiters.splice(index, 1)
  }

  /** Returns a connection to the pool after a complete exchange. */
  release(connection: Connection): void {
    connection.usedAt = this.#now()
    this.#pendingReturns.push(connection)
    // Wait one turn of the event loop, so that an unsolicited byte or a close is detected before the next request.
    if (this.#pendingReturns.length === 1) setImmediate(this.#processReturns)
  }

  /**
   * Closes connections that have been idle for longer than `idleCloseMs`, and allows connections to be used again when the
   * server has sent no bytes that belong to no request for some time.
   */
  sweep(): void {
    this.#updateReuse()
    const limit = this.#now() - this.#options.limits.idleCloseMs
    while (this.#idle[0] !== undefined && this.#idle[0].usedAt < limit) this.#idle.shift()?.destroy()
  }

  /**
   * Suspects the connections that have received nothing since `silentSince`: opens a test connection and, if that
   * succeeds, closes the idle suspects. Resolves to whether the test connection opened. An accepted connection does not
   * prove that the server works, since the kernel also accepts for a hanging process; a response on it does, see
   * `onProgress`.
   */
  suspect(silentSince: number): Promise<boolean> {
    this.#silentSince = Math.max(this.#silentSince, silentSince)
    this.#suspectedAt ??= this.#now()
    this.#connectionTest ??= this.#runConnectionTest(silentSince).finally(() => {
      this.#connectionTest = undefined
    })
    return this.#connectionTest
  }

  /** Records that a connection received data. On a new connection this confirms that the suspected ones are silent. */
  onProgress(connection: Connection): void {
    if (this.#suspectedAt === undefined || connection.openedAt < this.#suspectedAt) return
    const count = this.#retire((other) => !other.retired && other.receivedAt <= this.#silentSince)
    this.#suspectedAt = undefined
    if (count > 0) this.#options.onRetired(count)
  }

  /** Closes idle connections and fails waiting requests; exchanges in flight keep their connections until they end. */
  close(): void {
    this.#closed = true
    if (!this.#isReuseAllowed) this.#options.onReuseChanged(true)
    for (const connection of this.#idle.splice(0)) connection.destroy()
    for (const waiter of this.#waiters.splice(0))
      waiter.acquired(err(failure('connectFailed', 'the server was removed')))
  }

  readonly #processReturns = (): void => {
    for (const connection of this.#pendingReturns.splice(0)) {
      if (this.#closed || !connection.isReusable) connection.destroy()
      else this.#idle.push(connection)
    }
    this.#serveWaiters()
  }

  async #runConnectionTest(silentSince: number): Promise<boolean> {
    // May exceed the limit by one for the duration of the test.
    const opened = await this.#connect()
    if (opened.isErr()) return false
    for (const connection of this.#idle.filter(({ receivedAt }) => receivedAt <= silentSince))
      this.#closeIfIdle(connection)
    this.release(opened.value)
    return true
  }

  #retire(shouldRetire: (connection: Connection) => boolean): number {
    const retired = [...this.#connections].filter(shouldRetire)
    for (const connection of retired) {
      connection.retired = true
      this.#closeIfIdle(connection)
    }
    return retired.length
  }

  #closeIfIdle(connection: Connection): void {
    const index = this.#idle.indexOf(connection)
    if (index >= 0) this.#idle.splice(index, 1)[0]?.destroy()
  }

  #takeIdle({ recentOnly, attempt }: ConnectionUse): Connection | undefined {
    const oldest = recentOnly ? this.#now() - this.#options.limits.idleReuseMs : -Infinity
    for (let index = this.#idle.length - 1; index >= 0; index -= 1) {
      const connection = this.#idle[index]
      if (connection === undefined || connection.usedAt < oldest) return undefined
      if (connection.open && !connection.canCarry(attempt)) continue
      this.#idle.splice(index, 1)
      if (connection.open) return connection
      connection.destroy()
    }
    return undefined
  }

  async #open(acquired: AcquireCallback): Promise<void> {
    acquired(await this.#connect())
  }

  async #connect(): Promise<Result<Connection, Failure>> {
    const { address, limits, clock } = this.#options
    this.#opening += 1
    const result = await Connection.open(address, limits.connectMs, clock.monotonic)
    this.#opening -= 1
    if (result.isErr()) {
      this.#serveWaiters()
      return result
    }
    const connection = result.value
    this.#connections.add(connection)
    connection.isSuspect = !this.#isReuseAllowed
    connection.onRefused((refused) => {
      this.#onRefused(refused)
    })
    connection.onClose(() => {
      this.#connections.delete(connection)
      this.#closeIfIdle(connection)
      this.#serveWaiters()
    })
    return result
  }

  #serveWaiters(): void {
    const canServe = () => this.#idle.length > 0 || this.size < this.#options.maxConnections()
    while (this.#waiters.length > 0 && canServe()) {
      const waiter = this.#waiters.shift()
      if (waiter !== undefined) this.acquire(waiter.use, waiter.acquired)
    }
  }

  #onRefused(refused: RefusedResponse): void {
    this.#options.onRefused(refused)
    if (!concernsReuse(refused)) return
    this.#reuse.onStrayBytes(this.#now())
    this.#updateReuse()
  }

  #updateReuse(): void {
    const isAllowed = this.#reuse.isAllowed(this.#now())
    if (this.#closed || isAllowed === this.#isReuseAllowed) return
    this.#isReuseAllowed = isAllowed
    // Connections that were opened while it was not allowed are not used again.
    if (!isAllowed) for (const connection of this.#connections) connection.isSuspect = true
    if (!isAllowed) for (const connection of this.#idle.splice(0)) connection.destroy()
    this.#options.onReuseChanged(isAllowed)
  }

  #now(): number {
    return this.#options.clock.monotonic()
  }
}

/**
 * Whether bytes of a server came behind a complete response. What answers the first request of a connection did not, and a
 * server that names no attempt in some of its responses sends nothing too many.
 */
function concernsReuse({ refusal, requests }: RefusedResponse): boolean {
  switch (refusal.kind) {
    case 'stray-bytes':
    case 'head-in-body':
      return true
    case 'malformed':
    case 'joined-heads':
    case 'repeated-field':
      return requests > 1
    case 'other-attempt':
      return requests > 1 && refusal.received !== undefined
    case 'unnamed-refusal':
    case 'unsigned':
    case 'invalid-status':
    case 'encoded':
      return false
  }
}
