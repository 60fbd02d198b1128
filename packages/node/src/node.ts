/**
 * A node process: opens the shared services, starts the roles, and stops them in an order that interrupts no call.
 * Roles on the same node share the directory, the RPC server and the status listener.
 */
import { randomInt } from 'node:crypto'
import { failure, resultCode, seededRandom, type CodeName, type Failure } from '@bilberrystall/base'
import { Directory, isLeaving, leaseTimes, serverKey, type DirectoryChange, type Node } from '@bilberrystall/membership'
import { RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { err, ok, type Result } from 'neverthrow'
import type { Announcement } from './announcement'
import type { Adapter, Gateway } from './adapter'
import { ControlContacts } from './control-contacts'
import { controlMetrics, type ControlMetrics } from './control-metrics'
import { ControlSupervisor } from './control-supervisor'
import { ControlRole, controlRoutes } from './control-role'
import type { DepartedServer } from './control-follower'
import { setAsideLog, type FileSystem } from '@bilberrystall/storage'
import { announceDocuments } from './document-announcer'
import { DocumentStore } from './document-store'
import { EntryRole } from './entry-role'
import type { NodeContext } from './node-context'
import { createNodeRecord } from './node-record'
import { Gossip } from './gossip'
import { computeHealth } from './health'
import { listen, splitAddress, type Listener } from './listener'
import { createLog, type Log } from './log'
import { createClusterBootstrap, createGateway, openPlatformListeners } from './platform-role'
import { LeaderMemory } from './leader-memory'
import { Metrics } from './metrics'
import { PeerTracker } from './peer-tracker'
import { createQuarantineExchange, type QuarantineExchange } from './quarantine-exchange'
import { closeParts, finishWork, stopEnd, type NodeParts } from './node-shutdown'
import type { ControlSettings, Settings } from './settings'
import { statusApp, type Health } from './status-listener'
import { registerTrafficMetrics } from './traffic-metrics'

/** Maximum delay of lease expiry: a small fraction of the shortest lease, 1.3 s, and of the slow ones, 12 s and 5 s. */
const EXPIRY_INTERVAL_MS = 100
const SLOW_EXPIRY_INTERVAL_MS = 250
const RANDOM_SEED_RANGE = 2 ** 32
const FIRST_COUNTER_RANGE = 2 ** 31

export interface NodeOptions {
  readonly log?: Log
  readonly adapter?: Adapter
  /** File system of the data folder. */
  readonly fileSystem?: FileSystem
  /** Called on a fatal error or when an operator asked the node to leave; the process must then stop the node. */
  readonly onStopRequired?: (code: CodeName) => void
}

export class RunningNode {
  readonly #settings: Settings
  readonly #context: NodeContext
  readonly #quarantine: QuarantineExchange
  readonly #peers: PeerTracker
  readonly #gateway: Gateway
  readonly #documentStore = new DocumentStore()
  readonly #metrics = new Metrics()
  readonly #traffic = new TrafficCounter()
  readonly #onStopRequired: (code: CodeName) => void
  readonly #listeners: Listener[] = []
  readonly #adapter: Adapter | undefined
  readonly #fileSystem: FileSystem | undefined
  readonly #startedAt = performance.now()
  #seeds: readonly string[]
  #nodeRecord: Node
  #rpc: RpcServer | undefined
  #controlSupervisor: ControlSupervisor | undefined
  #operatorListener: Listener | undefined
  #entry: EntryRole | undefined
  #expiryTimer: NodeJS.Timeout | undefined
  #stopping: Promise<CodeName> | undefined

  private constructor(settings: Settings, options: NodeOptions) {
    this.#settings = settings
    this.#seeds = settings.seeds
    this.#onStopRequired = options.onStopRequired ?? (() => undefined)
    this.#adapter = options.adapter
    this.#fileSystem = options.fileSystem
    this.#nodeRecord = createNodeRecord(settings)
    this.#context = this.#createContext(options.log ?? createLog({ node: settings.node }))
    this.#quarantine = createQuarantineExchange(this.#context)
    this.#peers = new PeerTracker(this.#context)
    this.#gateway = createGateway({
      context: this.#context,
      control: () => this.#control,
      health: () => this.#health(),
      onAnnounced: (server) => this.#serverAnnounced({ server, load: undefined }),
      onDeparted: (departed) => {
        this.#applyDepartures(departed)
      },
    })
  }

  /** Errors: those of opening the data folder, and `address-in-use`. */
  static async start(settings: Settings, options: NodeOptions = {}): Promise<Result<RunningNode, Failure>> {
    const node = new RunningNode(settings, options)
    const started = await node.#start()
    if (started.isOk()) return ok(node)
    await node.#close()
    return err(started.error)
  }

  get log(): Log {
    return this.#context.log
  }

  /** Undefined without the control role, and while its replica is not open. */
  get #control(): ControlRole | undefined {
    return this.#controlSupervisor?.control
  }

  /**
   * Graceful shutdown: reports `leaving` on the health endpoint, transfers leadership, waits for the balancer's grace
   * period and for calls in flight, then closes the listeners. Repeated calls share one shutdown.
   */
  stop(): Promise<CodeName> {
    this.#stopping ??= this.#shutDown()
    return this.#stopping
  }

  /** Applies settings that may change at runtime, which are the seeds; all others require a restart. */
  reload(settings: Settings): void {
    const { log } = this.#context
    const restart = JSON.stringify({ ...settings, seeds: [] }) !== JSON.stringify({ ...this.#settings, seeds: [] })
    this.#seeds = settings.seeds
    log.info('settingsReloaded', { seeds: settings.seeds, restart })
  }

  async #start(): Promise<Result<void, Failure>> {
    const opened = await this.#openRoles()
    if (opened.isErr()) return opened
    const served = await this.#openRpcServer()
    if (served.isErr()) return served
    const listening = await this.#openListeners()
    if (listening.isErr()) return listening
    this.#announce({ state: 'serving' })
    this.#context.gossip.start()
    this.#control?.start()
    this.#entry?.start()
    const clusterBootstrap = createClusterBootstrap(this.#context, () => this.#control)
    this.#expiryTimer = setInterval(
      () => {
        this.expire()
        clusterBootstrap?.tick(performance.now() - this.#startedAt)
      },
      this.#settings.entry?.renewalMs === undefined ? EXPIRY_INTERVAL_MS : SLOW_EXPIRY_INTERVAL_MS,
    )
    if (this.#settings.nodeKey === '') this.#context.log.warn('keysOff')
    this.#context.log.info('nodeStarted', { roles: this.#settings.roles })
    return ok()
  }

  /** Expires leases. Timers that are delayed by a process freeze must not keep a lost server in use. */
  expire(): void {
    this.#applyChanges(this.#context.directory.expire(this.#context.now()))
    this.#quarantine.expire()
  }

  async #openRoles(): Promise<Result<void, Failure>> {
    const { control, entry } = this.#settings
    announceDocuments(this.#documentStore, this.#context)
    if (entry !== undefined) {
      this.#entry = new EntryRole({
        context: this.#context,
        settings: entry,
        documentStore: this.#documentStore,
        adapter: this.#adapter,
        quarantine: this.#quarantine,
        onDepartures: (departed) => {
          this.#applyDepartures(departed)
        },
        onDrain: () => {
          this.#onStopRequired('nodeLeaving')
        },
      })
    }
    if (control === undefined) return ok()
    const metrics = controlMetrics(this.#metrics, () => this.#control)
    const supervisor = new ControlSupervisor({
      open: (onFailed) => this.#openControl(control, metrics, onFailed),
      setAside: () => setAsideLog(control.dataFolder, this.#fileSystem),
      servesCallers: entry !== undefined,
      log: this.#context.log,
      onOpened: (opened) => this.#startLateControl(opened),
      onClosed: () => this.#controlClosed(),
      onFatal: (cause) => {
        this.#failFatally(cause)
      },
    })
    this.#controlSupervisor = supervisor
    this.#metrics.gauge('control_waits_for_room', 'Whether the replica cannot be opened because the disk is full', () =>
      Number(supervisor.waitsForRoom),
    )
    const opened = await supervisor.open()
    if (supervisor.control !== undefined) this.#announce({ disk: supervisor.control.disk })
    return opened
  }

  #openControl(
    settings: ControlSettings,
    metrics: ControlMetrics,
    onFatal: (cause: Failure) => void,
  ): Promise<Result<ControlRole, Failure>> {
    return ControlRole.open({
      node: this.#settings.node,
      settings,
      clients: this.#context.clients,
      leaders: this.#context.leaders,
      cluster: this.#context.directory,
      documentStore: this.#documentStore,
      log: this.#context.log,
      metrics,
      quotaBounds: this.#adapter?.quotas,
      random: this.#context.random,
      incarnations: () => this.#context.directory.incarnations,
      onFatal,
      onDrain: () => {
        this.#onStopRequired('nodeLeaving')
      },
      onDepartures: (departed) => {
        this.#applyDepartures(departed)
      },
      onEvacuations: (list) => {
        this.#entry?.evacuationsCommitted(list)
      },
      onReleased: (clearance) => {
        this.#quarantine.released(clearance)
      },
      ...(this.#fileSystem === undefined ? {} : { fileSystem: this.#fileSystem }),
    })
  }

  /** Starts a replica that could be opened only after the start of the node. */
  async #startLateControl(control: ControlRole): Promise<void> {
    this.#announce({ disk: control.disk })
    control.start()
    const listening = await this.#openOperatorListener()
    if (listening.isErr()) this.#failFatally(listening.error)
  }

  /** A node whose replica has failed announces no disk, so that the leader does not count on it. */
  async #controlClosed(): Promise<void> {
    this.#announce({ disk: '' })
    const listener = this.#operatorListener
    this.#operatorListener = undefined
    await listener?.close()
  }

  #failFatally(cause: Failure): void {
    this.#context.log.error(cause.code, { message: cause.message })
    this.#onStopRequired(cause.code)
  }

  async #openRpcServer(): Promise<Result<void, Failure>> {
    const { host, port } = splitAddress(this.#settings.rpcListen)
    const rpc = await RpcServer.listen({
      host,
      port,
      nodeKey: this.#settings.nodeKey,
      traffic: this.#traffic,
      routes: (router) => {
        this.#context.gossip.routes(router)
        this.#entry?.routes(router)
        controlRoutes(router, {
          documentStore: this.#documentStore,
          now: this.#context.now,
          clients: this.#context.clients,
          control: () => this.#control,
          entry: (environment) => this.#entry?.notified(environment),
        })
      },
    })
    return rpc.map((server) => {
      this.#rpc = server
    })
  }

  async #openListeners(): Promise<Result<void, Failure>> {
    const status = statusApp({
      health: () => this.#health(),
      metrics: () => this.#metrics.render(),
      serverKey: this.#settings.entry?.serverKey,
      renewalMs: this.#settings.entry?.renewalMs,
      announce: (announcement) => this.#postedAnnouncement(announcement),
    })
    const listening = await listen(status, this.#settings.statusListen)
    if (listening.isErr()) return err(listening.error)
    this.#listeners.push(listening.value)
    const adapted = await this.#openPlatformListeners()
    if (adapted.isErr()) return adapted
    const operators = await this.#openOperatorListener()
    if (operators.isErr()) return operators
    return this.#entry === undefined ? ok() : this.#entry.listen()
  }

  async #openOperatorListener(): Promise<Result<void, Failure>> {
    const address = this.#settings.control?.listen
    if (this.#control === undefined || address === undefined) return ok()
    const operators = await listen(this.#control.operatorApp(this.#quarantine), address)
    return operators.map((listener) => {
      this.#operatorListener = listener
    })
  }

  async #openPlatformListeners(): Promise<Result<void, Failure>> {
    if (this.#adapter === undefined) return ok()
    const listening = await openPlatformListeners(this.#adapter, this.#gateway)
    return listening.map((listeners) => {
      this.#listeners.push(...listeners)
    })
  }

  #applyDepartures(departed: readonly DepartedServer[]): void {
    const { directory, now } = this.#context
    for (const { server, start } of departed) this.#applyChanges(directory.depart(server, start, now()))
  }

  /** Where control decides departures, a server that leaves is acknowledged once control has committed that. */
  async #postedAnnouncement(announcement: Announcement): Promise<Result<void, Failure>> {
    const { entry } = this.#settings
    const { environment } = announcement.server
    const isDecidedByControl = entry?.renewalMs !== undefined && environment === entry.environment
    if (isLeaving(announcement.server) && isDecidedByControl) return this.#gateway.announce(announcement.server)
    return this.#serverAnnounced(announcement)
  }

  #serverAnnounced(announcement: Announcement): Result<void, Failure> {
    const { environment } = announcement.server
    if (environment !== this.#settings.entry?.environment) {
      return err(failure('announcementInvalid', `this entry does not serve environment ${environment}`))
    }
    const { directory, now } = this.#context
    return directory.announce(announcement.server, now()).map((changes) => {
      this.#applyChanges(changes)
      this.#entry?.reportLoad(serverKey(announcement.server), announcement)
      const leaving = changes.some((change) => change.kind === 'server-changed' && change.server.state === 'draining')
      if (leaving) void this.#context.gossip.pushToPeers()
    })
  }

  #health(): Health {
    const now = this.#context.now()
    const confirmedAt = this.#entry?.confirmedAt ?? this.#control?.confirmedAt ?? Number.NEGATIVE_INFINITY
    return computeHealth({
      leaving: this.#stopping !== undefined,
      documentInForce: this.#entry === undefined || this.#entry.hasDocument,
      confirmedAgeMs: now - confirmedAt,
      lastExchangeAgeMs: now - this.#context.gossip.lastExchangeAt,
    })
  }

  async #shutDown(): Promise<CodeName> {
    const { log } = this.#context
    const endsAt = stopEnd(this.#parts(), performance.now())
    log.info('nodeLeaving')
    this.#announce({ state: 'leaving' })
    void this.#context.gossip.pushToPeers()
    const finished = await finishWork(this.#parts(), { log, endsAt })
    await this.#close(endsAt)
    const code: CodeName = finished ? 'ok' : 'stopLimit'
    log.info('nodeStopped', { result: resultCode(code).name })
    return code
  }

  async #close(endsAt = Number.POSITIVE_INFINITY): Promise<void> {
    clearInterval(this.#expiryTimer)
    this.#context.gossip.stop()
    this.#quarantine.stop()
    await closeParts(this.#parts(), { log: this.#context.log, endsAt })
    this.#context.clients.close()
  }

  #parts(): NodeParts {
    return {
      entry: this.#entry,
      drainLimitMs: this.#entry?.drainLimitMs ?? 0,
      controlSupervisor: this.#controlSupervisor,
      rpc: this.#rpc,
      listeners: [...this.#listeners, ...(this.#operatorListener === undefined ? [] : [this.#operatorListener])],
    }
  }

  #applyChanges(changes: readonly DirectoryChange[]): void {
    if (changes.length === 0) return
    this.#entry?.applyChanges(changes)
    for (const change of changes) {
      this.#peers.apply(change)
      const isPeer = change.kind === 'node-changed' && change.node.node !== this.#context.self
      if (isPeer) this.#quarantine.nodeChanged(change.node)
    }
  }

  #announce(part: Partial<Node>): void {
    this.#nodeRecord = { ...this.#nodeRecord, ...part }
    this.#applyChanges(this.#context.directory.announceSelf(this.#nodeRecord, this.#context.now()))
  }

  #createContext(log: Log): NodeContext {
    const { node, address, nodeKey, entry } = this.#settings
    const startedAt = Date.now()
    const now = () => performance.now()
    const random = seededRandom(randomInt(RANDOM_SEED_RANGE))
    const leases = leaseTimes(entry?.renewalMs)
    const firstCounter = randomInt(FIRST_COUNTER_RANGE)
    const directory = new Directory({ self: node, incarnation: startedAt, firstCounter, now: now(), leases })
    const clients = new RpcClients({ nodeKey, traffic: this.#traffic })
    const gossip = new Gossip({
      directory,
      clients,
      self: node,
      failureDomain: this.#settings.failureDomain,
      address,
      seeds: () => this.#seeds,
      random,
      now,
      isSlow: entry?.renewalMs !== undefined,
      onChanges: (changes) => {
        this.#applyChanges(changes)
      },
    })
    registerTrafficMetrics(this.#metrics, this.#traffic, gossip)
    this.#metrics.gauge('nodes', 'Known live nodes', () => directory.nodes.size)
    return {
      settings: this.#settings,
      self: node,
      startedAt,
      directory,
      gossip,
      contacts: new ControlContacts({ self: node, cluster: directory, seeds: () => this.#seeds, now }),
      leaders: new LeaderMemory(),
      clients,
      log,
      metrics: this.#metrics,
      random,
      now,
      wallClock: () => Date.now(),
      announce: (part) => {
        this.#announce(part)
      },
    }
  }
}

/** Starts a node from validated settings. Errors: those of opening the data folder, and `address-in-use`. */
export function startNode(settings: Settings, options: NodeOptions = {}): Promise<Result<RunningNode, Failure>> {
  return RunningNode.start(settings, options)
}
