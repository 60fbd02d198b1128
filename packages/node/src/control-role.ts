/**
 * Control role of a node: combines the replica, its transport, the leader tasks, leases and change submission. The node
 * registers the routes, serves the operator API and announces the disk id.
 */
import { performance } from 'node:perf_hooks'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { CodeName, Environment, Failure, NodeId, RandomSource, ReplicaId } from '@bilberrystall/base'
import type { Limits, Role } from '@bilberrystall/consensus'
import { documentInForce, isDrainOrdered, type Command } from '@bilberrystall/control'
import { checkDocument } from '@bilberrystall/document'
import type { Clearance } from '@bilberrystall/quarantine'
import type { FileSystem } from '@bilberrystall/storage'
import type { QuotaBounds } from '@bilberrystall/routing'
import type { RpcClients } from '@bilberrystall/rpc'
import { ChangeDelivery } from './change-delivery'
import { logSettled } from './change-log'
import type { Commit } from './change-proposals'
import { ChangeSubmitter } from './change-submitter'
import type { EvacuationList } from './evacuations'
import type { NamedAddress } from './control-contacts'
import { deliveryRoutes, type DeliveryOptions } from './control-delivery'
import type { DepartedServer } from './control-follower'
import { openReplicaStorage, type OpenedReplicaStorage } from './replica-storage'
import type { DocumentStore } from './document-store'
import type { LeaderMemory } from './leader-memory'
import { LeaderTasks } from './leader-tasks'
import { LeaseServer } from './control-lease-server'
import type { ControlMetrics } from './control-metrics'
import { EntryClocks } from './entry-clocks'
import { operatorApp, type OperatorOptions } from './control-operator'
import { ReplicaHost } from './control-replica'
import { consensusRoutes, ReplicaTransport } from './control-transport'
import type { ClusterView } from './control-views'
import type { Log } from './log'
import type { ControlSettings } from './settings'

/** Interval of the linearizable reads that keep the documents of a control node confirmed. */
const CONFIRM_INTERVAL_MS = 4_000
const CONFIRM_RETRY_DELAY_MS = 200
const TRANSFER_TIMEOUT_MS = 2_000
const LEADER_TASKS_INTERVAL_MS = 1_000
/** Runs of the leader tasks per `lostAfterMs`, so that polling adds little delay to the repair of a lost replica. */
const LEADER_TASK_RUNS_PER_LOST_AFTER = 8

export interface ControlRoleOptions {
  readonly node: NodeId
  readonly settings: ControlSettings
  readonly clients: RpcClients
  readonly leaders?: LeaderMemory
  /** Directory of live nodes and servers. */
  readonly cluster: ClusterView
  readonly documentStore: DocumentStore
  readonly log: Log
  readonly random: RandomSource
  /** Unix milliseconds; by default the clock of the VM. */
  readonly wallClock?: () => number
  /** All incarnations of this process; an order to drain may name any of them. */
  readonly incarnations: () => readonly number[]
  /** Called when the replica has failed; the role must be stopped. */
  readonly onFatal: (cause: Failure) => void
  /** Called when an operator asked this node to drain. */
  readonly onDrain: () => void
  /** Called with servers whose departure was committed by control. */
  readonly onDepartures?: (departed: readonly DepartedServer[]) => void
  /** Called with the evacuated failure domains after control committed an order. */
  readonly onEvacuations?: (list: EvacuationList) => void
  /** Called with each release of a withheld request that was committed by control. */
  readonly onReleased?: (clearance: Clearance) => void
  readonly metrics?: ControlMetrics
  readonly quotaBounds?: QuotaBounds | undefined
  readonly fileSystem?: FileSystem
  readonly limits?: Partial<Limits>
  readonly lostAfterMs?: number
  /** Interval of the leader tasks. */
  readonly leaderTasksIntervalMs?: number
  /** Time after which a request without a result is no longer retried. */
  readonly submitTimeoutMs?: number
}

export class ControlRole {
  readonly replica: ReplicaId
  readonly host: ReplicaHost
  readonly #options: ControlRoleOptions
  readonly #transport: ReplicaTransport
  readonly #delivery: ChangeDelivery
  readonly #changes: ChangeSubmitter
  readonly #leases: LeaseServer
  readonly #leaderTasks: LeaderTasks
  readonly #metrics: ControlMetrics | undefined
  readonly #replacesDamaged: boolean
  #confirmTimer: NodeJS.Timeout | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #isLeader = false
  #confirming = false
  #departurePosition = 0
  #drainReported = false
  #stopped = false

  private constructor(
    options: ControlRoleOptions,
    host: ReplicaHost,
    transport: ReplicaTransport,
    { replica, replacesDamaged }: OpenedReplicaStorage,
  ) {
    const { node, clients, cluster, settings, log } = options
    this.#options = options
    this.host = host
    this.replica = replica
    this.#replacesDamaged = replacesDamaged
    this.#transport = transport
    this.#metrics = options.metrics
    const now = () => performance.now()
    const { wallClock = () => Date.now() } = options
    const clocks = new EntryClocks()
    const addressOf = (other: NodeId) => transport.addressOf(other)
    const controlNodes = () => controlNodesOf(cluster)
    this.#delivery = new ChangeDelivery({
      self: node,
      cluster,
      clients,
      state: () => host.state,
      isLeader: () => this.#isLeader,
      now,
    })
    this.#changes = new ChangeSubmitter({
      host,
      node,
      clients,
      addressOf,
      controlNodes,
      checkDocument,
      wallClock,
      minVoters: settings.minVoters,
      ...(options.leaders === undefined ? {} : { leaders: options.leaders }),
      beforeAcknowledgement: (commit) => this.#deliver(commit),
      onSettled: (report) => {
        logSettled(log, report)
      },
      ...(options.submitTimeoutMs === undefined ? {} : { timeoutMs: options.submitTimeoutMs }),
    })
    this.#leases = new LeaseServer({
      host,
      directory: cluster,
      addressOf,
      clocks,
      now,
      ...(options.quotaBounds === undefined ? {} : { quotaBounds: options.quotaBounds }),
    })
    this.#leaderTasks = new LeaderTasks({
      host,
      directory: cluster,
      replicas: settings.replicas,
      now,
      wallClock,
      entryClock: () => clocks.median(now()),
      lostAfterMs: options.lostAfterMs ?? settings.lostAfterMs,
      intervalMs:
        options.leaderTasksIntervalMs ??
        Math.min(LEADER_TASKS_INTERVAL_MS, settings.lostAfterMs / LEADER_TASK_RUNS_PER_LOST_AFTER),
      onReplicaSetChange: (change) => {
        log.info('replicaSetChanged', { action: change.kind, replica: change.replica })
      },
    })
  }

  /** Errors: those of `openLog`; `snapshot-damaged`, `format-unknown`. */
  static async open(options: ControlRoleOptions): Promise<Result<ControlRole, Failure>> {
    const { node, settings, fileSystem } = options
    const lateBound: { control?: ControlRole } = {}
    const opened = await openReplicaStorage({
      folder: settings.dataFolder,
      node,
      onFull: (isFull) => {
        lateBound.control?.handleFullDisk(isFull)
      },
      ...(fileSystem === undefined ? {} : { fileSystem }),
    })
    if (opened.isErr()) return err(opened.error)
    const created = ControlRole.#create(options, opened.value, lateBound)
    if (created.isErr()) await opened.value.storage.close()
    return created
  }

  /** Sets `lateBound.control`. Callbacks are invoked only after `start`, when the role is fully constructed. */
  static #create(
    options: ControlRoleOptions,
    opened: OpenedReplicaStorage,
    lateBound: { control?: ControlRole },
  ): Result<ControlRole, Failure> {
    const { node, clients, cluster, settings, random, limits, onFatal } = options
    const transport = new ReplicaTransport({
      clients,
      addressOf: (other) => cluster.nodes.get(other)?.address,
    })
    const host = ReplicaHost.create({
      storage: opened.storage,
      replica: opened.replica,
      stored: opened.stored,
      node,
      bootstrap: settings.bootstrap && !opened.replacesDamaged,
      random,
      send: (message) => {
        transport.send(message)
      },
      onApplied: (commands) => lateBound.control?.handleApplied(commands),
      onRoleChange: (role, leader) => {
        lateBound.control?.handleRoleChange(role)
        if (leader !== undefined) lateBound.control?.handleLeaderKnown()
      },
      onSynced: (duration) => lateBound.control?.recordSync(duration),
      onFatal,
      ...(limits === undefined ? {} : { limits }),
    })
    return host.andThen((created) => {
      const control = new ControlRole(options, created, transport, opened)
      lateBound.control = control
      return ok(control)
    })
  }

  get changes(): ChangeSubmitter {
    return this.#changes
  }

  /** Disk id that the node announces. */
  get disk(): string {
    return this.replica.slice(this.replica.lastIndexOf('/') + 1)
  }

  /** Monotonic time of the last linearizable read. */
  get confirmedAt(): number {
    return this.#confirmedAt
  }

  get leases(): LeaseServer {
    return this.#leases
  }

  /** Members of the replica set with their RPC addresses, as far as these are known. */
  readonly replicaAddresses = (): readonly NamedAddress[] =>
    this.host.status().replicas.flatMap(({ node }) => {
      const address = this.#transport.addressOf(node)
      return address === undefined ? [] : [{ node, address }]
    })

  operatorApp(quarantine: OperatorOptions['quarantine']): Hono {
    const { cluster, settings } = this.#options
    const { operatorKeys } = settings
    const onRequest = (code: CodeName) => this.#metrics?.countRequest(code)
    const app = operatorApp({ host: this.host, changes: this.#changes, cluster, quarantine, operatorKeys, onRequest })
    return app as unknown as Hono
  }

  start(): void {
    this.host.start()
    this.#leaderTasks.start()
    void this.#confirm()
  }

  /** Bootstraps a new cluster, unless this node was a member of one and lost its log: that cluster still exists. */
  bootstrapCluster(): void {
    if (!this.#replacesDamaged) this.host.bootstrapCluster()
  }

  /** Transfers leadership before a graceful shutdown. */
  async leave(): Promise<void> {
    this.#leaderTasks.stop()
    await this.host.transferLeadership(TRANSFER_TIMEOUT_MS)
  }

  async stop(): Promise<void> {
    this.#stopped = true
    clearTimeout(this.#confirmTimer)
    this.#leaderTasks.stop()
    this.#delivery.stop()
    this.#transport.stop()
    await this.host.stop()
  }

  /** Called by the replica host after commands are applied, without any after a snapshot is restored. */
  handleApplied(commands: readonly Command[]): void {
    this.#offerDocuments()
    this.#reportDepartures()
    this.#reportEvacuations()
    this.#reportReleases(commands)
    this.#reportDrain()
  }

  /** Called by the replica host when the role or leader changes. */
  handleRoleChange(role: Role): void {
    const isLeader = role === 'leader'
    if (isLeader === this.#isLeader) return
    this.#isLeader = isLeader
    this.#leases.setLeader(isLeader)
    this.#options.log.info(isLeader ? 'leaderElected' : 'leaderLost', { term: this.host.status().term })
  }

  /** Called by the replica host when a leader is known, so that a read can be confirmed. */
  handleLeaderKnown(): void {
    clearTimeout(this.#confirmTimer)
    void this.#confirm()
  }

  /** Called when the disk starts or ceases to refuse writes. A replica that cannot write must not lead. */
  handleFullDisk(isFull: boolean): void {
    const { log, node } = this.#options
    this.#metrics?.setDiskFull(isFull)
    if (!isFull) {
      log.info('diskHasRoom', { node })
      return
    }
    log.warn('diskFull', { node })
    void this.host.transferLeadership(TRANSFER_TIMEOUT_MS)
  }

  /** Called by the replica host with the duration of each sync in milliseconds. */
  recordSync(duration: number): void {
    this.#metrics?.recordSync(duration)
  }

  async #deliver({ command, revision, commitMs }: Commit): Promise<void> {
    const { departures, departurePosition, evacuationPosition } = this.host.state
    const { log } = this.#options
    const startedAt = performance.now()
    const times = () => ({ commitMs, deliveryMs: Math.round(performance.now() - startedAt) })
    if (command.kind === 'depart') {
      const { server, start } = command
      const position = departures.get(server)?.position ?? departurePosition
      const delivered = await this.#delivery.deliver({
        environment: undefined,
        revision: 0,
        departurePosition: position,
      })
      if (delivered.unconfirmed.length > 0) log.info('changeAcknowledged', { server, start, ...delivered, ...times() })
      return
    }
    if (command.kind === 'evacuate') {
      const { domain, action } = command
      const everywhere = { environment: undefined, revision: 0, departurePosition: 0 }
      const delivered = await this.#delivery.deliver({ ...everywhere, evacuationPosition })
      log.info('evacuationAcknowledged', { domain, action, ...delivered, ...times() })
      return
    }
    const { environment } = command
    const delivered = await this.#delivery.deliver({ environment, revision, departurePosition: 0 })
    const { version = 0 } = documentInForce(this.host.state, environment) ?? {}
    log.info('changeAcknowledged', { environment, revision, version, ...delivered, ...times() })
  }

  #reportDepartures(): void {
    const { departures, departurePosition } = this.host.state
    const newer = [...departures.values()].filter(({ position }) => position > this.#departurePosition)
    this.#departurePosition = departurePosition
    if (newer.length > 0) this.#options.onDepartures?.(newer)
  }

  #reportEvacuations(): void {
    const { evacuations, evacuationPosition: position } = this.host.state
    if (position > 0) this.#options.onEvacuations?.({ position, domains: [...evacuations.keys()] })
  }

  /** The order may have arrived in a snapshot, without its command. */
  #reportDrain(): void {
    const { node, incarnations, onDrain } = this.#options
    const isOrdered = incarnations().some((incarnation) => isDrainOrdered(this.host.state, node, incarnation))
    if (this.#drainReported || !isOrdered) return
    this.#drainReported = true
    onDrain()
  }

  #reportReleases(commands: readonly Command[]): void {
    for (const command of commands) {
      if (command.kind !== 'release') continue
      const { request, at, newestReportAt = at } = command
      this.#options.onReleased?.({ request, at: Math.max(at, newestReportAt) })
    }
  }

  #offerDocuments(): void {
    const { documentStore } = this.#options
    for (const environment of this.host.state.environments.keys()) this.#offer(documentStore, environment)
  }

  #offer(documentStore: DocumentStore, environment: Environment): void {
    const document = documentInForce(this.host.state, environment)
    if (document === undefined) return
    const { revision, digest, text, version = 0 } = document
    const offered = documentStore.offer({ environment, revision, digest, text, version, source: 'log' })
    if (offered.isErr() || this.#confirmedAt === Number.NEGATIVE_INFINITY) return
    documentStore.confirm(environment, revision, this.#confirmedAt)
  }

  /**
   * Confirms the state with a majority. After a start, no document is offered as current before the first confirmation.
   */
  async #confirm(): Promise<void> {
    if (this.#confirming) return
    this.#confirming = true
    const sentAt = performance.now()
    const read = await this.host.read()
    this.#confirming = false
    if (this.#stopped) return
    if (read.isOk()) {
      this.#confirmedAt = sentAt
      this.#offerDocuments()
    }
    this.#confirmTimer = setTimeout(
      () => void this.#confirm(),
      read.isOk() ? CONFIRM_INTERVAL_MS : CONFIRM_RETRY_DELAY_MS,
    )
  }
}

export interface ControlRoutesOptions extends DeliveryOptions {
  /** Returns undefined while the node has no open replica, for example because its disk is full. */
  readonly control: () => ControlRole | undefined
}

/** Routes of the control role. They may be registered before the replica is open. */
export function controlRoutes(router: ConnectRouter, options: ControlRoutesOptions): void {
  consensusRoutes(router, (message) => options.control()?.host.receive(message))
  deliveryRoutes(router, options)
}

export function controlNodesOf(cluster: ClusterView): readonly NodeId[] {
  return [...cluster.nodes.values()].filter((node) => node.roles.includes('control')).map(({ node }) => node)
}
