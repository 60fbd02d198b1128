/**
 * The entry: an HTTP reverse proxy that accepts calls from callers, matches them against the routes of the document in
 * force and forwards them to servers. Calls use the request and response objects of Node.js directly; hono routes only
 * the internal endpoints under `/.bilberrystall/`.
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { getRequestListener } from '@hono/node-server'
import { failure, type Failure, type FailureDomain, type ServerId } from '@bilberrystall/base'
import type { Document } from '@bilberrystall/document'
import { err, ok, type Result } from 'neverthrow'
import { readArrived, stopListening } from './arrived'
import { AttemptIds } from './ids-of-attempts'
import { OPEN_ADMISSION } from './call-admission'
import { Call } from './call'
import { CallPriorities } from './call-priorities'
import { CallPreparation, type PreparedCall } from './call-preparation'
import type { CallDependencies } from './call-dependencies'
import type { Address } from './connection'
import { DEFAULT_DIALECT, type Dialect } from './dialect'
import { ContextCodec } from './context'
import { parseRequestHead, type ResponseHead } from './head'
import { INTERNAL_PREFIX, internalApp } from './internal-app'
import { KeyCheck } from './key-check'
import { createListener, listenOn } from './listener'
import { DEFAULT_LIMITS, SYSTEM_CLOCK, type Clock, type Limits } from './limits'
import type { ConnectionPool } from './connection-pool'
import { CallerConnection, type StopPhase } from './caller-connection'
import { CallerResponse } from './caller-response'
import type { EntryOptions, EntryServer } from './entry-options'
import { ReachabilityMonitor, type ProbedServer } from './reachability-monitor'
import { OPEN_GATE } from './request-gate'
import { RouterDriver } from './router-driver'
import { probe } from './probe'
import { LostCallReports } from './lost-call-reports'
import { startAdmitted } from './quota-wait'
import { RelayPeers } from './relay-peers'
import { rejectionFields } from './retry-after'
import { relayResponseFields } from './relay-response'
import { createServerPool } from './server-pool'

/** Interval of the check for idle connections. Short compared with the idle timeout of several seconds. */
const IDLE_SWEEP_INTERVAL_MS = 1_000
/** Interval at which a drain closes idle connections and checks whether others are left. */
const DRAIN_POLL_INTERVAL_MS = 20
/** Time that a drain waits for the rest of requests that are half received. */
const HALF_RECEIVED_LIMIT_MS = 1_000
/** Time in which callers take the answers to calls that a planned stop ended. */
const ANSWER_LIMIT_MS = 100
/** Multiple of the 95th percentile of the latency that a planned stop must leave for a call. */
const LATENCY_MARGIN = 2

export class Entry {
  readonly #options: EntryOptions
  readonly #limits: Limits
  readonly #clock: Clock
  readonly #http: HttpServer
  readonly #driver: RouterDriver
  readonly #codec: ContextCodec
  readonly #dialect: Dialect
  readonly #attemptIds: AttemptIds
  readonly #preparation: CallPreparation
  readonly #keys: KeyCheck
  readonly #priorities: CallPriorities
  readonly #relayPeers: RelayPeers
  /** Accepts calls of other entries; undefined if this entry does not. */
  readonly #relayHttp: HttpServer | undefined
  readonly #callDependencies: CallDependencies
  readonly #reachability: ReachabilityMonitor
  readonly #pools = new Map<ServerId, ConnectionPool>()
  readonly #servers = new Map<ServerId, EntryServer>()
  readonly #calls = new Set<Call>()
  readonly #lostCalls: LostCallReports
  #acceptedConnections = 0
  /** Open connections of callers. */
  readonly #callerConnections = new Map<Socket, CallerConnection>()
  readonly #handleInternal: (request: IncomingMessage, response: ServerResponse) => unknown
  #poolSweep: NodeJS.Timeout | undefined
  /** Set only while calls are in flight. */
  #callSweep: NodeJS.Timeout | undefined
  /** Monotonic time in ms at which a planned stop began. */
  #stopStartedAt: number | undefined
  /** Whether a planned stop has read what had arrived when it stopped listening. */
  #isClosing = false
  /** Monotonic time in ms at which a planned stop ends the calls in flight. */
  #endsAt = Number.POSITIVE_INFINITY

  constructor(options: EntryOptions) {
    this.#options = options
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits }
    this.#clock = options.clock ?? SYSTEM_CLOCK
    this.#codec = new ContextCodec(options.nodeKey)
    this.#dialect = options.dialect ?? DEFAULT_DIALECT
    this.#attemptIds = new AttemptIds(this.#dialect, options.random)
    const admission = options.admission ?? OPEN_ADMISSION
    this.#keys = new KeyCheck({ document: options.document, admission, dialect: this.#dialect })
    this.#priorities = new CallPriorities({ router: options.router, now: this.#clock.monotonic })
    this.#preparation = new CallPreparation({
      document: options.document,
      revision: () => this.#options.revision?.() ?? 0,
      codec: this.#codec,
      clock: this.#clock,
      random: options.random,
      keys: this.#keys,
      priorities: this.#priorities,
      admission,
    })
    this.#relayPeers = new RelayPeers({
      peers: () => options.relayPeers?.() ?? [],
      limits: this.#limits,
      clock: this.#clock,
    })
    this.#driver = new RouterDriver({
      router: options.router,
      now: this.#clock.monotonic,
      hedging: options.hedging,
      probe: (server, timeoutMs) => {
        this.#probe(server, timeoutMs)
      },
      serverChanged: (change) => options.events?.serverChanged?.(change),
    })
    this.#lostCalls = new LostCallReports({
      connectMs: this.#limits.connectMs,
      serverOf: (id) => this.#servers.get(id),
      onChecked: (lost, start, check) => this.#options.events?.callLost?.(lost, start, check),
    })
    this.#reachability = new ReachabilityMonitor({
      servers: () => this.#readyServers(),
      serverCount: () => options.router.serverCount,
      random: options.random,
      now: this.#clock.monotonic,
      dialect: this.#dialect,
      onResponse: (server, head) => {
        this.#probeAnswered(server, head)
      },
      onChange: (isCutOff) => {
        options.events?.reachabilityChanged?.(isCutOff)
        if (isCutOff) for (const call of this.#calls) call.onCutOff()
      },
    })
    this.#callDependencies = this.#createCallDependencies()
    this.#handleInternal = getRequestListener(internalApp(this.#clock).fetch)
    this.#http = this.#createServer(false)
    this.#relayHttp = options.relayListen === undefined ? undefined : this.#createServer(true)
  }

  /** Port of the listener; differs from the configured port when that is 0. */
  get port(): number {
    return (this.#http.address() as AddressInfo | null)?.port ?? 0
  }

  get callsInFlight(): number {
    return this.#calls.size
  }

  get #phase(): StopPhase {
    if (this.#isClosing) return 'closing'
    return this.#stopStartedAt === undefined ? 'serving' : 'announcing'
  }

  /** Port of the listener for calls of other entries. */
  get relayPort(): number {
    return (this.#relayHttp?.address() as AddressInfo | null | undefined)?.port ?? 0
  }

  /** Starts to listen. Fails with `address-in-use`. */
  async start(): Promise<Result<void, Failure>> {
    const { host, port, relayListen } = this.#options
    const listening = await this.#listen(this.#http, { host, port })
    if (listening.isErr() || this.#relayHttp === undefined || relayListen === undefined) return listening
    // The connections of other entries are kept longer than these keep them.
    this.#relayHttp.keepAliveTimeout = 2 * this.#limits.idleCloseMs
    return this.#listen(this.#relayHttp, relayListen)
  }

  #listen(server: HttpServer, address: Address): Promise<Result<void, Failure>> {
    this.#poolSweep ??= setInterval(() => {
      for (const pool of this.#pools.values()) pool.sweep()
      this.#relayPeers.sweep()
    }, IDLE_SWEEP_INTERVAL_MS)
    return listenOn(server, address, () => {
      clearInterval(this.#poolSweep)
    })
  }

  /** Applies the caller limits, route priorities and traffic splits of a document that came into force. */
  configure(document: Document): void {
    const { headMs, idleMs } = document.callerLimits
    this.#http.headersTimeout = headMs
    this.#http.keepAliveTimeout = idleMs
    this.#priorities.configure(document)
    this.#preparation.configure(document)
  }

  /** Adds or updates a server. A changed address closes its connection pool. */
  updateServer(server: EntryServer): void {
    const known = this.#servers.get(server.id)
    const addressChanged = known?.address.host !== server.address.host || known.address.port !== server.address.port
    if (addressChanged) this.#closePool(server.id)
    this.#servers.set(server.id, server)
    this.#driver.apply(this.#options.router.updateServer(server, this.#clock.monotonic()))
  }

  /** Stops sending calls to the server; exchanges in flight run to their end. */
  removeServer(server: ServerId): void {
    this.#driver.apply(this.#options.router.removeServer(server, this.#clock.monotonic()))
    this.#closePool(server)
    this.#servers.delete(server)
  }

  /** Sends nothing more to the servers of these failure domains, and uses those of all others; exchanges in flight end. */
  evacuate(domains: readonly FailureDomain[]): void {
    this.#driver.apply(this.#options.router.evacuate(domains, this.#clock.monotonic()))
  }

  /**
   * Makes responses ask callers to close their connections. Call it when the health endpoint starts to report that this
   * entry is leaving. Calls that cannot end within `remainingMs` are refused from then on.
   */
  startDraining(remainingMs = Number.POSITIVE_INFINITY): void {
    this.#stopStartedAt ??= this.#clock.monotonic()
    this.#endsAt = Math.min(this.#endsAt, this.#clock.monotonic() + remainingMs)
  }

  /**
   * Stops accepting connections. Resolves to true once no call is in flight and no request is half received, or to false
   * if calls are still in flight after `timeoutMs`. A request whose head does not arrive is waited for only briefly.
   */
  async drain(timeoutMs: number): Promise<boolean> {
    this.startDraining(timeoutMs)
    await stopListening([this.#http, this.#relayHttp], () => this.#acceptedConnections)
    this.#isClosing = true
    this.#closeIdleConnections((server) => server.close())
    const start = this.#clock.monotonic()
    for (;;) {
      await readArrived()
      this.#closeIdleConnections((server) => {
        server.closeIdleConnections()
      })
      const elapsed = this.#clock.monotonic() - start
      const waitsForHead = elapsed < Math.min(timeoutMs, HALF_RECEIVED_LIMIT_MS)
      const isWaiting = [...this.#callerConnections.values()].some(
        ({ inProgress, isLingering }) => inProgress > 0 || isLingering || waitsForHead,
      )
      if (!isWaiting) return true
      if (elapsed >= timeoutMs) return this.callsInFlight === 0
      // A request that came later might not end before the entry does.
      if (!waitsForHead) for (const connection of this.#callerConnections.values()) connection.closeIfIdle()
      await sleep(DRAIN_POLL_INTERVAL_MS)
    }
  }

  /** Resolves once each call that was lost so far has been reported. */
  lostCallsReported(): Promise<void> {
    return this.#lostCalls.settled()
  }

  /**
   * Closes the connections on which neither a request is in progress nor a head is half received. Only the second is
   * known to Node.js, which destroys the sockets on which it expects no head, also those with responses to be flushed.
   */
  #closeIdleConnections(closeServer: (server: HttpServer) => void): void {
    for (const [socket, connection] of this.#callerConnections) {
      socket.destroy = () => {
        connection.closeIfIdle()
        return socket
      }
    }
    for (const server of [this.#http, this.#relayHttp]) if (server !== undefined) closeServer(server)
    for (const socket of this.#callerConnections.keys()) Reflect.deleteProperty(socket, 'destroy')
  }

  /**
   * Ends calls in flight with an answer that tells whether they may have run, then closes all connections. Call `drain`
   * first.
   */
  async stop(): Promise<void> {
    this.startDraining()
    clearInterval(this.#poolSweep)
    clearTimeout(this.#callSweep)
    this.#reachability.stop()
    this.#reportCutConnections()
    for (const call of this.#calls) call.onEntryEnd()
    await this.#sendAnswers()
    for (const server of [this.#http, this.#relayHttp]) {
      server?.close()
      server?.closeAllConnections()
    }
    this.#relayPeers.close()
    for (const server of [...this.#pools.keys()]) this.#closePool(server)
    await this.#options.claims?.settled()
    this.#driver.stop()
  }

  /** Reports the connections of callers that the end of the entry cuts off. */
  #reportCutConnections(): void {
    const cut = [...this.#callerConnections.values()].filter(({ inProgress }) => inProgress > 0)
    if (cut.length === 0) return
    const responses = cut.reduce((sum, { inProgress }) => sum + inProgress, 0)
    this.#options.events?.connectionsCut?.({ connections: cut.length, responses })
  }

  /** Waits for a short time until the answers to ended calls were handed to the operating system. */
  async #sendAnswers(): Promise<void> {
    const start = this.#clock.monotonic()
    while (this.callsInFlight > 0 && this.#clock.monotonic() - start < ANSWER_LIMIT_MS) {
      await sleep(DRAIN_POLL_INTERVAL_MS)
    }
  }

  #createServer(isRelay: boolean): HttpServer {
    return createListener({
      headMs: this.#limits.headMs,
      onRequest: (request, response) => {
        this.#accept(request, response, isRelay)
      },
      onConnection: () => {
        this.#acceptedConnections += 1
      },
      connectionOf: (socket) => this.#callerConnection(socket),
    })
  }

  #createCallDependencies(): CallDependencies {
    return {
      clock: this.#clock,
      limits: this.#limits,
      codec: this.#codec,
      dialect: this.#dialect,
      attemptIds: this.#attemptIds,
      onMisdirected: (server) => {
        this.removeServer(server)
      },
      instance: (server) => this.#servers.get(server)?.instance,
      healthPath: (server) => this.#healthPath(server),
      driver: this.#driver,
      claims: this.#options.claims,
      pool: (server) => this.#pool(server),
      onEnded: (call, result, options) => {
        this.#priorities.ended(options, result)
        const latencyMs = this.#clock.monotonic() - call.acceptedAt
        this.#options.events?.callEnded?.(result, latencyMs, result === 'complete' ? undefined : call.describe())
      },
      queriesLoad: this.#options.router.queriesLoad,
      gate: this.#options.gate ?? OPEN_GATE,
      keys: this.#keys,
      reachability: this.#reachability,
      relayPeers: this.#relayPeers,
      revision: () => this.#options.revision?.() ?? 0,
      stopStartedAt: () => this.#stopStartedAt,
      onRelayed: () => this.#options.events?.callRelayed?.(),
      onRepeat: (repeat) => this.#options.events?.callRepeated?.(repeat),
      onLost: (lost) => {
        this.#lostCalls.add(lost)
      },
      onClosed: (call) => void this.#calls.delete(call),
    }
  }

  #accept(request: IncomingMessage, response: ServerResponse, isRelayed: boolean): void {
    const connection = this.#callerConnection(request.socket)
    const behind = connection.inProgress
    if (!connection.accept(response)) {
      request.resume()
      return
    }
    if (!isRelayed && request.url?.startsWith(INTERNAL_PREFIX) === true) {
      this.#handleInternal(request, response)
      return
    }
    const parsed = parseRequestHead(request, this.#dialect)
    const prepared = parsed
      .andThen((head) => (isRelayed ? this.#preparation.prepareRelayed(head) : this.#preparation.prepare(head)))
      .andThen((call) => (this.#canEnd(call) ? ok(call) : err(failure('entryLeaving'))))
    if (prepared.isErr()) {
      const received = request.headers['content-length'] === undefined && !('transfer-encoding' in request.headers)
      const head = parsed.unwrapOr({ attemptId: undefined })
      const callerResponse = new CallerResponse({
        response,
        connection,
        isBodyReceived: () => received,
        ...(isRelayed ? { added: (result) => relayResponseFields(result, head, this.#callDependencies) } : {}),
      })
      callerResponse.problem(prepared.error, rejectionFields(prepared.error, this.#dialect))
      this.#options.events?.callEnded?.(prepared.error.code, 0)
      return
    }
    const call = new Call(
      { request, response, connection, behind, isRelayed, ...prepared.value },
      this.#callDependencies,
    )
    this.#calls.add(call)
    this.#armCallSweep()
    startAdmitted(call, prepared.value.quota, this.#dialect)
  }

  #callerConnection(socket: Socket): CallerConnection {
    const known = this.#callerConnections.get(socket)
    if (known !== undefined) return known
    const connection = new CallerConnection({ socket, phase: () => this.#phase, now: this.#clock.monotonic })
    this.#callerConnections.set(socket, connection)
    socket.once('close', () => this.#callerConnections.delete(socket))
    return connection
  }

  #pool(id: ServerId): ConnectionPool | undefined {
    const known = this.#pools.get(id)
    const server = this.#servers.get(id)
    if (known !== undefined || server === undefined) return known
    const pool = createServerPool(server, {
      limits: this.#limits,
      clock: this.#clock,
      maxConnections: () => this.#connectionShare(id),
      events: this.#options.events ?? {},
    })
    this.#pools.set(id, pool)
    return pool
  }

  /** Whether a planned stop leaves the call enough time. */
  #canEnd({ route, context }: PreparedCall): boolean {
    const remaining = context.deadline - this.#clock.unix()
    const expected = LATENCY_MARGIN * this.#options.router.p95Latency(route.service)
    const needed = Math.min(remaining, Math.max(expected, route.targetMs ?? 0))
    return this.#clock.monotonic() + needed <= this.#endsAt
  }

  #readyServers(): readonly ProbedServer[] {
    return [...this.#servers.values()]
      .filter(({ id }) => this.#driver.accepts(id))
      .map(({ id, address }) => ({ id, address, path: this.#healthPath(id) }))
  }

  #connectionShare(id: ServerId): number {
    const limit = this.#servers.get(id)?.connectionLimit ?? 1
    return Math.max(1, Math.floor(limit / Math.max(1, this.#options.liveEntries())))
  }

  #closePool(id: ServerId): void {
    this.#pools.get(id)?.close()
    this.#pools.delete(id)
  }

  #probe(id: ServerId, timeoutMs: number): void {
    const pool = this.#pool(id)
    if (pool === undefined) return
    const path = this.#dialect.probePath ?? this.#healthPath(id)
    const onHead = (head: ResponseHead) => {
      this.#probeAnswered(id, head)
    }
    const target = { path, timeoutMs, dialect: this.#dialect, attemptId: this.#attemptIds.next(), onHead }
    probe(pool, target, this.#clock.monotonic, (outcome, latency, load) => {
      this.#driver.probed(id, outcome, latency, load)
    })
  }

  /** A probe names no process, so another one may have answered at the address. */
  #probeAnswered(id: ServerId, head: ResponseHead): void {
    const instance = this.#servers.get(id)?.instance
    if (head.instance === undefined || head.instance === instance) this.#driver.responded(id, head)
  }

  #healthPath(id: ServerId): string {
    const service = this.#servers.get(id)?.service
    const known = service === undefined ? undefined : this.#options.document()?.services.get(service)
    return known?.healthPath ?? '/health'
  }

  #armCallSweep(): void {
    this.#callSweep ??= setTimeout(() => {
      this.#callSweep = undefined
      const now = this.#clock.monotonic()
      for (const call of this.#calls) call.sweep(now)
      if (this.#calls.size > 0) this.#armCallSweep()
    }, this.#limits.sweepIntervalMs)
  }
}
