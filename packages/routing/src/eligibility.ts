/**
 * Decides, for all parts of the router, which servers may be used for what. A server is excluded by its announced state,
 * by an evacuation of its failure domain, by what its responses say of it (it leaves, asks for a pause, names a rate
 * limit, or is cold), and by what this entry has seen of it (an ejection, or a failure a moment ago).
 */
import type { Call } from './call'
import type { ServerRecord } from './server-record'

/**
 * - `call`: a call, a retry or a hedged attempt.
 * - `load-query`: a query before a call.
 * - `limit-query`: a query that tells whether a rate limit or a warm-up has ended.
 * - `trial`: a call to a server that returns from an ejection.
 * - `probe`: the end of an ejection, with or without a probe.
 */
export type ServerUse = 'call' | 'load-query' | 'limit-query' | 'trial' | 'probe'

export function isEligible(record: ServerRecord, use: ServerUse, now: number): boolean {
  if (!acceptsRequests(record, now)) return false
  const { health } = record
  switch (use) {
    case 'call':
      return isHealthy(record, now) && record.isWithinLimits(now) && !record.isUnheard(now)
    case 'load-query':
      return isHealthy(record, now) && record.isWithinLimits(now)
    case 'limit-query':
      return isHealthy(record, now) && record.isLimitStale(now) && !record.isWithinLimits(now)
    case 'trial':
      return health.kind === 'trial' && isIdle(record) && record.isWithinLimits(now)
    case 'probe':
      return health.kind === 'ejected' && now >= health.until
  }
}

/** Whether a load query may choose the server: also one on trial, as its answer tells whether it has recovered. */
export function isQueryCandidate(record: ServerRecord, use: 'call' | 'load-query', now: number): boolean {
  return isEligible(record, use, now) || isEligible(record, 'trial', now)
}

/** Whether anything at all may be sent to the server now. */
export function acceptsRequests(record: ServerRecord, now: number): boolean {
  return isStaying(record) && now >= record.requestedPauseUntil
}

/**
 * Whether the server is ready, has not said that it leaves, and is not evacuated. It may still accept nothing right now.
 */
export function isStaying({ server, isLeaving, isRemoved, isEvacuated }: ServerRecord): boolean {
  return server.state === 'ready' && !isLeaving && !isRemoved && !isEvacuated
}

/** Whether the call may be sent to the server now or later. */
export function mayServe(record: ServerRecord, call: Call): boolean {
  if (!isStaying(record) || call.triedServers?.includes(record.server.id) === true) return false
  if (record.rateLimit?.interval === Number.POSITIVE_INFINITY) return false
  // A retry would wait for an ejected server until its deadline and then fail.
  return !isRetry(call) || record.health.kind !== 'ejected'
}

export function isRetry(call: Call): boolean {
  return call.triedServers !== undefined && call.triedServers.length > 0
}

function isHealthy({ health, pausedUntil }: ServerRecord, now: number): boolean {
  return health.kind === 'healthy' && now >= pausedUntil
}

function isIdle({ ownInFlight, isProbing }: ServerRecord): boolean {
  return ownInFlight === 0 && !isProbing
}
