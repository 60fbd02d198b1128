/**
 * Server side of entry leases on the leader. A lease response is backed by a majority read and contains the revision in
 * force, the roster, measuring tokens within the budget configured in the document, and shares of quotas.
 */
import { err, ok, type Result } from 'neverthrow'
import {
  environmentName,
  serviceName,
  type Environment,
  type Failure,
  type NodeId,
  type ServiceName,
} from '@bilberrystall/base'
import { documentInForce, isDrainOrdered, type ControlState, type RosterEpoch } from '@bilberrystall/control'
import { parseDocument, type Document } from '@bilberrystall/document'
import type { Node, Server } from '@bilberrystall/membership'
import { MeasuringLedger, QuotaAllocator, type OrganisationShare, type QuotaBounds } from '@bilberrystall/routing'
import type { LeaseRequest } from '@bilberrystall/rpc'
import type { ReplicaHost } from './control-replica'
import { nodeIdOf } from './control-transport'
import type { EntryClocks } from './entry-clocks'
import { decodeDemand, quotaLimits } from './quota-codec'

export const MEASURING_WINDOW_MS = 10_000
/** Shares alone need no majority read if the leader had contact to a majority within this time. */
const MAX_STALENESS_MS = 400

export interface LeaseServerOptions {
  readonly host: Pick<ReplicaHost, 'read' | 'status' | 'state'> & Partial<Pick<ReplicaHost, 'isCurrent'>>
  readonly directory: { readonly nodes: ReadonlyMap<NodeId, Node>; readonly servers: ReadonlyMap<string, Server> }
  /** RPC address of a control node. */
  readonly addressOf?: (node: NodeId) => string | undefined
  readonly clocks: EntryClocks
  /** By default quotas have no tolerance. */
  readonly quotaBounds?: QuotaBounds
  /** Monotonic milliseconds. */
  readonly now: () => number
}

type MeasuredRequest = Pick<LeaseRequest, 'node' | 'environment' | 'start' | 'rosterVersion' | 'measuring' | 'clock'>
type QuotaRequest = Partial<Pick<LeaseRequest, 'quotas' | 'quotaSequence' | 'quotasOnly'>>

export class LeaseServer {
  readonly #options: LeaseServerOptions
  readonly #ledger = new MeasuringLedger({ window: MEASURING_WINDOW_MS })
  readonly #parsedDocuments = new Map<
    Environment,
    { readonly revision: number; readonly document: Document | undefined }
  >()
  readonly #quotas: QuotaAllocator
  /** Revisions whose limits the allocator has. */
  readonly #quotaRevisions = new Map<Environment, number>()
  #isLeader = false

  constructor(options: LeaseServerOptions) {
    this.#options = options
    const { quotaBounds } = options
    this.#quotas = new QuotaAllocator(quotaBounds === undefined ? {} : { bounds: quotaBounds })
  }

  /** Requests per second of all shares that entries may use; 0 on nodes that do not lead. */
  get allocatedRate(): number {
    return this.#quotas.allocatedRate(this.#options.now())
  }

  /**
   * A new leader grants no tokens for a full window, because its predecessor may have granted tokens in that window. Shares
   * of quotas do not grow for a window either.
   */
  setLeader(isLeader: boolean): void {
    if (isLeader === this.#isLeader) return
    this.#isLeader = isLeader
    this.#quotaRevisions.clear()
    if (isLeader) {
      this.#ledger.becomeLeader(this.#options.now())
      this.#quotas.becomeLeader(this.#options.now())
    } else {
      this.#ledger.stepDown()
      this.#quotas.stepDown()
    }
  }

  /** Errors: `no-quorum`. */
  async lease(request: MeasuredRequest & QuotaRequest) {
    const { host, clocks, now } = this.#options
    clocks.stated(request.node as NodeId, Number(request.clock), now())
    if (host.status().role !== 'leader') return ok(this.#notLeaderResponse())
    if (request.quotasOnly === true && host.isCurrent?.(MAX_STALENESS_MS) === true) {
      const quotas = this.#allocateQuotas(request, environmentName(request.environment), host.state)
      return ok({ ...this.#notLeaderResponse(), notLeader: false, quotas })
    }
    const sentAt = now()
    const read = await host.read()
    if (read.isErr()) return err(read.error) as Result<never, Failure>
    if (host.status().role !== 'leader') return ok(this.#notLeaderResponse())
    this.#ledger.confirmed(sentAt)
    const { state } = host
    const environment = environmentName(request.environment)
    const document = documentInForce(state, environment)
    const changed = request.rosterVersion !== BigInt(state.rosterVersion)
    return ok({
      notLeader: false,
      leader: '',
      leaderAddress: '',
      revision: BigInt(document?.revision ?? 0),
      digest: document?.digest ?? '',
      rosterVersion: BigInt(state.rosterVersion),
      roster: changed ? encodeRoster(state.roster) : [],
      grants: this.#grantTokens(request, environment, state),
      drain: isDrainOrdered(state, request.node as NodeId, Number(request.start)),
      quotas: this.#allocateQuotas(request, environment, state),
    })
  }

  #notLeaderResponse() {
    const { host, addressOf } = this.#options
    const { leader } = host.status()
    const node = leader === undefined ? undefined : nodeIdOf(leader)
    return {
      notLeader: true,
      leader: node ?? '',
      leaderAddress: (node && addressOf?.(node)) ?? '',
      revision: 0n,
      digest: '',
      rosterVersion: 0n,
      roster: [],
      grants: [],
      drain: false,
      quotas: [],
    }
  }

  /** A leader that was replaced gives nothing more after `MAX_STALENESS_MS`; its successor waits for longer. */
  #allocateQuotas(
    request: Pick<LeaseRequest, 'node'> & QuotaRequest,
    environment: Environment,
    state: ControlState,
  ): OrganisationShare[] {
    const now = this.#options.now()
    const revision = documentInForce(state, environment)?.revision ?? 0
    if (this.#quotaRevisions.get(environment) !== revision) {
      this.#quotaRevisions.set(environment, revision)
      this.#quotas.configure(environment, quotaLimits(this.#parsedDocument(environment, state)), now)
    }
    const { quotas = [], quotaSequence: sequence = 0n, quotasOnly: isPartial = false } = request
    const organisations = quotas.map(decodeDemand)
    return this.#quotas.request({ entry: request.node as NodeId, environment, sequence, organisations, isPartial }, now)
  }

  #grantTokens(
    request: Pick<LeaseRequest, 'node' | 'measuring'>,
    environment: Environment,
    state: ControlState,
  ): { service: string; tokensMs: number; validForMs: number }[] {
    const document = this.#parsedDocument(environment, state)
    const { directory, now } = this.#options
    const liveEntries = [...directory.nodes.values()].filter((node) => node.environment === environment).length
    return request.measuring.map(({ service, wantedMs, unitMs }) => {
      const share = document?.services.get(serviceName(service))?.measuringBudget ?? 0
      // Services of different environments may share a name but have different servers.
      const ledgerKey = serviceName(`${environment}/${service}`)
      this.#ledger.setBudget(
        ledgerKey,
        share * this.#readySlots(environment, serviceName(service)) * MEASURING_WINDOW_MS,
      )
      const entry = request.node as NodeId
      const tokenRequest = { entry, service: ledgerKey, wanted: wantedMs, unit: unitMs, liveEntries }
      const { tokens, validFor } = this.#ledger.request(tokenRequest, now())
      return { service, tokensMs: tokens, validForMs: Math.max(0, Math.floor(validFor)) }
    })
  }

  #readySlots(environment: Environment, service: ServiceName): number {
    let slots = 0
    for (const server of this.#options.directory.servers.values()) {
      const isReady = server.environment === environment && server.service === service && server.state === 'ready'
      if (isReady) slots += server.slots
    }
    return slots
  }

  #parsedDocument(environment: Environment, state: ControlState): Document | undefined {
    const current = documentInForce(state, environment)
    if (current === undefined) return undefined
    const known = this.#parsedDocuments.get(environment)
    if (known?.revision === current.revision) return known.document
    const document = parseDocument(current.text).unwrapOr(undefined)
    this.#parsedDocuments.set(environment, { revision: current.revision, document })
    return document
  }
}

function encodeRoster(roster: readonly RosterEpoch[]) {
  return roster
    .filter(({ standing }) => standing !== 'void')
    .map(({ epoch, effectiveFrom, standing, entries }) => ({
      epoch: BigInt(epoch),
      effectiveFrom: BigInt(effectiveFrom),
      pending: standing === 'pending',
      entries: entries.map((entry) => ({ node: entry.node, failureDomain: entry.failureDomain })),
    }))
}
