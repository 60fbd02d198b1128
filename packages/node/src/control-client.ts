/**
 * Client of control in an entry: receives the document in force, the roster of holders and measuring tokens. It keeps
 * using the last known state while control is unreachable; health checks and claims use the age of that state to decide
 * whether it can still be trusted.
 */
import { serviceName, type Environment, type NodeId } from '@bilberrystall/base'
import type { RosterEpoch } from '@bilberrystall/claims'
import { parseDocument, type Document } from '@bilberrystall/document'
import type { Roster } from '@bilberrystall/entry'
import type { DirectoryChange } from '@bilberrystall/membership'
import type { MeasuringTokens } from '@bilberrystall/routing'
import type { DocumentStore, PublishedDocument } from './document-store'
import type { KeyRevocation } from './adapter'
import { KeyLeaseMonitor } from './key-lease-monitor'
import {
  FAST_LEASE_TIMES,
  LeaseClient,
  SLOW_LEASE_TIMES,
  type Lease,
  type LeaseQuotas,
  type TokenDemand,
} from './control-lease'
import {
  ControlFollower,
  type DepartedServer,
  type LostContact,
  type Notification,
  type Position,
  type RestoredContact,
} from './control-follower'
import { Evacuations } from './evacuations'
import type { NodeContext } from './node-context'

/** Slot time reserved for one probe; the router reserves the same amount. */
const PROBE_COST_MS = 12
/** Probes per service that an entry requests tokens for in each window. */
const PROBES_PER_WINDOW = 50

export interface ControlClientOptions {
  readonly context: NodeContext
  readonly environment: Environment
  readonly documentStore: DocumentStore
  readonly tokens: MeasuringTokens
  /** Absent without strict revocation. */
  readonly keyRevocation?: KeyRevocation | undefined
  readonly quotas?: LeaseQuotas
  readonly onDocument: (document: Document) => void
  readonly onDrain: () => void
  readonly onDepartures: (departed: readonly DepartedServer[]) => void
  /** Evacuated failure domains of the entry. */
  readonly evacuations?: Evacuations
}

export class ControlClient {
  readonly #options: ControlClientOptions
  readonly #follower: ControlFollower
  readonly #evacuations: Evacuations
  readonly #leases: LeaseClient
  readonly #keyLease: KeyLeaseMonitor
  #document: Document | undefined
  /** Revision of `#document`; behind the stored one if that cannot be parsed. */
  #documentRevision = 0

  constructor(options: ControlClientOptions) {
    this.#options = options
    const { context, environment, documentStore } = options
    const { clients, contacts, directory, now } = context
    this.#evacuations = options.evacuations ?? new Evacuations()
    this.#follower = new ControlFollower({
      evacuations: this.#evacuations,
      environment,
      self: context.self,
      failureDomain: context.settings.failureDomain,
      onDepartures: options.onDepartures,
      documentStore,
      clients,
      addressOf: (node) => directory.nodes.get(node)?.address,
      contacts,
      onContact: (contact) => {
        this.#reportContact(contact)
      },
      otherEntries: () => this.#nodes((node) => node.environment === environment && node.node !== context.self),
      now,
    })
    this.#leases = new LeaseClient({
      node: context.self,
      environment,
      incarnations: () => directory.incarnations,
      wallClock: context.wallClock,
      clients,
      contacts,
      tokenDemands: () => this.#tokenDemands(),
      onLease: (lease) => {
        this.#leaseRenewed(lease)
      },
      times: () => (this.#document?.requiresKeys === true ? FAST_LEASE_TIMES : SLOW_LEASE_TIMES),
      ...(options.quotas === undefined ? {} : { quotas: options.quotas }),
      now,
    })
    this.#keyLease = new KeyLeaseMonitor({
      revocation: options.keyRevocation,
      inUse: () => ({
        revision: this.#documentRevision,
        requiresKeys: this.#document?.requiresKeys === true,
      }),
      renewNow: () => {
        this.#leases.renewNow()
      },
      log: context.log,
      metrics: context.metrics,
      now,
      wallClock: context.wallClock,
    })
    documentStore.subscribe((published) => {
      this.#documentInForce(published)
    })
  }

  /** Document in force; undefined until it is known which failure domains are evacuated. */
  document(): Document | undefined {
    return this.#evacuations.isConfirmed ? this.#document : undefined
  }

  /** Whether keys that the document names may be accepted now. */
  areKeysConfirmed(): boolean {
    return this.#keyLease.areKeysConfirmed()
  }

  /** Pending epochs are treated as rosters without entries, so that their keys are rejected. */
  roster(): Roster {
    const history = this.#leases.roster.map(({ epoch, effectiveFrom, standing, entries }): RosterEpoch => ({
      epoch,
      effectiveFrom,
      entries: standing === 'sealed' ? entries.map((entry) => ({ node: entry.node, domain: entry.failureDomain })) : [],
    }))
    return { history, confirmedAt: this.#leases.confirmedAt }
  }

  /** Monotonic time at which control last confirmed the document or granted a lease. */
  confirmedAt(): number {
    return Math.max(this.#leases.confirmedAt, this.#options.documentStore.confirmedAt(this.#options.environment))
  }

  start(): void {
    this.#follower.start()
    this.#leases.start()
  }

  stop(): void {
    this.#follower.stop()
    this.#leases.stop()
    this.#keyLease.stop()
  }

  /** Asks for shares of quotas before the lease is due. */
  requestShares(): void {
    this.#leases.requestShares()
  }

  /** Handles the notification of a replica that committed a change, and returns what this entry uses then. */
  async catchUp(notification: Notification): Promise<Position> {
    this.#options.context.leaders.leads(notification.node)
    const { revision, ...positions } = await this.#follower.catchUp(notification)
    return { revision: Math.min(revision, this.#documentRevision), ...positions }
  }

  /** Fetches a revision that another node announced and this node does not have. */
  applyChanges(changes: readonly DirectoryChange[]): void {
    const { documentStore, environment, context } = this.#options
    for (const change of changes) {
      if (change.kind !== 'node-changed' || change.node.node === context.self) continue
      const version = change.node.documents.find((document) => document.environment === environment)
      if (version !== undefined && documentStore.observeVersion(version))
        void this.#follower.fetchAnnounced(change.node.node)
    }
  }

  #nodes(accepts: (node: { node: NodeId; roles: readonly string[]; environment: Environment }) => boolean): NodeId[] {
    return [...this.#options.context.directory.nodes.values()].filter(accepts).map((node) => node.node)
  }

  #tokenDemands(): TokenDemand[] {
    const services = [...(this.#document?.services.keys() ?? [])]
    return services.map((service) => ({ service, wantedMs: PROBES_PER_WINDOW * PROBE_COST_MS, unitMs: PROBE_COST_MS }))
  }

  #leaseRenewed(lease: Lease): void {
    const { documentStore, environment, tokens, onDrain } = this.#options
    for (const { service, tokensMs, validForMs } of lease.grants) {
      tokens.add({ service: serviceName(service), tokens: tokensMs, validFor: validForMs }, lease.sentAt)
    }
    const isMissing =
      lease.digest !== undefined &&
      documentStore.observeVersion({ environment, revision: lease.revision, digest: lease.digest })
    if (isMissing) void this.#follower.fetchFromControl()
    else if (lease.revision > 0) documentStore.confirm(environment, lease.revision, lease.sentAt)
    this.#keyLease.renewed(lease)
    if (lease.drain) onDrain()
  }

  #reportContact(contact: LostContact | RestoredContact): void {
    const { log } = this.#options.context
    if (contact.kind === 'restored') log.info('controlReachable', { replica: contact.replica, ms: contact.ms })
    else log.warn('controlUnreachable', { replicas: contact.replicas, failures: contact.failures })
  }

  #documentInForce(published: PublishedDocument): void {
    const { environment, context, onDocument } = this.#options
    if (published.environment !== environment) return
    // Control validates documents before accepting them; a parse error means that a newer software version accepted it.
    parseDocument(published.text).match(
      (document) => {
        if (document.requiresKeys && this.#document?.requiresKeys !== true) this.#leases.renewNow()
        this.#document = document
        this.#documentRevision = published.revision
        onDocument(document)
        this.#keyLease.documentInUse()
        const { revision, version, digest, source } = published
        context.log.info('documentInForce', { environment, revision, version, source, digest })
      },
      () => {
        context.log.error('documentInvalid', { environment, revision: published.revision })
      },
    )
  }
}
