/**
 * Client side of entry leases, renewed with the control leader every 4 s: the time of the last linearizable read, the
 * roster and measuring tokens. Times are measured from sending the request, which precedes the read itself.
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
import type { ControlContacts } from './control-contacts'
import { DeliveryService, type LeaseResponse, type RpcClients } from '@bilberrystall/rpc'

/** Less than half of the measuring window of 10 s, so that one failed renewal loses no tokens. */
const RENEWAL_INTERVAL_MS = 4_000
const RETRY_DELAY_MS = 500
const REQUEST_TIMEOUT_MS = 2_000
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

  /** Renews at once, or right after a renewal in progress. */
  renewNow(): void {
    const isStarted = this.#isRenewing || this.#timer !== undefined
    if (!isStarted || this.#stopped) return
    clearTimeout(this.#timer)
    if (this.#isRenewing) this.#mustRepeat = true
    else void this.#renew()
  }

  async #renew(): Promise<void> {
    this.#isRenewing = true
    const renewed = await this.#requestLease()
    this.#isRenewing = false
    const mustRepeat = this.#mustRepeat && renewed
    this.#mustRepeat = false
    if (this.#stopped) return
    if (mustRepeat) void this.#renew()
    else this.#timer = setTimeout(() => void this.#renew(), renewed ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS)
  }

  /** Sends one lease request; follows the redirect of a node that is not the leader. */
  async #requestLease(): Promise<boolean> {
    const { contacts } = this.#options
    this.#renewals += 1
    for (let redirects = 0; redirects < 2; redirects += 1) {
      const target = this.#target()
      const address = target && contacts.addressOf(target)
      this.#leader = undefined
      if (target === undefined || address === undefined) return false
      const sentAt = this.#options.now()
      const response = await this.#sendRequest(address)
      if (response === undefined) return false
      if (!response.notLeader) {
        this.#leader = target
        this.#applyLease(response, sentAt)
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

  async #sendRequest(address: string): Promise<LeaseResponse | undefined> {
    const { clients, node, environment, incarnations, tokenDemands, wallClock } = this.#options
    const names = incarnations()
    const request = {
      node,
      environment,
      start: BigInt(names[this.#renewals % names.length] ?? 0),
      rosterVersion: this.#rosterVersion,
      measuring: [...tokenDemands()],
      clock: BigInt(Math.max(0, Math.round(wallClock()))),
    }
    try {
      return await clients.client(DeliveryService, address).lease(request, { timeoutMs: REQUEST_TIMEOUT_MS })
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
