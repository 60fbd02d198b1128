/**
 * Client side of entry leases, renewed with the control leader: the time of the last linearizable read, the roster,
 * measuring tokens and shares of quotas. Leases are renewed every 4 s, or every second if the document requires keys, and
 * at once when a share is used up. Times are measured from sending the request, which precedes the read itself.
 */
import { epochAt, type RosterEpoch } from '@bilberrystall/control'
import {
  failureDomain,
  nodeId,
  revision,
  type Digest,
  type Environment,
  type NodeId,
  type Revision,
} from '@bilberrystall/base'
import type { OrganisationRequest, OrganisationShare } from '@bilberrystall/routing'
import type { ControlContacts } from './control-contacts'
import { decodeShare, encodeStatement } from './quota-codec'
import { DeliveryService, type LeaseResponse, type RpcClients } from '@bilberrystall/rpc'

export interface LeaseTimes {
  readonly renewalMs: number
  readonly retryMs: number
  readonly requestTimeoutMs: number
}

/** Less than half of the measuring window of 10 s, so that one failed renewal loses no tokens. */
export const SLOW_LEASE_TIMES: LeaseTimes = { renewalMs: 4_000, retryMs: 500, requestTimeoutMs: 2_000 }
/** Shares and the right to accept keys last 3 s, which is enough for two requests without a response. */
export const FAST_LEASE_TIMES: LeaseTimes = { renewalMs: 1_000, retryMs: 200, requestTimeoutMs: 500 }
/** Least time between two renewals because shares are used up. */
const MIN_RENEWAL_MS = 100
/** An entry rejects calls with an idempotency key if its last linearizable read is older than this. */
export const MAX_CONFIRMATION_AGE_MS = 50_000

export interface TokenDemand {
  readonly service: string
  readonly wantedMs: number
  readonly unitMs: number
}

export interface Grant {
  readonly service: string
  readonly tokensMs: number
  readonly validForMs: number
}

export interface Lease {
  /** Monotonic time at which the request was sent. */
  readonly sentAt: number
  /** Revision in force; 0 if the environment has no document. */
  readonly revision: Revision
  readonly digest: Digest | undefined
  readonly grants: readonly Grant[]
  readonly drain: boolean
}

/** Shares of quotas, which are part of leases. */
export interface LeaseQuotas {
  /** What the entry holds and needs: of all organisations, or of those that cannot wait for the next renewal. */
  readonly statement: (isUrgent: boolean) => {
    readonly quotaSequence: bigint
    readonly quotas: readonly OrganisationRequest[]
  }
  readonly apply: (shares: readonly OrganisationShare[], sentAt: number) => void
}

export interface LeaseClientOptions {
  readonly node: NodeId
  readonly environment: Environment
  /** All incarnations of this process. Requests name them in turn, as an order to drain may name any of them. */
  readonly incarnations: () => readonly number[]
  readonly clients: RpcClients
  readonly contacts: ControlContacts
  /** Probe time that the entry needs in the next window. */
  readonly tokenDemands: () => readonly TokenDemand[]
  readonly onLease: (lease: Lease) => void
  /** By default `SLOW_LEASE_TIMES`. */
  readonly times?: () => LeaseTimes
  readonly quotas?: LeaseQuotas
  /** Unix milliseconds. */
  readonly wallClock: () => number
  readonly now: () => number
}

export class LeaseClient {
  readonly #options: LeaseClientOptions
  #roster: readonly RosterEpoch[] = []
  #rosterVersion = 0n
  #leader: NodeId | undefined
  #round = 0
  #renewals = 0
  #timer: NodeJS.Timeout | undefined
  #confirmedAt = Number.NEGATIVE_INFINITY
  #stopped = false
  #isRenewing = false
  /** Whether another renewal was requested during the one in progress. */
  #mustRepeat = false
  #hasFailed = false
  /** Whether shares were used up since the last request was sent. */
  #isUrgent = false
  #sentAt = Number.NEGATIVE_INFINITY
  /** Monotonic time of the last renewal of the whole lease. */
  #renewedAt = Number.NEGATIVE_INFINITY

  constructor(options: LeaseClientOptions) {
    this.#options = options
  }

  /** Monotonic time of the last linearizable read. */
  get confirmedAt(): number {
    return this.#confirmedAt
  }

  /** Roster as of the last linearizable read. */
  get roster(): readonly RosterEpoch[] {
    return this.#roster
  }

  /** Roster epoch that holds keys created at `keyTime`; undefined if calls with a key must be rejected. */
  holdersAt(keyTime: number): RosterEpoch | undefined {
    if (this.#options.now() - this.#confirmedAt > MAX_CONFIRMATION_AGE_MS) return undefined
    return epochAt(this.#roster, keyTime)
  }

  start(): void {
    void this.#renew()
  }

  stop(): void {
    this.#stopped = true
    clearTimeout(this.#timer)
  }

  /** Renews the whole lease at once, or right after a renewal in progress. */
  renewNow(): void {
    const isStarted = this.#isRenewing || this.#timer !== undefined
    if (!isStarted || this.#stopped) return
    this.#renewedAt = Number.NEGATIVE_INFINITY
    clearTimeout(this.#timer)
    if (this.#isRenewing) this.#mustRepeat = true
    else void this.#renew()
  }

  /** Asks for shares of quotas before the lease is due. */
  requestShares(): void {
    if (this.#isUrgent || this.#stopped || this.#sentAt === Number.NEGATIVE_INFINITY) return
    this.#isUrgent = true
    // After a failed renewal the next one is due soon, and control may be overloaded.
    if (!this.#isRenewing && !this.#hasFailed) this.#schedule(this.#urgentDelay)
  }

  get #times(): LeaseTimes {
    return this.#options.times?.() ?? SLOW_LEASE_TIMES
  }

  get #urgentDelay(): number {
    return Math.max(0, this.#sentAt + MIN_RENEWAL_MS - this.#options.now())
  }

  async #renew(): Promise<void> {
    this.#isRenewing = true
    const { renewalMs, retryMs } = this.#times
    const onlyShares = this.#isUrgent && this.#options.now() < this.#renewedAt + renewalMs
    const renewed = await this.#requestLease(onlyShares)
    this.#isRenewing = false
    this.#hasFailed = !renewed
    const mustRepeat = this.#mustRepeat && renewed
    this.#mustRepeat = false
    if (this.#stopped) return
    if (mustRepeat) {
      this.#schedule(0)
      return
    }
    if (renewed && !onlyShares) this.#renewedAt = this.#options.now()
    const dueMs = Math.max(0, this.#renewedAt + renewalMs - this.#options.now())
    this.#schedule(renewed ? Math.min(dueMs, this.#isUrgent ? this.#urgentDelay : Infinity) : retryMs)
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => void this.#renew(), delayMs)
  }

  /** Sends one lease request; follows the redirect of a node that is not the leader. */
  async #requestLease(onlyShares: boolean): Promise<boolean> {
    const { contacts } = this.#options
    this.#renewals += 1
    for (let redirects = 0; redirects < 2; redirects += 1) {
      const target = this.#target()
      const address = target && contacts.addressOf(target)
      this.#leader = undefined
      if (target === undefined || address === undefined) return false
      const sentAt = this.#options.now()
      this.#sentAt = sentAt
      this.#isUrgent = false
      const response = await this.#sendRequest(address, onlyShares)
      if (response === undefined) return false
      if (!response.notLeader) {
        this.#leader = target
        this.#options.quotas?.apply(response.quotas.map(decodeShare), sentAt)
        if (!onlyShares) this.#applyLease(response, sentAt)
        return true
      }
      if (response.leader === '') return false
      this.#leader = nodeId(response.leader)
      contacts.learn([{ node: this.#leader, address: response.leaderAddress }])
    }
    return false
  }

  #target(): NodeId | undefined {
    if (this.#leader !== undefined) return this.#leader
    const candidates = this.#options.contacts.candidates()
    this.#round += 1
    return candidates[this.#round % Math.max(1, candidates.length)]?.node
  }

  async #sendRequest(address: string, quotasOnly: boolean): Promise<LeaseResponse | undefined> {
    const { clients, node, environment, incarnations, tokenDemands, wallClock, quotas } = this.#options
    const names = incarnations()
    const request = {
      node,
      environment,
      start: BigInt(names[this.#renewals % names.length] ?? 0),
      rosterVersion: this.#rosterVersion,
      measuring: [...tokenDemands()],
      clock: BigInt(Math.max(0, Math.round(wallClock()))),
      quotasOnly,
      ...(quotas === undefined ? {} : encodeStatement(quotas.statement(quotasOnly))),
    }
    const timeoutMs = this.#times.requestTimeoutMs
    try {
      return await clients.client(DeliveryService, address).lease(request, { timeoutMs })
    } catch {
      // The next attempt uses another node; the age of the last linearizable read exposes repeated failures.
      return undefined
    }
  }

  #applyLease(response: LeaseResponse, sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
    if (response.rosterVersion !== this.#rosterVersion) {
      this.#rosterVersion = response.rosterVersion
      this.#roster = response.roster.map((epoch) => ({
        epoch: Number(epoch.epoch),
        effectiveFrom: Number(epoch.effectiveFrom),
        standing: epoch.pending ? 'pending' : 'sealed',
        entries: epoch.entries.map((entry) => ({
          node: nodeId(entry.node),
          failureDomain: failureDomain(entry.failureDomain),
        })),
      }))
    }
    this.#options.onLease({
      sentAt,
      revision: revision(Number(response.revision)),
      digest: response.digest === '' ? undefined : (response.digest as Digest),
      grants: response.grants.map(({ service, tokensMs, validForMs }) => ({ service, tokensMs, validForMs })),
      drain: response.drain,
    })
  }
}
