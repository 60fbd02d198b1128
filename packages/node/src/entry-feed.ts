/**
 * Client of control in an entry: receives the document in force, the roster of holders and measuring tokens. It keeps
 * using the last known state while control is unreachable; health checks and claims use the age of that state to decide
 * whether it can still be trusted.
 */
import { serviceName, type Environment, type NodeId } from '@bilberrystall/base'
import type { RosterEpoch } from '@bilberrystall/claims'
import { parseDocument, type Document } from '@bilberrystall/document'
import type { Roster } from '@bilberrystall/entry'
import type { Change } from '@bilberrystall/membership'
import type { MeasuringTokens } from '@bilberrystall/routing'
import type { DocumentKeeper, HeldDocument } from './control-documents'
import { LeaseClient, type Lease, type MeasuringWish } from './control-lease'
import { ControlFollower, type Departed } from './control-follow'
import type { Frame } from './frame'

/** Slot time reserved for one probe; the router reserves the same amount. */
const PROBE_UNIT_MS = 12
/** Probes per service that an entry requests tokens for in each window. */
const PROBES_WANTED = 50

export interface EntryFeedOptions {
  readonly frame: Frame
  readonly environment: Environment
  readonly keeper: DocumentKeeper
  readonly tokens: MeasuringTokens
  readonly onDocument: (document: Document) => void
  readonly onDrain: () => void
  readonly onDepartures: (departed: readonly Departed[]) => void
}

export class EntryFeed {
  readonly #options: EntryFeedOptions
  readonly #follower: ControlFollower
  readonly #leases: LeaseClient
  #document: Document | undefined

  constructor(options: EntryFeedOptions) {
    this.#options = options
    const { frame, environment, keeper } = options
    const { clients, directory, now } = frame
    const addressOf = (node: NodeId) => directory.nodes.get(node)?.address
    const controlNodes = () => this.#nodes((node) => node.roles.includes('control'))
    this.#follower = new ControlFollower({
      environment,
      self: frame.self,
      failureDomain: frame.settings.failureDomain,
      onDepartures: options.onDepartures,
      keeper,
      clients,
      addressOf,
      controlNodes: () => [...directory.nodes.values()].filter((node) => node.roles.includes('control')),
      otherEntries: () => this.#nodes((node) => node.environment === environment && node.node !== frame.self),
      now,
    })
    this.#leases = new LeaseClient({
      node: frame.self,
      environment,
      start: frame.startedAt,
      clients,
      addressOf,
      controlNodes,
      wishes: () => this.#wishes(),
      onLease: (lease) => {
        this.#leased(lease)
      },
      now,
    })
    keeper.subscribe((held) => {
      this.#inForce(held)
    })
  }

  document(): Document | undefined {
    return this.#document
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
    return Math.max(this.#leases.confirmedAt, this.#options.keeper.confirmedAt(this.#options.environment))
  }

  start(): void {
    this.#follower.start()
    this.#leases.start()
  }

  stop(): void {
    this.#follower.stop()
    this.#leases.stop()
  }

  /** Fetches a revision that another node announced and this node does not have. */
  changed(changes: readonly Change[]): void {
    const { keeper, environment, frame } = this.#options
    for (const change of changes) {
      if (change.kind !== 'node-changed' || change.node.node === frame.self) continue
      const version = change.node.documents.find((document) => document.environment === environment)
      if (version !== undefined && keeper.saw(version)) void this.#follower.fetch(change.node.node)
    }
  }

  #nodes(accepts: (node: { node: NodeId; roles: readonly string[]; environment: Environment }) => boolean): NodeId[] {
    return [...this.#options.frame.directory.nodes.values()].filter(accepts).map((node) => node.node)
  }

  #wishes(): MeasuringWish[] {
    const services = [...(this.#document?.services.keys() ?? [])]
    return services.map((service) => ({ service, wantedMs: PROBES_WANTED * PROBE_UNIT_MS, unitMs: PROBE_UNIT_MS }))
  }

  #leased(lease: Lease): void {
    const { keeper, environment, tokens, onDrain } = this.#options
    for (const { service, tokensMs, validForMs } of lease.grants) {
      tokens.add({ service: serviceName(service), tokens: tokensMs, validFor: validForMs }, lease.sentAt)
    }
    const lacks =
      lease.digest !== undefined && keeper.saw({ environment, revision: lease.revision, digest: lease.digest })
    if (lacks) void this.#follower.fetchFromControl()
    else if (lease.revision > 0) keeper.confirm(environment, lease.revision, lease.sentAt)
    if (lease.drain) onDrain()
  }

  #inForce(held: HeldDocument): void {
    const { environment, frame, onDocument } = this.#options
    if (held.environment !== environment) return
    // Control validates documents before accepting them; a parse error means that a newer software version accepted it.
    parseDocument(held.text).match(
      (document) => {
        this.#document = document
        onDocument(document)
        frame.log.info('documentInForce', { environment, revision: held.revision, digest: held.digest })
      },
      () => {
        frame.log.error('documentInvalid', { environment, revision: held.revision })
      },
    )
  }
}
