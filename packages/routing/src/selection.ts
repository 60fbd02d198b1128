/**
 * Server selection within a service. The cost of a server is its estimated load including the new call, divided by the
 * slots that may be used.
 */
import { randomInt, type RandomSource, type ServerId } from '@bilberrystall/base'
import { isEligible } from './eligibility'
import type { ServerRecord } from './server-record'

export interface Choice {
  record: ServerRecord | undefined
  cost: number
  /** Estimated free slots of all usable servers in the sample. */
  freeSlots: number
}

/** Statistics and parameters of a service that server selection uses. */
export interface ServiceStats {
  readonly random: RandomSource
  /** Smoothed median over the servers of their mean latency in ms. */
  typicalLatency: number
  /** 95th percentile of the latency of the service in ms. */
  p95Latency: number
  /** Age in ms at which a single report has half of its weight against the average. */
  readonly reportHalfLife: number
  /** Mean number of calls of other entries at a server, weighted by trust. */
  typicalOtherLoad: number
  /** Trust in the reports of the service's servers as a whole. */
  trust: number
  /**
   * Relative increase of a server's rank per unit of evidence that it is slow. It affects only the order of servers: a
   * limit based on it kept calls from healthy servers.
   */
  readonly slowEvidenceWeight: number
  /** Largest ramp of any server; ramps are relative to it, so that new servers are not held back if all are new. */
  maxRamp: number
}

/** Largest number of servers that are compared for one call. */
const SAMPLE_SIZE = 32

/** Chooses the usable server with the lowest rank (cost weighted by slowness); a random start breaks ties. */
export function chooseServer(
  records: readonly ServerRecord[],
  triedServers: readonly ServerId[] | undefined,
  stats: ServiceStats,
  now: number,
): Choice {
  const best: Choice = { record: undefined, cost: Number.POSITIVE_INFINITY, freeSlots: 0 }
  let bestRank = Number.POSITIVE_INFINITY
  const count = Math.min(SAMPLE_SIZE, records.length)
  const offset = randomInt(stats.random, records.length)
  for (let step = 0; step < count; step += 1) {
    const record = records[(offset + step) % records.length]
    if (record === undefined || !isEligible(record, 'call', now)) continue
    const load = record.ownInFlight + record.estimateOtherLoad(now, stats)
    const slots = record.server.slots
    best.freeSlots += Math.max(0, slots - load)
    if (triedServers?.includes(record.server.id) === true) continue
    const cost = costOf(record, load, stats, now)
    const rank = cost * (1 + stats.slowEvidenceWeight * record.slowEvidence(stats.p95Latency, now))
    if (rank >= bestRank) continue
    bestRank = rank
    best.record = record
    best.cost = cost
  }
  return best
}

function costOf(record: ServerRecord, load: number, stats: ServiceStats, now: number): number {
  const ramp = record.ramp(now) / stats.maxRamp
  return (load + 1) / (record.server.slots * ramp)
}
