/** Times of leases. They are counted on the receiver's clock, so a node that is cut off lets them expire as well. */

/** A server renews its announcement this often. */
export const SERVER_RENEWAL_MS = 500
/** An origin stops vouching for a server that has not renewed for this long: two renewals may be lost. */
export const SERVER_FRESH_MS = 1300
/** After its last renewal a server gets no new calls from any entry; the limit for a leaving server is 3 s. */
export const SERVER_LEASE_MS = 2800
/** Records of one origin count this long after the origin's last statement. */
export const ORIGIN_LEASE_MS = SERVER_LEASE_MS - SERVER_FRESH_MS

/** Times by which a directory decides which servers count. */
export interface LeaseTimes {
  /** An origin stops vouching for a server that has not renewed for this long. */
  readonly serverFreshMs: number
  /** Records of one origin count this long after the origin's last statement. */
  readonly originLeaseMs: number
}

export const DEFAULT_LEASE_TIMES: LeaseTimes = { serverFreshMs: SERVER_FRESH_MS, originLeaseMs: ORIGIN_LEASE_MS }

/**
 * A server that misses this many renewals in a row is no longer used, where departures are decided by control. A server
 * that is cut off from the nodes but answers calls stays in use for that long; the call path finds one that crashed.
 */
const MISSED_RENEWALS = 8

/** Times for servers whose departures are decided by control, so that expiry need not be fast. */
export function slowLeaseTimes(renewalMs: number): LeaseTimes {
  const leaseMs = renewalMs * MISSED_RENEWALS
  return { serverFreshMs: leaseMs, originLeaseMs: leaseMs }
}

/** A node counts as live this long after its last statement. */
export const NODE_LEASE_MS = 5000
/** A draining or stopped server is kept this long, so that a late `ready` cannot bring it back. */
export const LEAVING_RETENTION_MS = 60_000
/** Removals are kept this long for peers that missed them; later ones receive the whole set. */
export const REMOVAL_RETENTION_MS = 30_000
/** An origin that has been silent for this long is forgotten. */
export const ORIGIN_RETENTION_MS = 60_000
