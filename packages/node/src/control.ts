/**
 * Control role of a node: combines the replica, its transport, the leader tasks, leases and change submission. The node
 * registers the routes, serves the operator API and announces the disk id.
 */
import { performance } from 'node:perf_hooks'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Hono } from 'hono'
import { err, ok, type Result } from 'neverthrow'
import type { CodeName, Environment, Failure, NodeId, Random, ReplicaId } from '@bilberrystall/base'
import type { Limits, Role } from '@bilberrystall/consensus'
import { documentInForce, type Command } from '@bilberrystall/control'
import { parseDocument } from '@bilberrystall/document'
import type { FileSystem } from '@bilberrystall/storage'
import type { RpcClients } from '@bilberrystall/rpc'
import { Changes } from './control-changes'
import { deliveryRoutes } from './control-delivery'
import type { Departed } from './control-follow'
import { openDisk, type OpenedDisk } from './control-disk'
import type { DocumentKeeper } from './control-documents'
import { LeaderDuties } from './control-duties'
import { LeaseServer } from './control-lease-server'
import { controlMetrics, type ControlMetrics } from './control-metrics'
import { operatorApp } from './control-operator'
import { ReplicaHost } from './control-replica'
import { ReplicaTransport } from './control-transport'
import type { ClusterView } from './control-views'
import type { Log } from './log'
import type { Metrics } from './metrics'
import type { ControlSettings } from './settings'

/** Interval of the majority reads that keep the documents of a control node confirmed. */
const CONFIRM_INTERVAL_MS = 4_000
const CONFIRM_RETRY_MS = 200
const TRANSFER_LIMIT_MS = 2_000
const DUTIES_INTERVAL_MS = 1_000
/** Runs of the leader tasks per `lostAfterMs`, so that polling adds little delay to the repair of a lost replica. */
const DUTIES_PER_LOSS = 8

export interface ControlOptions {
  readonly node: NodeId
  readonly settings: ControlSettings
  readonly clients: RpcClients
  /** Directory of live nodes and servers. */
  readonly cluster: ClusterView
  readonly keeper: DocumentKeeper
  readonly log: Log
  readonly random: Random
  /** Start time of the process in Unix milliseconds. */
  readonly start: number
  /** Called on a fatal error; the process must exit with its code. */
  readonly onFatal: (cause: Failure) => void
  /** Called when an operator asked this node to drain. */
  readonly onDrain: () => void
  /** Called with servers whose departure was committed by control. */
  readonly onDepartures?: (departed: readonly Departed[]) => void
  readonly metrics?: Metrics
  readonly fileSystem?: FileSystem
  readonly limits?: Partial<Limits>
  readonly lostAfterMs?: number
  /** Interval of the leader tasks. */
  readonly dutiesIntervalMs?: number
  /** Time after which a request without a result is no longer retried. */
  readonly submitLimitMs?: number
}

export class Control {
  readonly replica: ReplicaId
  readonly host: ReplicaHost
  readonly #options: ControlOptions
  readonly #transport: ReplicaTransport
  readonly #changes: Changes
  readonly #leases: LeaseServer
  readonly #duties: LeaderDuties
  readonly #metrics: ControlMetrics | undefined
  #confirmTimer: NodeJS.Timeout | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #leads = false
  #confirming = false
  #departurePosition = 0
  #stopped = false

  private constructor(options: ControlOptions, host: ReplicaHost, transport: ReplicaTransport, replica: ReplicaId) {
    const { node, clients, cluster, settings, log } = options
    this.#options = options
    this.host = host
    this.replica = replica
    this.#transport = transport
    this.#metrics = options.metrics && controlMetrics(options.metrics, () => host.status())
    const now = () => performance.now()
    const wallClock = () => Date.now()
    const addressOf = (other: NodeId) => cluster.nodes.get(other)?.address
    const controlNodes = () => controlNodesOf(cluster)
    const checkDocument = parseDocument
    this.#changes = new Changes({
      host,
      node,
      clients,
      addressOf,
      controlNodes,
      checkDocument,
      wallClock,
      leastVoters: settings.leastVoters,
      ...(options.submitLimitMs === undefined ? {} : { limitMs: options.submitLimitMs }),
    })
    this.#leases = new LeaseServer({ host, directory: cluster, now })
    this.#duties = new LeaderDuties({
      host,
      directory: cluster,
      replicas: settings.replicas,
      now,
      wallClock,
      lostAfterMs: options.lostAfterMs ?? settings.lostAfterMs,
      intervalMs: options.dutiesIntervalMs ?? Math.min(DUTIES_INTERVAL_MS, settings.lostAfterMs / DUTIES_PER_LOSS),
      onStep: (change) => {
        log.info('replicaSetChanged', { action: change.kind, replica: change.replica })
      },
    })
  }

  /** Errors: those of `openLog`; `snapshot-damaged`, `format-unknown`. */
  static async open(options: ControlOptions): Promise<Result<Control, Failure>> {
    const { node, settings, fileSystem } = options
    const disk = await openDisk({
      folder: settings.dataFolder,
      node,
      ...(fileSystem === undefined ? {} : { fileSystem }),
    })
    if (disk.isErr()) return err(disk.error)
    const created = Control.#create(options, disk.value)
    if (created.isErr()) await disk.value.disk.close()
    return created
  }

  static #create(options: ControlOptions, opened: OpenedDisk): Result<Control, Failure> {
    const { node, clients, cluster, settings, random, limits, onFatal } = options
    // The host invokes callbacks only after `start`, when the control role is fully constructed.
    const hooks: { control?: Control } = {}
    const transport = new ReplicaTransport({
      clients,
      addressOf: (other) => cluster.nodes.get(other)?.address,
      onMessage: (message) => {
        hooks.control?.host.receive(message)
      },
    })
    const host = ReplicaHost.create({
      ...opened,
      node,
      bootstrap: settings.bootstrap,
      random,
      send: (message) => {
        transport.send(message)
      },
      onApplied: (commands) => hooks.control?.applied(commands),
      onRole: (role, leader) => {
        hooks.control?.roleChanged(role)
        if (leader !== undefined) hooks.control?.leaderKnown()
      },
      onSynced: (duration) => hooks.control?.synced(duration),
      onFatal,
      ...(limits === undefined ? {} : { limits }),
    })
    return host.andThen((created) => {
      const control = new Control(options, created, transport, opened.replica)
      hooks.control = control
      return ok(control)
    })
  }

  get changes(): Changes {
    return this.#changes
  }

  /** Disk id that the node announces. */
  get disk(): string {
    return this.replica.slice(this.replica.lastIndexOf('/') + 1)
  }

  /** Monotonic time of the last read confirmed by a majority. */
  get confirmedAt(): number {
    return this.#confirmedAt
  }

  routes(router: ConnectRouter): void {
    this.#transport.routes(router)
    const { host } = this
    const control = { host, changes: this.#changes, leases: this.#leases }
    deliveryRoutes(router, { keeper: this.#options.keeper, now: () => performance.now(), control })
  }

  operatorApp(): Hono {
    const { cluster, settings } = this.#options
    const { operatorKeys } = settings
    const onRequest = (code: CodeName) => this.#metrics?.request(code)
    const app = operatorApp({ host: this.host, changes: this.#changes, cluster, operatorKeys, onRequest })
    return app as unknown as Hono
  }

  start(): void {
    this.host.start()
    this.#duties.start()
    void this.#confirm()
  }

  /** Transfers leadership before a graceful shutdown. */
  async leave(): Promise<void> {
    this.#duties.stop()
    await this.host.transferLeadership(TRANSFER_LIMIT_MS)
  }

  async stop(): Promise<void> {
    this.#stopped = true
    clearTimeout(this.#confirmTimer)
    this.#duties.stop()
    this.#transport.stop()
    await this.host.stop()
  }

  /** Called by the replica host after commands are applied. */
  applied(commands: readonly Command[]): void {
    const { node, start, onDrain } = this.#options
    this.#offerDocuments()
    this.#tellDepartures()
    const drained = commands.some((command) => command.kind === 'node' && command.action === 'drain')
    if (drained && this.host.state.drains.some((drain) => drain.node === node && drain.at > start)) onDrain()
  }

  /** Called by the replica host when the role or leader changes. */
  roleChanged(role: Role): void {
    const leads = role === 'leader'
    if (leads === this.#leads) return
    this.#leads = leads
    this.#leases.roleChanged(leads)
    this.#options.log.info(leads ? 'leaderElected' : 'leaderLost', { term: this.host.status().term })
  }

  /** Called by the replica host when a leader is known, so that a read can be confirmed. */
  leaderKnown(): void {
    clearTimeout(this.#confirmTimer)
    void this.#confirm()
  }

  /** Called by the replica host with the duration of each sync in milliseconds. */
  synced(duration: number): void {
    this.#metrics?.synced(duration)
  }

  #tellDepartures(): void {
    const { departures, departurePosition } = this.host.state
    const newer = [...departures.values()].filter(({ position }) => position > this.#departurePosition)
    this.#departurePosition = departurePosition
    if (newer.length > 0) this.#options.onDepartures?.(newer)
  }

  #offerDocuments(): void {
    const { keeper } = this.#options
    for (const environment of this.host.state.environments.keys()) this.#offer(keeper, environment)
  }

  #offer(keeper: DocumentKeeper, environment: Environment): void {
    const document = documentInForce(this.host.state, environment)
    if (document === undefined) return
    const { revision, digest, text, version = 0 } = document
    const offered = keeper.offer({ environment, revision, digest, text, version })
    if (offered.isErr() || this.#confirmedAt === Number.NEGATIVE_INFINITY) return
    keeper.confirm(environment, revision, this.#confirmedAt)
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
    this.#confirmTimer = setTimeout(() => void this.#confirm(), read.isOk() ? CONFIRM_INTERVAL_MS : CONFIRM_RETRY_MS)
  }
}

export function controlNodesOf(cluster: ClusterView): readonly NodeId[] {
  return [...cluster.nodes.values()].filter((node) => node.roles.includes('control')).map(({ node }) => node)
}
