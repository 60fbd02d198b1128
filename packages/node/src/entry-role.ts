/** Entry role of a node: updates the HTTP entry and its router from the directory and the document in force. */
import { serverId, type CodeName, type Environment, type Failure } from '@bilberrystall/base'
import { warmUpParser, type Document } from '@bilberrystall/document'
import { ClaimTable } from '@bilberrystall/claims'
import {
  ClaimCoordinator,
  claimRoutes,
  Entry,
  RpcClaimTransport,
  SYSTEM_CLOCK,
  type EndedCall,
  type RelayPeer,
} from '@bilberrystall/entry'
import type { DirectoryChange, Server } from '@bilberrystall/membership'
import { HedgingPolicies, Router, type ServerChange } from '@bilberrystall/routing'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Histogram } from 'hdr-histogram-js'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Result } from 'neverthrow'
import type { Counter } from 'prom-client'
import type { Adapter, LoadQueryAllowance } from './adapter'
import type { Announcement } from './announcement'
import type { DepartedServer } from './control-follower'
import type { DocumentStore } from './document-store'
import { ControlClient } from './control-client'
import type { NotifiedEntry } from './control-delivery'
import { EntryList } from './entry-list'
import { ALLOWANCE_FRACTION, configureLimits, entrySharing } from './entry-limits'
import { Evacuations, type EvacuationChange, type EvacuationList } from './evacuations'
import { EntryQuotas } from './entry-quotas'
import { createFailureLog, registerEntryGauges } from './entry-metrics'
import type { FailureLog } from './failure-log'
import { RepeatLog } from './repeat-log'
import { registerHedgingMetrics } from './hedging-metrics'
import type { NodeContext } from './node-context'
import { splitAddress } from './listener'
import type { QuarantineExchange } from './quarantine-exchange'
import { ResponseRefusals } from './response-refusals'
import type { EntrySettings } from './settings'
import { limitStopTimes, type StopTimes } from './stop-times'

const MICROSECONDS_PER_MS = 1000
const MAX_EJECTED_ANNOUNCED = 100

export interface EntryRoleOptions {
  readonly context: NodeContext
  readonly settings: EntrySettings
  readonly documentStore: DocumentStore
  readonly adapter: Adapter | undefined
  readonly quarantine: QuarantineExchange
  readonly onDepartures: (departed: readonly DepartedServer[]) => void
  /** Called when an operator asked this node to drain. */
  readonly onDrain: () => void
}

export class EntryRole {
  readonly #entry: Entry
  readonly #evacuations = new Evacuations((change) => {
    this.#evacuated(change)
  })
  readonly #router: Router
  readonly #hedging: HedgingPolicies
  readonly #controlClient: ControlClient
  readonly #quotas: EntryQuotas
  readonly #claimTable: ClaimTable
  readonly #options: EntryRoleOptions
  readonly #calls: Counter<'result'>
  readonly #latency: Histogram
  readonly #failures: FailureLog
  readonly #refusals: ResponseRefusals
  readonly #lostCalls: Counter<'check'>
  readonly #relayed: Counter
  readonly #ejected = new Set<string>()
  #isCutOff = false
  /** Servers that name a rate limit. */
  readonly #limited = new Set<string>()
  readonly #pauses: Counter
  readonly #entries: EntryList
  /** Time at which each server process was first seen, so that a restarted server is ramped up again. */
  readonly #firstSeen = new Map<string, { readonly start: number; readonly at: number }>()

  constructor(options: EntryRoleOptions) {
    this.#options = options
    const { context, settings } = options
    const { host, port } = splitAddress(settings.listen)
    this.#calls = context.metrics.counter('calls_total', 'Calls by result', ['result'])
    this.#latency = context.metrics.latency('call', 'Latency of calls at the entry')
    this.#lostCalls = context.metrics.counter(
      'lost_calls_total',
      'Calls whose connection to the server broke, by the state of the server right after',
      ['check'],
    )
    this.#relayed = context.metrics.counter('calls_relayed_total', 'Calls passed on to another entry', [])
    this.#failures = createFailureLog(context)
    const repeats = new RepeatLog({ context, entries: () => this.#entries.recent().length })
    this.#refusals = new ResponseRefusals({ context, isKnown: (server) => this.#firstSeen.has(server) })
    const allowance = options.adapter?.loadQueries
    this.#entries = new EntryList(context, settings.environment, { windowMs: options.adapter?.retries?.windowMs })
    this.#router = new Router({
      random: context.random,
      ...entrySharing(context.self, this.#entries, options.adapter),
      ...(allowance === undefined ? {} : { loadQueries: this.#loadQueries(allowance) }),
    })
    this.#hedging = new HedgingPolicies({ defaultLimit: settings.hedgeLimit })
    registerHedgingMetrics(context.metrics, { hedging: this.#hedging, now: context.now })
    this.#quotas = new EntryQuotas({
      context,
      bounds: options.adapter?.quotas,
      entries: () => this.#entries.live(),
      onUsedUp: () => {
        this.#controlClient.requestShares()
      },
    })
    this.#controlClient = new ControlClient({
      context,
      environment: settings.environment,
      documentStore: options.documentStore,
      tokens: this.#router.tokens,
      keyRevocation: options.adapter?.keyRevocation,
      quotas: this.#quotas,
      onDocument: (document) => {
        this.#configure(document)
      },
      onDrain: options.onDrain,
      onDepartures: options.onDepartures,
      evacuations: this.#evacuations,
    })
    const createdAt = context.now()
    this.#claimTable = new ClaimTable({ startedAt: context.startedAt, uptime: () => context.now() - createdAt })
    this.#entry = new Entry({
      host,
      port,
      node: context.self,
      nodeKey: context.settings.nodeKey,
      router: this.#router,
      hedging: this.#hedging,
      document: () => this.#controlClient.document(),
      liveEntries: () => this.#entries.live().length,
      claims: this.#createClaimCoordinator(),
      ...(options.adapter === undefined ? {} : { dialect: options.adapter.dialect }),
      random: context.random,
      gate: options.quarantine.gate,
      admission: {
        areKeysConfirmed: () => this.#controlClient.areKeysConfirmed(),
        takeQuota: (organisation) => this.#quotas.take(organisation),
      },
      revision: () => this.#revision(),
      ...(settings.relayListen === undefined ? {} : { relayListen: splitAddress(settings.relayListen) }),
      relayPeers: () => this.#relayPeers(),
      events: {
        ...this.#refusals.events,
        callEnded: (result, latencyMs, call) => {
          this.#callEnded(result, latencyMs, call)
        },
        serverChanged: (change) => {
          this.#useChanged(change)
        },
        reachabilityChanged: (isCutOff) => {
          if (isCutOff) context.log.warn('serversUnreachable')
          else context.log.info('serversReachable')
          this.#isCutOff = isCutOff
          context.announce({ cutOff: isCutOff })
          void context.gossip.pushToPeers()
        },
        callRelayed: () => {
          this.#relayed.inc()
        },
        callRepeated: (repeat) => {
          repeats.add(repeat)
        },
        callLost: (lost, start, check) => {
          this.#lostCalls.inc({ check })
          this.#failures.writeLost(lost, check)
          if (check === 'ended') options.quarantine.crashed(lost, start)
        },
        connectionsCut: (cut) => {
          context.log.warn('connectionsCut', cut)
        },
        silentRetired: (server, count) => {
          context.log.warn('silentRetired', { server, count })
        },
      },
    })
    this.#pauses = context.metrics.counter('server_pauses_total', 'Pauses that servers asked for')
    registerEntryGauges(context.metrics, {
      callsInFlight: () => this.#entry.callsInFlight,
      isCutOff: () => this.#isCutOff,
      claimTable: this.#claimTable,
      servers: () => this.#firstSeen.size,
      limitedServers: () => this.#limited.size,
      coldServers: () => this.#router.coldServers(context.now()),
      evacuatedDomains: () => this.#evacuations.domains.length,
    })
  }

  /** Whether a confirmed document is in force. */
  get hasDocument(): boolean {
    return this.#controlClient.document() !== undefined
  }

  /** Monotonic time at which control last confirmed the state of this entry. */
  get confirmedAt(): number {
    return this.#controlClient.confirmedAt()
  }

  /** Receives the changes that control committed; undefined for another environment. */
  notified(environment: Environment): NotifiedEntry | undefined {
    return environment === this.#options.settings.environment ? this.#controlClient : undefined
  }

  /** Applies the list that the replica on this node committed. */
  evacuationsCommitted(list: EvacuationList): void {
    this.#evacuations.offer(list)
  }

  /** Registers the service that other entries use to claim keys at this holder. */
  routes(router: ConnectRouter): void {
    claimRoutes(router, this.#claimTable, this.#options.context.wallClock)
  }

  /** Errors: `address-in-use`. */
  listen(): Promise<Result<void, Failure>> {
    return this.#entry.start()
  }

  start(): void {
    this.#controlClient.start()
    // Compiles the schemas of the document parser in the idle time until other nodes send their first responses.
    setImmediate(warmUpParser)
  }

  /**
   * Graceful shutdown: stops accepting connections after the balancer's grace period. Returns false if calls were still
   * running at the limit.
   */
  async drain(): Promise<boolean> {
    const { balancerGraceMs, stopLimitMs } = this.#stopTimes
    this.#entry.startDraining(balancerGraceMs + stopLimitMs)
    await sleep(balancerGraceMs)
    const isFinished = await this.#entry.drain(stopLimitMs)
    // At the limit no time is left.
    if (isFinished) await this.#publishReports()
    return isFinished
  }

  /** The last calls may have shown that servers ended, and no other node can know that. */
  async #publishReports(): Promise<void> {
    await this.#entry.lostCallsReported()
    await this.#options.quarantine.flush()
  }

  /** Time that `drain` may take. */
  get drainLimitMs(): number {
    const { balancerGraceMs, stopLimitMs } = this.#stopTimes
    return balancerGraceMs + stopLimitMs
  }

  get #stopTimes(): StopTimes {
    const { settings, adapter } = this.#options
    return adapter?.killAfterMs === undefined ? settings : limitStopTimes(settings, adapter.killAfterMs)
  }

  async stop(): Promise<void> {
    this.#controlClient.stop()
    await this.#entry.stop()
  }

  #createClaimCoordinator(): ClaimCoordinator {
    const { context, settings } = this.#options
    const transport = new RpcClaimTransport({
      clients: context.clients,
      address: (holder) => context.directory.nodes.get(holder)?.address,
      self: context.self,
      table: this.#claimTable,
      now: context.wallClock,
    })
    const roster = () => this.#controlClient.roster()
    return new ClaimCoordinator({ environment: settings.environment, transport, roster, clock: SYSTEM_CLOCK })
  }

  /** Entries to which calls can be passed on while this one reaches no server. */
  #relayPeers(): readonly RelayPeer[] {
    const { context } = this.#options
    const peers: RelayPeer[] = []
    for (const node of this.#entries.live()) {
      const record = context.directory.nodes.get(node)
      if (node === context.self || record?.relay === undefined || record.state !== 'serving') continue
      const isNear = record.failureDomain === context.settings.failureDomain
      peers.push({ node, address: splitAddress(record.relay), isNear })
    }
    return peers
  }

  #revision(): number {
    const { documentStore, settings } = this.#options
    return documentStore.inForce(settings.environment)?.revision ?? 0
  }

  applyChanges(changes: readonly DirectoryChange[]): void {
    this.#controlClient.applyChanges(changes)
    for (const change of changes) {
      switch (change.kind) {
        case 'server-changed':
          this.#serverChanged(change.key, change.server)
          break
        case 'server-left':
          this.#serverLeft(change.key, change.server)
          break
        case 'node-changed':
          this.#entries.nodeChanged(change)
          this.#observePeer(change.node.node, change.node.ejected)
          break
        case 'node-lost':
          this.#entries.nodeChanged(change)
          break
        case 'node-refused':
          break
      }
    }
  }

  /** Passes the load that a server reported in its announcement to the router. */
  reportLoad(key: string, announcement: Announcement): void {
    const { load, server } = announcement
    if (load === undefined) return
    const inflight = Math.min(load, server.slots)
    const report = { inflight, slots: server.slots, queue: Math.max(0, load - server.slots) }
    this.#router.observe({ server: serverId(key), age: 0, load: report }, this.#options.context.now())
  }

  #configure(document: Document): void {
    const { adapter, context } = this.#options
    configureLimits(document, this.#router, adapter, context.now())
    for (const { name, hedgeLimit } of document.services.values()) this.#hedging.configure(name, hedgeLimit)
    this.#quotas.configure(document)
    this.#entry.configure(document)
  }

  #loadQueries({ perServerPerSecond }: LoadQueryAllowance) {
    const { context } = this.#options
    return {
      entry: context.self,
      domain: context.settings.failureDomain,
      perServerPerSecond: () => (perServerPerSecond * ALLOWANCE_FRACTION) / this.#entries.live().length,
    }
  }

  #serverChanged(key: string, server: Server): void {
    const { context, settings } = this.#options
    if (server.environment !== settings.environment) return
    if (server.state === 'stopped') {
      this.#serverLeft(key, server)
      return
    }
    const known = this.#firstSeen.get(key)
    const at = known?.start === server.start ? known.at : context.now()
    this.#firstSeen.set(key, { start: server.start, at })
    this.#entry.updateServer({
      id: serverId(key),
      service: server.service,
      domain: server.failureDomain,
      slots: server.slots,
      state: server.state,
      firstSeen: at,
      coldMs: server.warmUpMs ?? 0,
      address: splitAddress(server.address),
      instance: server.server,
      start: server.start,
      connectionLimit: this.#connectionLimit(server),
    })
    const code: CodeName = server.state === 'draining' ? 'serverLeft' : 'serverJoined'
    context.log.info(code, { server: key, state: server.state })
  }

  #connectionLimit({ service, connectionLimit }: Server): number {
    return Math.min(connectionLimit, this.#controlClient.document()?.services.get(service)?.connectionLimit ?? Infinity)
  }

  #serverLeft(key: string, server: Server): void {
    if (!this.#firstSeen.delete(key)) return
    this.#limited.delete(key)
    this.#entry.removeServer(serverId(key))
    this.#refusals.serverLeft(serverId(key))
    this.#options.context.log.info('serverLeft', { server: key, state: server.state })
  }

  #evacuated({ domains, started, ended }: EvacuationChange): void {
    this.#entry.evacuate(domains)
    const { log } = this.#options.context
    for (const domain of started) log.info('evacuationStarted', { domain })
    for (const domain of ended) log.info('evacuationEnded', { domain })
  }

  #observePeer(node: string, ejected: readonly string[]): void {
    const { context } = this.#options
    if (node === context.self) return
    for (const key of ejected) {
      if (this.#firstSeen.has(key))
        this.#router.observe({ server: serverId(key), age: 0, ejected: true }, context.now())
    }
  }

  #callEnded(result: CodeName | 'complete', latencyMs: number, call: EndedCall | undefined): void {
    this.#calls.inc({ result })
    if (call !== undefined && result !== 'complete') this.#failures.write(result, latencyMs, call)
    this.#latency.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)))
  }

  #useChanged(change: ServerChange): void {
    const { log } = this.#options.context
    const { server } = change
    switch (change.kind) {
      case 'ejected':
        this.#ejected.add(server)
        log.warn('serverEjected', { server, reason: change.reason })
        this.#announceEjected()
        return
      case 'restored':
        this.#ejected.delete(server)
        log.info('serverRestored', { server })
        this.#announceEjected()
        return
      case 'limited':
        this.#limited.add(server)
        log.info('serverLimited', { server, rate: change.rate })
        return
      case 'unlimited':
        this.#limited.delete(server)
        log.info('serverUnlimited', { server })
        return
      case 'cold':
        log.info('serverCold', { server, forMs: Math.round(change.coldMs) })
        return
      case 'warm':
        log.info('serverWarm', { server })
        return
      case 'leaving':
        log.info('serverLeaving', { server })
        return
      case 'paused':
        this.#pauses.inc()
    }
  }

  #announceEjected(): void {
    this.#options.context.announce({ ejected: [...this.#ejected].slice(0, MAX_EJECTED_ANNOUNCED) })
  }
}
