/**
 * Behaviour of the stand-in server as plain data: how long calls take, how truthful its load report is, and which
 * faults it shows. Tests change it at run time over the control path.
 */
import type { Random } from '@bilberrystall/base'

export type ServiceTime =
  | { readonly kind: 'fixed'; readonly ms: number }
  | { readonly kind: 'exponential'; readonly meanMs: number }
  | { readonly kind: 'lognormal'; readonly medianMs: number; readonly sigma: number }

export type LoadReport = 'true' | 'idle' | 'none'

export interface Behaviour {
  readonly serviceTime: ServiceTime
  /** Multiplies every service time. */
  readonly slowdown: number
  /** Answers at once with this status and without using a slot; 0 turns it off. */
  readonly failFastStatus: number
  /** Reads requests and runs nothing. */
  readonly silent: boolean
  /** Sheds calls with `bilberrystall-not-run: 1` while this many calls wait; 0 turns shedding off. */
  readonly shedAtQueue: number
  readonly loadReport: LoadReport
  /** Age of the load report in ms. */
  readonly loadReportAgeMs: number
  /** Service times fall from `coldFactor` times to normal during this time after the start. */
  readonly coldStartMs: number
  readonly coldFactor: number
  /** Number of next responses that end after half of the body. */
  readonly truncateNext: number
  /** Number of next requests that run but whose connection is reset instead of a response. */
  readonly resetNext: number
  /** Time between the end of the work and the response in ms, without using a slot. */
  readonly lateMs: number
}

export const DEFAULT_BEHAVIOUR: Behaviour = {
  serviceTime: { kind: 'fixed', ms: 1 },
  slowdown: 1,
  failFastStatus: 0,
  silent: false,
  shedAtQueue: 0,
  loadReport: 'true',
  loadReportAgeMs: 0,
  coldStartMs: 0,
  coldFactor: 5,
  truncateNext: 0,
  resetNext: 0,
  lateMs: 0,
}

export function drawServiceTime(time: ServiceTime, random: Random): number {
  switch (time.kind) {
    case 'fixed':
      return time.ms
    case 'exponential':
      return -time.meanMs * Math.log(1 - random())
    case 'lognormal':
      return time.medianMs * Math.exp(time.sigma * normal(random))
  }
}

/** Factor of a cold server, linear from `coldFactor` to 1. */
export function coldFactor(behaviour: Behaviour, ageMs: number): number {
  if (ageMs >= behaviour.coldStartMs) return 1
  const remaining = 1 - ageMs / behaviour.coldStartMs
  return 1 + (behaviour.coldFactor - 1) * remaining
}

/** Box-Muller transform. */
function normal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
