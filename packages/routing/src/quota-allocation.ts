/**
 * The control leader's side of quotas: shares of all organisations with a limit. It sends nothing by itself; entries ask
 * and state what they hold. An entry that does not name an organisation has given up its share of it.
 */
import type { Environment, NodeId, OrganisationName } from '@bilberrystall/base'
import { EXACT_QUOTA_BOUNDS, SHARE_VALIDITY_MS, type QuotaBounds, type QuotaLimit } from './quota-limit'
import { QuotaAccount, type QuotaRequest, type QuotaShare } from './quota-account'

/** A request of an earlier process of an entry is ignored for this time at most; its shares have expired then. */
const SEQUENCE_RETENTION_MS = SHARE_VALIDITY_MS
/** A leader that was replaced may give shares for this long, because not every request is confirmed by a majority. */
const REPLACED_LEADER_MS = 500

export interface OrganisationRequest extends QuotaRequest {
  readonly organisation: OrganisationName
}

export interface OrganisationShare extends QuotaShare {
  readonly organisation: OrganisationName
}

export interface EntryQuotaRequest {
  readonly entry: NodeId
  readonly environment: Environment
  /** Grows with each request of a process. */
  readonly sequence: bigint
  readonly organisations: readonly OrganisationRequest[]
  /** Whether the entry keeps the shares of organisations that it does not name. */
  readonly isPartial?: boolean
}

export interface QuotaAllocatorOptions {
  readonly bounds?: QuotaBounds
}

export class QuotaAllocator {
  readonly #bounds: QuotaBounds
  readonly #accounts = new Map<Environment, Map<OrganisationName, QuotaAccount>>()
  readonly #sequences = new Map<NodeId, { readonly sequence: bigint; readonly at: number }>()
  /** When a document removed organisations, which may return while their shares are in use. */
  readonly #removed = new Map<string, number>()
  #growsFrom = Number.POSITIVE_INFINITY

  constructor({ bounds = EXACT_QUOTA_BOUNDS }: QuotaAllocatorOptions = {}) {
    this.#bounds = bounds
  }

  /**
   * Called when this node becomes leader. Until all shares of the previous leader have expired or were stated here, and
   * until no window began under it, entries keep what they hold and get nothing more.
   */
  becomeLeader(now: number): void {
    this.stepDown()
    this.#growsFrom = now + this.#settlingMs + REPLACED_LEADER_MS
  }

  /** Called when this node is no longer leader. */
  stepDown(): void {
    this.#growsFrom = Number.POSITIVE_INFINITY
    this.#accounts.clear()
    this.#sequences.clear()
    this.#removed.clear()
  }

  /** Time after which no share and no window of an earlier allocation counts. */
  get #settlingMs(): number {
    return Math.max(SHARE_VALIDITY_MS, this.#bounds.windowMs)
  }

  /** Applies the limits of the document in force. Shares of organisations without a limit end. */
  configure(environment: Environment, limits: readonly QuotaLimit[], now: number): void {
    const known = this.#accounts.get(environment)
    const accounts = new Map<OrganisationName, QuotaAccount>()
    for (const limit of limits) {
      const account = known?.get(limit.organisation) ?? this.#createAccount(environment, limit, now)
      account.setLimit(limit)
      accounts.set(limit.organisation, account)
    }
    for (const organisation of known?.keys() ?? []) {
      if (!accounts.has(organisation)) this.#removed.set(accountKey(environment, organisation), now)
    }
    this.#accounts.set(environment, accounts)
  }

  /** Returns the shares of an entry, in place of those that it had. */
  request(
    { entry, environment, sequence, organisations, isPartial = false }: EntryQuotaRequest,
    now: number,
  ): OrganisationShare[] {
    const accounts = this.#accounts.get(environment)
    if (accounts === undefined || !this.#isLatest(entry, sequence, now)) return []
    const shares: OrganisationShare[] = []
    const named = new Set<OrganisationName>()
    for (const request of organisations) {
      const account = accounts.get(request.organisation)
      if (account === undefined || named.has(request.organisation) || !isReadable(request)) continue
      named.add(request.organisation)
      shares.push({ organisation: request.organisation, ...account.request(entry, request, now) })
    }
    if (isPartial) return shares
    for (const [organisation, account] of accounts) {
      if (!named.has(organisation)) account.release(entry, now)
    }
    return shares
  }

  /** Rate of all shares that entries may use, over all organisations. */
  allocatedRate(now: number): number {
    let rate = 0
    for (const accounts of this.#accounts.values()) {
      for (const account of accounts.values()) rate += account.allocatedRate(now)
    }
    return rate
  }

  #createAccount(environment: Environment, limit: QuotaLimit, now: number): QuotaAccount {
    const key = accountKey(environment, limit.organisation)
    const removedAt = this.#removed.get(key) ?? Number.NEGATIVE_INFINITY
    this.#removed.delete(key)
    const growsFrom = Math.max(this.#growsFrom, removedAt + this.#settlingMs)
    return new QuotaAccount({ limit, bounds: this.#bounds, growsFrom, now })
  }

  #isLatest(entry: NodeId, sequence: bigint, now: number): boolean {
    const last = this.#sequences.get(entry)
    if (last !== undefined && sequence <= last.sequence && now - last.at < SEQUENCE_RETENTION_MS) return false
    this.#sequences.set(entry, { sequence, at: now })
    return true
  }
}

function accountKey(environment: Environment, organisation: OrganisationName): string {
  return `${environment}/${organisation}`
}

function isReadable({ demandPerS, heldPerS, heldBurst, tokens, waiting, returned }: QuotaRequest): boolean {
  return [demandPerS, heldPerS, heldBurst, tokens, waiting, returned].every(
    (value) => Number.isFinite(value) && value >= 0,
  )
}
