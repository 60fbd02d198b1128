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

/** Deployments of the two users: Himshila (inspections of sites) and Skladaj (appointments of fitters). */
const INSPECTION_DEPLOYMENT = { domains: 4, entries: 7, domainDelay: 1 }
const APPOINTMENT_DEPLOYMENT = { domains: 3, entries: 11, domainDelay: 1.5 }

export const WORKLOADS = {
  siteHistory: { name: 'site history', servers: 16, ...INSPECTION_DEPLOYMENT },
  defectIntake: { name: 'defect intake', servers: 8, ...INSPECTION_DEPLOYMENT },
  dispatchArchive: { name: 'dispatch and archive', servers: 12, ...INSPECTION_DEPLOYMENT },
  calendar: { name: 'availability calendar', servers: 8, ...APPOINTMENT_DEPLOYMENT },
  booking: { name: 'booking', servers: 6, ...APPOINTMENT_DEPLOYMENT },
  payments: { name: 'payments and routing', servers: 11, ...APPOINTMENT_DEPLOYMENT },
} as const satisfies Record<string, Workload>

/** One-way delay within a failure domain. */
export const LOCAL_DELAY_MS = 0.25
/** Slots of every server. */
export const SLOTS = 3
/** Service time of a probe (section 1.1). */
export const PROBE_SERVICE_TIME_MS = 6
/** Mean service time of a call: a few times the 6 ms of a probe on these servers. */
export const MEAN_SERVICE_TIME_MS = 20
/** Sigma of the lognormal service time: coefficient of variation 1.8, p99 about 8 times the mean. */
const LOGNORMAL_SIGMA = 1.2
/** Lognormal service times are cut off at this value. */
const MAX_LOGNORMAL_SERVICE_TIME_MS = 600
const URGENT_DEADLINE_MS = 1000
const DEFERRABLE_DEADLINE_MS = 4000
const DEFERRABLE_SHARE = 0.2
const NON_REPEATABLE_SHARE = 0.2

export interface Arrival {
  /** Simulated time of the arrival in ms. */
  readonly time: number
  readonly entry: number
  /** Service time in ms at a server of normal speed. */
  readonly serviceTime: number
  readonly isUrgent: boolean
  readonly isRepeatable: boolean
  /** Simulated time in ms at which the call is cancelled. */
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
  const interval = MEAN_SERVICE_TIME_MS / (options.load * options.workload.servers * SLOTS)
  const arrivals: Arrival[] = []
  for (let time = exponential(random, interval); time < options.duration; time += exponential(random, interval)) {
    const isUrgent = random() >= DEFERRABLE_SHARE
    arrivals.push({
      time,
      entry: randomInt(random, options.workload.entries),
      serviceTime: drawServiceTime(random, options.distribution),
      isUrgent,
      isRepeatable: random() >= NON_REPEATABLE_SHARE,
      deadline: time + (isUrgent ? URGENT_DEADLINE_MS : DEFERRABLE_DEADLINE_MS),
    })
  }
  return arrivals
}

export function exponential(random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random())
}

function drawServiceTime(random: RandomSource, distribution: Distribution): number {
  if (distribution === 'exponential') return exponential(random, MEAN_SERVICE_TIME_MS)
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const median = MEAN_SERVICE_TIME_MS * Math.exp(-(LOGNORMAL_SIGMA ** 2) / 2)
  return Math.min(MAX_LOGNORMAL_SERVICE_TIME_MS, median * Math.exp(LOGNORMAL_SIGMA * normal))
}
