/** Entry role of a node: updates the HTTP entry and its router from the directory and the document in force. */
import { serverId, type CodeName, type Failure } from '@bilberrystall/base'
import { prepareParser, type Document, type Service } from '@bilberrystall/document'
import { HolderTable } from '@bilberrystall/claims'
import { ClaimGate, claimRoutes, Entry, RpcClaimTransport, SYSTEM_CLOCK, type EndedCall } from '@bilberrystall/entry'
import type { Change, Server } from '@bilberrystall/membership'
import { Router, type Effect, type RetryLimits } from '@bilberrystall/routing'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Histogram } from 'hdr-histogram-js'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Result } from 'neverthrow'
import type { Counter } from 'prom-client'
import type { Adapter, InquiryAllowance } from './adapter'
import type { Announcement } from './announcement'
import type { Departed } from './control-follow'
import type { DocumentKeeper } from './control-documents'
import { EntryFeed } from './entry-feed'
import { FailureLog } from './failure-log'
import type { Frame } from './frame'
import { splitAddress } from './listener'
import type { EntrySettings } from './settings'

const MICROSECONDS_PER_MS = 1000
const EJECTED_SHOWN = 100
const MS_PER_SECOND = 1000
/** Fraction of an allowance that is used, because entries disagree on their number while nodes join and leave. */
const USED_ALLOWANCE = 0.6

export interface EntryRoleOptions {
  readonly frame: Frame
  readonly settings: EntrySettings
  readonly keeper: DocumentKeeper
  readonly adapter: Adapter | undefined
  readonly onDepartures: (departed: readonly Departed[]) => void
  /** Called when an operator asked this node to drain. */
  readonly onDrain: () => void
}

export class EntryRole {
  readonly #entry: Entry
  readonly #router: Router
  readonly #feed: EntryFeed
  readonly #holder: HolderTable
  readonly #options: EntryRoleOptions
  readonly #calls: Counter<'result'>
  readonly #latency: Histogram
  readonly #failures: FailureLog
  readonly #ejected = new Set<string>()
  /** Time at which each server process was first seen, so that a restarted server is treated as cold again. */
  readonly #firstSeen = new Map<string, { readonly start: number; readonly at: number }>()

  constructor(options: EntryRoleOptions) {
    this.#options = options
    const { frame, settings } = options
    const { host, port } = splitAddress(settings.listen)
    this.#calls = frame.metrics.counter('calls_total', 'Calls by result', ['result'])
    this.#latency = frame.metrics.latency('call', 'Latency of calls at the entry')
    const omitted = frame.metrics.counter('log_lines_omitted_total', 'Log lines of failed calls omitted by the rate limit')
    this.#failures = new FailureLog({
      log: frame.log,
      now: frame.now,
      onOmitted: () => {
        omitted.inc()
      },
    })
    const allowance = options.adapter?.inquiries
    this.#router = new Router({
      random: frame.random,
      ...(allowance === undefined ? {} : { inquiries: this.#inquiries(allowance) }),
    })
    this.#feed = new EntryFeed({
      frame,
      environment: settings.environment,
      keeper: options.keeper,
      tokens: this.#router.tokens,
      onDocument: (document) => {
        this.#configure(document)
      },
      onDrain: options.onDrain,
      onDepartures: options.onDepartures,
    })
    this.#holder = new HolderTable({ startedAt: frame.startedAt })
    this.#entry = new Entry({
      host,
      port,
      node: frame.self,
      nodeKey: frame.settings.nodeKey,
      router: this.#router,
      document: () => this.#feed.document(),
      liveEntries: () => this.#liveEntries(),
      claims: this.#claimGate(),
      ...(options.adapter === undefined ? {} : { dialect: options.adapter.dialect }),
      random: frame.random,
      events: {
        ended: (result, latencyMs, call) => {
          this.#ended(result, latencyMs, call)
        },
        changed: (effect) => {
          this.#outlierChanged(effect)
        },
        silentRetired: (server, count) => {
          frame.log.warn('silentRetired', { server, count })
        },
      },
    })
    frame.metrics.gauge('calls_in_flight', 'Calls in flight at the entry', () => this.#entry.callsInFlight)
    frame.metrics.gauge('claimed_keys', 'Idempotency keys stored by this holder', () => this.#holder.size)
    frame.metrics.gauge('claim_bytes', 'Bytes of stored idempotency keys', () => this.#holder.bytes)
    frame.metrics.gauge('servers', 'Known servers of the environment', () => this.#firstSeen.size)
  }

  /** Whether a confirmed document is in force. */
  get hasDocument(): boolean {
    return this.#feed.document() !== undefined
  }

  /** Monotonic time at which control last confirmed the state of this entry. */
  get confirmedAt(): number {
    return this.#feed.confirmedAt()
  }

  /** Registers the service that other entries use to claim keys at this holder. */
  routes(router: ConnectRouter): void {
    claimRoutes(router, this.#holder, this.#options.frame.unix)
  }

  /** Errors: `address-in-use`. */
  listen(): Promise<Result<void, Failure>> {
    return this.#entry.start()
  }

  start(): void {
    this.#feed.start()
    // Uses the idle time until the first responses of other nodes arrive.
    setImmediate(prepareParser)
  }

  /**
   * Graceful shutdown: stops accepting connections after the balancer's grace period. Returns false if calls were still
   * running at the limit.
   */
  async drain(): Promise<boolean> {
    const { balancerGraceMs, stopLimitMs } = this.#options.settings
    this.#entry.leave()
    await sleep(balancerGraceMs)
    return this.#entry.drain(stopLimitMs)
  }

  async stop(): Promise<void> {
    this.#feed.stop()
    await this.#entry.stop()
  }

  #claimGate(): ClaimGate {
    const { frame, settings } = this.#options
    const transport = new RpcClaimTransport({
      clients: frame.clients,
      address: (holder) => frame.directory.nodes.get(holder)?.address,
      self: frame.self,
      table: this.#holder,
      now: frame.unix,
    })
    const roster = () => this.#feed.roster()
    return new ClaimGate({ environment: settings.environment, transport, roster, clock: SYSTEM_CLOCK })
  }

  /** Number of live entries of the environment, including this one. */
  #liveEntries(): number {
    const { frame, settings } = this.#options
    let count = 0
    for (const node of frame.directory.nodes.values()) {
      if (node.roles.includes('entry') && node.environment === settings.environment) count += 1
    }
    return Math.max(1, count)
  }

  changed(changes: readonly Change[]): void {
    this.#feed.changed(changes)
    for (const change of changes) {
      switch (change.kind) {
        case 'server-changed':
          this.#serverChanged(change.key, change.server)
          break
        case 'server-left':
          this.#serverLeft(change.key, change.server)
          break
        case 'node-changed':
          this.#observePeer(change.node.node, change.node.ejected)
          break
        case 'node-lost':
          break
      }
    }
  }

  /** Passes the load that a server reported in its announcement to the router. */
  announced(key: string, announcement: Announcement): void {
    const { load, server } = announcement
    if (load === undefined) return
    const inflight = Math.min(load, server.slots)
    const report = { inflight, slots: server.slots, queue: Math.max(0, load - server.slots) }
    this.#router.observe({ server: serverId(key), age: 0, load: report }, this.#options.frame.now())
  }

  #configure(document: Document): void {
    const now = this.#options.frame.now()
    for (const service of document.services.values()) {
      const { concurrency } = service
      this.#router.configure(service.name, { retries: this.#retries(service), concurrency }, now)
    }
    this.#entry.configure(document)
  }

  #inquiries({ perServerPerSecond }: InquiryAllowance) {
    const { frame } = this.#options
    return {
      domain: frame.settings.failureDomain,
      perServerPerSecond: () => (perServerPerSecond * USED_ALLOWANCE) / this.#liveEntries(),
    }
  }

  /** The platform's allowance applies to all entries together, so its fixed part is divided among them. */
  #retries({ retryBudget }: Service): RetryLimits {
    const allowance = this.#options.adapter?.retries
    if (allowance === undefined) return { share: retryBudget }
    const spare = (allowance.spare * USED_ALLOWANCE) / this.#liveEntries()
    const minimum = (spare * MS_PER_SECOND) / allowance.windowMs
    return { share: allowance.share * USED_ALLOWANCE, minimum, burst: Math.max(1, spare) }
  }

  #serverChanged(key: string, server: Server): void {
    const { frame, settings } = this.#options
    if (server.environment !== settings.environment) return
    if (server.state === 'stopped') {
      this.#serverLeft(key, server)
      return
    }
    const known = this.#firstSeen.get(key)
    const at = known?.start === server.start ? known.at : frame.now()
    this.#firstSeen.set(key, { start: server.start, at })
    this.#entry.updateServer({
      id: serverId(key),
      service: server.service,
      domain: server.failureDomain,
      slots: server.slots,
      state: server.state,
      firstSeen: at,
      address: splitAddress(server.address),
      instance: server.server,
      connectionLimit: this.#connectionLimit(server),
    })
    const code: CodeName = server.state === 'draining' ? 'serverLeft' : 'serverJoined'
    frame.log.info(code, { server: key, state: server.state })
  }

  #connectionLimit({ service, connectionLimit }: Server): number {
    return Math.min(connectionLimit, this.#feed.document()?.services.get(service)?.connectionLimit ?? Infinity)
  }

  #serverLeft(key: string, server: Server): void {
    if (!this.#firstSeen.delete(key)) return
    this.#entry.removeServer(serverId(key))
    this.#options.frame.log.info('serverLeft', { server: key, state: server.state })
  }

  #observePeer(node: string, ejected: readonly string[]): void {
    const { frame } = this.#options
    if (node === frame.self) return
    for (const key of ejected) {
      if (this.#firstSeen.has(key)) this.#router.observe({ server: serverId(key), age: 0, ejected: true }, frame.now())
    }
  }

  #ended(result: CodeName | 'complete', latencyMs: number, call: EndedCall | undefined): void {
    this.#calls.inc({ result })
    if (call !== undefined && result !== 'complete') this.#failures.write(result, latencyMs, call)
    this.#latency.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)))
  }

  #outlierChanged(effect: Extract<Effect, { kind: 'ejected' | 'restored' }>): void {
    const { frame } = this.#options
    if (effect.kind === 'ejected') {
      this.#ejected.add(effect.server)
      frame.log.warn('serverEjected', { server: effect.server, reason: effect.reason })
    } else {
      this.#ejected.delete(effect.server)
      frame.log.info('serverRestored', { server: effect.server })
    }
    frame.announce({ ejected: [...this.#ejected].slice(0, EJECTED_SHOWN) })
  }
}
