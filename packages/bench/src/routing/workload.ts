/**
 * Workloads of section 1.1 of the design: services, failure domains, network delays, arrivals and service times. The
 * arrivals of a scenario depend only on its options and seed, so every policy handles the same calls with the same
 * service times.
 */
import { randomInt, seededRandom, type RandomSource } from '@bilberrystall/base'

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
/** Service time of a probe in ms (section 1.1). */
export const PROBE_SERVICE_TIME = 6
/** Mean service time of a call in ms: a few times the 6 ms of a probe on these servers. */
export const MEAN_SERVICE_TIME = 20
/** Sigma of the lognormal service time: coefficient of variation 1.8, p99 about 8 times the mean. */
const LOGNORMAL_SIGMA = 1.2
const MAX_LOGNORMAL_SERVICE_TIME = 600
const URGENT_DEADLINE = 1000
const DEFERRABLE_DEADLINE = 4000
const DEFERRABLE_SHARE = 0.2
const NON_REPEATABLE_SHARE = 0.2

export interface Arrival {
  readonly time: number
  readonly entry: number
  /** Service time in ms at a server of normal speed. */
  readonly serviceTime: number
  readonly isUrgent: boolean
  readonly isRepeatable: boolean
  readonly deadline: number
}

export interface ArrivalOptions {
  readonly workload: Workload
  readonly distribution: Distribution
  /** Offered load as a share of the capacity of all servers. */
  readonly load: number
  /** Duration of the run in ms. */
  readonly duration: number
  readonly seed: number
}

/** Draws Poisson arrivals, each at a random entry, as the platform's balancer distributes them. */
export function drawArrivals(options: ArrivalOptions): readonly Arrival[] {
  const random = seededRandom(options.seed)
  const interval = MEAN_SERVICE_TIME / (options.load * options.workload.servers * SLOTS)
  const arrivals: Arrival[] = []
  for (let time = exponential(random, interval); time < options.duration; time += exponential(random, interval)) {
    const isUrgent = random() >= DEFERRABLE_SHARE
    arrivals.push({
      time,
      entry: randomInt(random, options.workload.entries),
      serviceTime: drawServiceTime(random, options.distribution),
      isUrgent,
      isRepeatable: random() >= NON_REPEATABLE_SHARE,
      deadline: time + (isUrgent ? URGENT_DEADLINE : DEFERRABLE_DEADLINE),
    })
  }
  return arrivals
}

export function exponential(random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random())
}

function drawServiceTime(random: RandomSource, distribution: Distribution): number {
  if (distribution === 'exponential') return exponential(random, MEAN_SERVICE_TIME)
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const median = MEAN_SERVICE_TIME * Math.exp(-(LOGNORMAL_SIGMA ** 2) / 2)
  return Math.min(MAX_LOGNORMAL_SERVICE_TIME, median * Math.exp(LOGNORMAL_SIGMA * normal))
}
