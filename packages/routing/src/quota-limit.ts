/** Limits of an organisation's requests over all entries, and how the tolerance on them is divided. */
import type { OrganisationName } from '@bilberrystall/base'

export interface QuotaLimit {
  readonly organisation: OrganisationName
  /** Requests per second over all entries together; above 0. */
  readonly rate: number
  /** Requests beyond the rate that may come at once. */
  readonly burst: number
}

/** Tolerance on the requests that run in any window. */
export interface QuotaBounds {
  readonly windowMs: number
  /** Share of the requests allowed in a window. */
  readonly overshoot: number
  /** Requests in a window beyond that. */
  readonly slack: number
}

/** Without a tolerance entries have no reserve. */
export const EXACT_QUOTA_BOUNDS: QuotaBounds = { windowMs: 5_000, overshoot: 0, slack: 0 }

/** Longest time for which an entry may use a share without asking again. */
export const SHARE_VALIDITY_MS = 3_000
/** An entry ignores a response that arrives later after its request. */
export const RESPONSE_LIMIT_MS = 500
export const MS_PER_SECOND = 1000

/** Fraction of the tolerance that entries may use without a share. */
const RESERVED_FRACTION = 0.5
/** Fraction of the tolerance for shares. The rest covers entries that disagree on which of them are live. */
const SHARED_FRACTION = 0.4

/** Requests that may run in a window, without the tolerance. */
export function nominalRequests(
  { rate, burst }: Pick<QuotaLimit, 'rate' | 'burst'>,
  { windowMs }: QuotaBounds,
): number {
  return (rate * windowMs) / MS_PER_SECOND + burst
}

function toleratedRequests(limit: Pick<QuotaLimit, 'rate' | 'burst'>, bounds: QuotaBounds): number {
  return bounds.overshoot * nominalRequests(limit, bounds) + bounds.slack
}

/** Whole requests in a window that all entries together may admit without a share. */
export function reservedRequests(limit: Pick<QuotaLimit, 'rate' | 'burst'>, bounds: QuotaBounds): number {
  return Math.floor(toleratedRequests(limit, bounds) * RESERVED_FRACTION)
}

/** Requests in a window that all shares together may admit beyond the limit. */
export function sharedTolerance(limit: Pick<QuotaLimit, 'rate' | 'burst'>, bounds: QuotaBounds): number {
  return toleratedRequests(limit, bounds) * SHARED_FRACTION
}

/** Requests in a window that all shares together may admit. */
export function sharedRequests(limit: Pick<QuotaLimit, 'rate' | 'burst'>, bounds: QuotaBounds): number {
  return nominalRequests(limit, bounds) + sharedTolerance(limit, bounds)
}
