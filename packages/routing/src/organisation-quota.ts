/**
 * An entry's side of quotas: admits requests of organisations from its shares of their quotas and from its reserve, and
 * decides when to ask the leader for more. Organisations without requests at this entry have no state here.
 */
import type { OrganisationName } from '@bilberrystall/base'
import {
  EXACT_QUOTA_BOUNDS,
  MS_PER_SECOND,
  nominalRequests,
  RESPONSE_LIMIT_MS,
  type QuotaBounds,
  type QuotaLimit,
} from './quota-limit'
import type { OrganisationRequest, OrganisationShare } from './quota-allocation'
import { QuotaBucket } from './quota-bucket'
import { QuotaReserve, RESERVE_RETENTION_MS, ReserveMembers } from './quota-reserve'

/** Least time between requests to the leader for an organisation for which it had no token. */
const LIMITED_ASK_INTERVAL_MS = 500
/** How long an organisation counts as such; then its requests wait for the leader again. */
const LIMITED_MS = 500
/**
 * How long a request waits for the leader. It may have to wait for two round trips, because one may be in progress. 300 ms
 * refused 6 to 11% of requests below the limit at a round trip of 200 ms.
 */
export const QUOTA_WAIT_MS = RESPONSE_LIMIT_MS
/** Requests of an organisation that wait for the leader at the same time. */
const MAX_WAITING = 200
/** An excess ends after this time without a refused request. */
const EXCESS_END_MS = 10_000
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 1_000

export type SettledQuota = { readonly kind: 'admitted' } | { readonly kind: 'refused'; readonly retryAfterMs: number }

/** The leader is asked, which takes at most `QUOTA_WAIT_MS`. */
export interface PendingQuota {
  readonly kind: 'pending'
  readonly onSettled: (listener: (settled: SettledQuota) => void) => void
}

export type QuotaDecision = SettledQuota | PendingQuota

const ADMITTED: SettledQuota = { kind: 'admitted' }

export interface QuotaExcess {
  readonly organisation: OrganisationName
  /** Requests refused since the beginning of the excess. */
  readonly refused: number
  readonly durationMs: number
}

export interface OrganisationQuotasOptions {
  /** Id of this entry. */
  readonly entry: string
  readonly bounds?: QuotaBounds
  readonly startedAt: number
  /** Called when a share is used up and the leader should be asked before the next renewal. */
  readonly onUsedUp?: () => void
  readonly onExceeded?: (organisation: OrganisationName) => void
  readonly onExcessEnded?: (excess: QuotaExcess) => void
}

interface WaitingRequest {
  readonly since: number
  settled: SettledQuota | undefined
  listener: ((settled: SettledQuota) => void) | undefined
}

interface Account {
  limit: QuotaLimit
  readonly bucket: QuotaBucket
  readonly reserve: QuotaReserve
  /** Time of the last request to the leader that states the organisation. */
  askedAt: number
  /** Time until which the leader counts as having no token for it. */
  limitedUntil: number
  waiting: WaitingRequest[]
  /** Whether a request found no token since the leader was asked. */
  needsShare: boolean
  excess: { readonly since: number; refusedAt: number; refused: number } | undefined
}

export class OrganisationQuotas {
  readonly #options: OrganisationQuotasOptions
  readonly #bounds: QuotaBounds
  readonly #members: ReserveMembers
  readonly #accounts = new Map<OrganisationName, Account>()
  #limits: ReadonlyMap<OrganisationName, QuotaLimit> = new Map()
  #confirmedAt = Number.NEGATIVE_INFINITY
  #refused = 0

  constructor(options: OrganisationQuotasOptions) {
    this.#options = options
    this.#bounds = options.bounds ?? EXACT_QUOTA_BOUNDS
    this.#members = new ReserveMembers(options.entry)
  }

  /** Requests refused since the start. */
  get refused(): number {
    return this.#refused
  }

  /** Number of shares held. */
  sharesHeld(now: number): number {
    return [...this.#accounts.values()].filter(({ bucket }) => bucket.hasShare(now)).length
  }

  /** Rate of all shares held. */
  heldRate(now: number): number {
    return [...this.#accounts.values()].reduce((sum, { bucket }) => sum + bucket.heldRate(now), 0)
  }

  /** Applies the limits of the document in force. Shares are reduced at once where a limit became lower. */
  configure(limits: readonly QuotaLimit[], now: number): void {
    this.#limits = new Map(limits.map((limit) => [limit.organisation, limit]))
    for (const [organisation, account] of this.#accounts) {
      const limit = this.#limits.get(organisation)
      if (limit === undefined) {
        this.#endExcess(organisation, account, now)
        this.#accounts.delete(organisation)
        for (const request of account.waiting) settle(request, ADMITTED)
        continue
      }
      const { rate, burst } = account.limit
      if (limit.rate === rate && limit.burst === burst) continue
      const requests = nominalRequests(limit, this.#bounds) / nominalRequests(account.limit, this.#bounds)
      account.bucket.scale(Math.min(1, limit.rate / rate, requests), now)
      account.reserve.setLimit(limit)
      account.limit = limit
    }
  }

  /** Records the entries of the environment that are live. */
  observeEntries(entries: readonly string[], now: number): void {
    this.#members.observe(entries, now)
  }

  /** Counts a request and decides on it. */
  take(organisation: OrganisationName, now: number): QuotaDecision {
    const account = this.#accounts.get(organisation) ?? this.#createAccount(organisation, now)
    if (account === undefined) return ADMITTED
    if (account.bucket.take(now)) return ADMITTED
    const isLimited = now < account.limitedUntil
    if (!isLimited || now - account.askedAt >= LIMITED_ASK_INTERVAL_MS) {
      account.needsShare = true
      this.#options.onUsedUp?.()
    }
    if ((!isLimited || !account.bucket.hasShare(now)) && this.#takeReserve(account, now)) return ADMITTED
    const mayWait = !isLimited && account.waiting.length < MAX_WAITING && this.#options.onUsedUp !== undefined
    return mayWait ? this.#wait(account, now) : this.#refuse(account, now)
  }

  /** Refuses requests that have waited for too long. */
  expire(now: number): void {
    for (const account of this.#accounts.values()) {
      const late = account.waiting.filter(({ since }) => now - since >= QUOTA_WAIT_MS)
      if (late.length === 0) continue
      account.waiting = account.waiting.filter(({ since }) => now - since < QUOTA_WAIT_MS)
      for (const request of late) settle(request, account.bucket.takeToken(now) ? ADMITTED : this.#refuse(account, now))
    }
  }

  /** Returns what to state to the leader now for the organisations with requests that wait for it. */
  urgentRequests(now: number): readonly OrganisationRequest[] {
    const waiting = [...this.#accounts].filter(([, account]) => account.waiting.length > 0 || account.needsShare)
    return waiting.map(([organisation, account]) => this.#state(organisation, account, now))
  }

  /** Returns what to state to the leader in a request that is sent now. */
  requests(now: number): readonly OrganisationRequest[] {
    const requests: OrganisationRequest[] = []
    for (const [organisation, account] of this.#accounts) {
      if (account.excess !== undefined && now - account.excess.refusedAt > EXCESS_END_MS) {
        this.#endExcess(organisation, account, now)
      }
      if (account.bucket.isIdle(now)) {
        if (!account.bucket.hasShare(now)) {
          this.#accounts.delete(organisation)
          continue
        }
        // The leader learns that the tokens were not used.
        account.bucket.end()
      }
      requests.push(this.#state(organisation, account, now))
    }
    return requests
  }

  /** Applies the shares for a request that was sent at `sentAt`, unless the response is late. */
  apply(shares: readonly OrganisationShare[], sentAt: number, now: number): void {
    if (now - sentAt > RESPONSE_LIMIT_MS) return
    this.#confirmedAt = sentAt
    for (const { organisation, ...share } of shares) {
      const account = this.#accounts.get(organisation)
      if (account === undefined) continue
      account.bucket.apply(share, sentAt, now)
      this.#serveWaiting(account, sentAt, now)
      account.bucket.discardExcess()
    }
  }

  /**
   * Requests that came after the last request to the leader wait for the next response. So do those that it knew of, if
   * it had tokens for most of them, or the rate of the share will have; otherwise they are refused.
   */
  #serveWaiting(account: Account, sentAt: number, now: number): void {
    const { bucket } = account
    if (bucket.tokens >= 1) account.limitedUntil = Number.NEGATIVE_INFINITY
    const unserved: WaitingRequest[] = []
    for (const request of account.waiting) {
      if (bucket.takeToken(now)) settle(request, ADMITTED)
      else unserved.push(request)
    }
    const served = account.waiting.length - unserved.length
    const known = unserved.filter(({ since }) => since <= sentAt)
    account.waiting = unserved
    const gained = (bucket.heldRate(now) * QUOTA_WAIT_MS) / MS_PER_SECOND
    if (known.length > served + gained) {
      account.limitedUntil = now + LIMITED_MS
      account.waiting = unserved.filter(({ since }) => since > sentAt)
      for (const request of known) settle(request, this.#refuse(account, now))
    }
    if (account.waiting.length > 0) this.#options.onUsedUp?.()
  }

  #wait(account: Account, now: number): QuotaDecision {
    const request: WaitingRequest = { since: now, settled: undefined, listener: undefined }
    account.waiting.push(request)
    return {
      kind: 'pending',
      onSettled: (listener) => {
        request.listener = listener
        if (request.settled !== undefined) listener(request.settled)
      },
    }
  }

  #state(organisation: OrganisationName, account: Account, now: number): OrganisationRequest {
    account.askedAt = now
    account.needsShare = false
    return { organisation, ...account.bucket.state(now), waiting: account.waiting.length }
  }

  #createAccount(organisation: OrganisationName, now: number): Account | undefined {
    const limit = this.#limits.get(organisation)
    if (limit === undefined) return undefined
    const account: Account = {
      limit,
      bucket: new QuotaBucket(now),
      reserve: new QuotaReserve({
        self: this.#options.entry,
        limit,
        bounds: this.#bounds,
        members: this.#members,
      }),
      askedAt: Number.NEGATIVE_INFINITY,
      limitedUntil: Number.NEGATIVE_INFINITY,
      waiting: [],
      needsShare: false,
      excess: undefined,
    }
    this.#accounts.set(organisation, account)
    return account
  }

  /** An earlier process of this entry may have used the reserve of the window before the start. */
  #takeReserve({ reserve }: Account, now: number): boolean {
    const { startedAt } = this.#options
    const hasReserve = now - startedAt > this.#bounds.windowMs && now - this.#confirmedAt < RESERVE_RETENTION_MS
    return hasReserve && reserve.take(now)
  }

  #refuse(account: Account, now: number): SettledQuota {
    this.#refused += 1
    if (account.excess === undefined) {
      account.excess = { since: now, refusedAt: now, refused: 1 }
      this.#options.onExceeded?.(account.limit.organisation)
    } else {
      account.excess.refusedAt = now
      account.excess.refused += 1
    }
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(account.bucket.wait(now))))
    return { kind: 'refused', retryAfterMs }
  }

  #endExcess(organisation: OrganisationName, account: Account, now: number): void {
    if (account.excess === undefined) return
    const { since, refused } = account.excess
    account.excess = undefined
    this.#options.onExcessEnded?.({ organisation, refused, durationMs: Math.round(now - since) })
  }
}

function settle(request: WaitingRequest, settled: SettledQuota): void {
  request.settled = settled
  request.listener?.(settled)
}
