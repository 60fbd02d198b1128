/**
 * Behaviour of the fake server as plain data: service times, accuracy of the load report, and injected faults. Tests
 * change it at run time through the control endpoint.
 */
import type { RandomSource } from '@bilberrystall/base'

export type ServiceTime =
  | { readonly kind: 'fixed'; readonly ms: number }
  | { readonly kind: 'exponential'; readonly meanMs: number }
  | { readonly kind: 'lognormal'; readonly medianMs: number; readonly sigma: number }

export type LoadReport = 'accurate' | 'idle' | 'none'

export interface Behaviour {
  readonly serviceTime: ServiceTime
  /** Multiplies every service time. */
  readonly slowdown: number
  /** Responds immediately with this status and without using a slot; 0 disables it. */
  readonly failFastStatus: number
  /** Reads requests but neither runs nor answers them. */
  readonly silent: boolean
  /** Queue length from which calls are shed with `bilberrystall-not-run: 1`; 0 disables shedding. */
  readonly shedQueueLength: number
  readonly loadReport: LoadReport
  /** Age of the load report in ms. */
  readonly loadReportAgeMs: number
  /** Time after the start during which service times fall from `coldStartFactor` times their value to normal. */
  readonly coldStartMs: number
  readonly coldStartFactor: number
  /** Number of upcoming responses that end after half of the body. */
  readonly responsesToTruncate: number
  /** Number of upcoming requests that run, but whose connection is reset instead of a response being sent. */
  readonly responsesToReset: number
  /** Path of requests that end the process of the server when they run; empty disables it. */
  readonly crashPath: string
  /** Delay in ms between the end of the execution and the response; it does not occupy a slot. */
  readonly responseDelayMs: number
  /** Share of requests that are refused with 503 and `bilberrystall-not-run: 1`, whatever the load. */
  readonly refusalShare: number
  /** Share of requests that run and are answered with 500. */
  readonly failureShare: number
  /** Share of responses that stop behind a part of the body, and then break off or go on. */
  readonly breakOffShare: number
  /** Share of responses that an extra copy follows, whole or cut off. */
  readonly stutterShare: number
  /** Longest time in ms before each piece of an extra copy. */
  readonly stutterDelayMs: number
}

export const DEFAULT_BEHAVIOUR: Behaviour = {
  serviceTime: { kind: 'fixed', ms: 1 },
  slowdown: 1,
  failFastStatus: 0,
  silent: false,
  shedQueueLength: 0,
  loadReport: 'accurate',
  loadReportAgeMs: 0,
  coldStartMs: 0,
  coldStartFactor: 5,
  responsesToTruncate: 0,
  responsesToReset: 0,
  crashPath: '',
  responseDelayMs: 0,
  refusalShare: 0,
  failureShare: 0,
  breakOffShare: 0,
  stutterShare: 0,
  stutterDelayMs: 12,
}

export function sampleServiceTime(time: ServiceTime, random: RandomSource): number {
  switch (time.kind) {
    case 'fixed':
      return time.ms
    case 'exponential':
      return -time.meanMs * Math.log(1 - random())
    case 'lognormal':
      return time.medianMs * Math.exp(time.sigma * sampleStandardNormal(random))
  }
}

/** Multiplier of service times after a start, which falls linearly from `coldStartFactor` to 1. */
export function coldStartMultiplier(behaviour: Behaviour, uptimeMs: number): number {
  if (uptimeMs >= behaviour.coldStartMs) return 1
  const remaining = 1 - uptimeMs / behaviour.coldStartMs
  return 1 + (behaviour.coldStartFactor - 1) * remaining
}

/** Samples the standard normal distribution by the Box-Muller transform. */
function sampleStandardNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
