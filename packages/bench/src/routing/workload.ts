/**
 * Workloads of section 1.1 of the design: services, failure domains, delays, arrivals and service times. Arrivals are
 * drawn once per case, so that every policy meets the same calls with the same amount of work.
 */
import { randomBelow, seededRandom, type Random } from '@bilberrystall/base'

export type Distribution = 'exponential' | 'lognormal'

export interface Workload {
  readonly name: string
  readonly servers: number
  readonly domains: number
  readonly entries: number
  /** One-way delay in ms between failure domains. */
  readonly domainDelay: number
}

const HIMSHILA = { domains: 4, entries: 7, domainDelay: 1 }
const SKLADAJ = { domains: 3, entries: 11, domainDelay: 1.5 }

export const WORKLOADS = {
  siteHistory: { name: 'site history', servers: 16, ...HIMSHILA },
  defectIntake: { name: 'defect intake', servers: 8, ...HIMSHILA },
  dispatchArchive: { name: 'dispatch and archive', servers: 12, ...HIMSHILA },
  calendar: { name: 'availability calendar', servers: 8, ...SKLADAJ },
  booking: { name: 'booking', servers: 6, ...SKLADAJ },
  payments: { name: 'payments and routing', servers: 11, ...SKLADAJ },
} as const satisfies Record<string, Workload>

/** One-way delay in ms within a failure domain. */
export const LOCAL_DELAY = 0.25
export const SLOTS = 3
/** Slot time of a probe in ms (section 1.1). */
export const PROBE_WORK = 6
/** Mean service time in ms: a few times the 6 ms that a probe takes on these servers. */
export const MEAN_WORK = 20
/** Shape of the heavier-tailed service time: coefficient of variation 1.8, p99 about 8 times the mean. */
const LOGNORMAL_SIGMA = 1.2
const LOGNORMAL_CAP = 600
const URGENT_DEADLINE = 1000
const DEFERRABLE_DEADLINE = 4000
const DEFERRABLE_SHARE = 0.2
const NON_REPEATABLE_SHARE = 0.2

export interface Arrival {
  readonly time: number
  readonly entry: number
  /** Slot time in ms at a server of normal speed. */
  readonly work: number
  readonly isUrgent: boolean
  readonly isRepeatable: boolean
  readonly deadline: number
}

export interface ArrivalOptions {
  readonly workload: Workload
  readonly distribution: Distribution
  /** Share of the slot time of all servers that arrives per unit of time. */
  readonly load: number
  /** Length of the run in ms. */
  readonly length: number
  readonly seed: number
}

/** Poisson arrivals, spread evenly over the entries by the platform's balancer. */
export function drawArrivals(options: ArrivalOptions): readonly Arrival[] {
  const random = seededRandom(options.seed)
  const interval = MEAN_WORK / (options.load * options.workload.servers * SLOTS)
  const arrivals: Arrival[] = []
  for (let time = exponential(random, interval); time < options.length; time += exponential(random, interval)) {
    const isUrgent = random() >= DEFERRABLE_SHARE
    arrivals.push({
      time,
      entry: randomBelow(random, options.workload.entries),
      work: drawWork(random, options.distribution),
      isUrgent,
      isRepeatable: random() >= NON_REPEATABLE_SHARE,
      deadline: time + (isUrgent ? URGENT_DEADLINE : DEFERRABLE_DEADLINE),
    })
  }
  return arrivals
}

export function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random())
}

function drawWork(random: Random, distribution: Distribution): number {
  if (distribution === 'exponential') return exponential(random, MEAN_WORK)
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const median = MEAN_WORK * Math.exp(-(LOGNORMAL_SIGMA ** 2) / 2)
  return Math.min(LOGNORMAL_CAP, median * Math.exp(LOGNORMAL_SIGMA * normal))
}
