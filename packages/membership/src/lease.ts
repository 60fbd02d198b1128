/** Lease times. They are measured by the clock of the receiver, so leases also expire at an isolated node. */

/** Interval at which a server renews its announcement. */
export const SERVER_RENEWAL_MS = 500
/** Time without renewal after which an origin removes a server; tolerates two lost renewals. */
export const RENEWAL_TIMEOUT_MS = 1300
/** Time after its last renewal from which no entry sends a server new calls. The limit for a leaving server is 3 s. */
export const SERVER_LEASE_MS = 2800
/** Time for which the records of an origin stay valid after its last heartbeat. */
export const ORIGIN_LEASE_MS = SERVER_LEASE_MS - RENEWAL_TIMEOUT_MS

/** Times by which a directory decides which servers are valid. */
export interface LeaseTimes {
  /** Time without renewal after which an origin removes a server. */
  readonly renewalTimeoutMs: number
  /** Time for which the records of an origin stay valid after its last heartbeat. */
  readonly originLeaseMs: number
}

export const DEFAULT_LEASE_TIMES: LeaseTimes = { renewalTimeoutMs: RENEWAL_TIMEOUT_MS, originLeaseMs: ORIGIN_LEASE_MS }

/**
 * Number of consecutive missed renewals after which a server is no longer used, if control decides departures. A
 * server that is isolated from the nodes but answers calls stays in use until then; a crashed one is detected by its
 * failing calls.
 */
const MISSED_RENEWALS = 8

/** Returns the lease times; `renewalMs` is undefined if control does not decide departures. */
export function leaseTimes(renewalMs: number | undefined): LeaseTimes {
  return renewalMs === undefined ? DEFAULT_LEASE_TIMES : slowLeaseTimes(renewalMs)
}

/** Returns the lease times for servers whose departures control decides, so that expiry need not be fast. */
export function slowLeaseTimes(renewalMs: number): LeaseTimes {
  const leaseMs = renewalMs * MISSED_RENEWALS
  return { renewalTimeoutMs: leaseMs, originLeaseMs: leaseMs }
}

/** Time for which a node counts as live after its last heartbeat. */
export const NODE_LEASE_MS = 5000
/** Time for which the record of a draining or stopped server is kept, so that a late `ready` cannot replace it. */
export const LEAVING_RETENTION_MS = 60_000
/** Time for which removals are kept for peers that missed them. After that, a peer receives the whole set. */
export const REMOVAL_RETENTION_MS = 30_000
/** Time without heartbeat after which an origin is removed. */
export const ORIGIN_RETENTION_MS = 60_000
