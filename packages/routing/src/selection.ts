/**
 * Choice of a server among the candidates of a service. The cost of a server is its estimated load after the call
 * relative to the slots that may be used.
 */
import { randomBelow, type Random, type ServerId } from '@bilberrystall/base'
import type { ServerRecord } from './server-record'

export interface Choice {
  record: ServerRecord | undefined
  cost: number
  /** Estimated free slots of all healthy servers that were looked at. */
  free: number
}

export interface Surroundings {
  readonly random: Random
  /** Usual latency of the service in ms. */
  usual: number
  /** 95th percentile of the latency of the service in ms. */
  high: number
  /** Age in ms at which a single report has lost half of its weight against the average. */
  readonly reportMemory: number
  /** Usual calls of other entries at a server. */
  typicalOthers: number
  /** Trust in the reports of the service's servers as a whole. */
  trust: number
  /**
   * Rise of a server's rank per unit of evidence that it is slow. It changes the order only: a limit on it kept calls
   * from healthy servers.
   */
  readonly suspicionWeight: number
  /** Largest ramp of any server: when all are new, none is held back. */
  largestRamp: number
}

/** Above this number of servers a sample of this size is looked at. */
const SAMPLE = 32
/** The healthy server with the lowest cost; ties are broken at random. */
export function chooseServer(
  records: readonly ServerRecord[],
  tried: readonly ServerId[] | undefined,
  place: Surroundings,
  now: number,
): Choice {
  const best: Choice = { record: undefined, cost: Number.POSITIVE_INFINITY, free: 0 }
  let bestRank = Number.POSITIVE_INFINITY
  const count = Math.min(SAMPLE, records.length)
  const offset = randomBelow(place.random, records.length)
  for (let step = 0; step < count; step += 1) {
    const record = records[(offset + step) % records.length]
    if (record === undefined || !isUsable(record, now)) continue
    const load = record.own + record.others(now, place)
    const slots = record.server.slots
    best.free += Math.max(0, slots - load)
    if (tried?.includes(record.server.id) === true) continue
    const cost = costOf(record, load, place, now)
    const rank = cost * (1 + place.suspicionWeight * record.slowEvidence(place.high, now))
    if (rank >= bestRank) continue
    bestRank = rank
    best.record = record
    best.cost = cost
  }
  return best
}

export function isUsable(record: ServerRecord, now: number): boolean {
  return record.standing.kind === 'healthy' && record.server.state === 'ready' && now >= record.pausedUntil
}

function costOf(record: ServerRecord, load: number, place: Surroundings, now: number): number {
  const ramp = record.ramp(now) / place.largestRamp
  return (load + 1) / (record.server.slots * ramp)
}
