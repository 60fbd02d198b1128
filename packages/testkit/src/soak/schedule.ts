/** Draws the faults of one soak from its seed. Pure: the same seed gives the same schedule. */
import { randomBelow, seededRandom, type Random } from '@bilberrystall/base'

export type SoakTarget = 'entry' | 'control'

/** A fault that begins at `at` ms after the start of the load and, where it lasts, ends `lasts` ms later. */
export type SoakFault =
  | { readonly kind: 'kill' | 'pause' | 'isolate'; readonly at: number; readonly lasts: number; readonly node: string }
  /** SIGTERM and a new start: no call may be cut. */
  | { readonly kind: 'planned-stop'; readonly at: number; readonly node: string }
  | { readonly kind: 'kill-all-control'; readonly at: number; readonly lasts: number }
  /** Two operators submit on one revision at once. */
  | { readonly kind: 'race'; readonly at: number }

export interface ScheduleOptions {
  readonly seed: number
  readonly lengthMs: number
  readonly entries: readonly string[]
  readonly controls: readonly string[]
}

/** Mean pause between two faults: shorter than most of them last, so that they overlap. */
const MEAN_PAUSE_MS = 900
const SHORTEST_MS = 200
const LONGEST_MS = 2_500
const KINDS = ['kill', 'pause', 'isolate', 'planned-stop', 'kill-all-control', 'race', 'race'] as const

export function drawSchedule({ seed, lengthMs, entries, controls }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed)
  const faults: SoakFault[] = []
  for (let at = MEAN_PAUSE_MS; at < lengthMs; at += 2 * randomBelow(random, MEAN_PAUSE_MS)) {
    faults.push(drawFault(random, at, entries, controls))
  }
  return faults
}

function drawFault(random: Random, at: number, entries: readonly string[], controls: readonly string[]): SoakFault {
  const kind = pick(random, KINDS)
  const lasts = SHORTEST_MS + randomBelow(random, LONGEST_MS - SHORTEST_MS)
  switch (kind) {
    case 'race':
      return { kind, at }
    case 'kill-all-control':
      return { kind, at, lasts }
    case 'planned-stop':
      return { kind, at, node: pick(random, entries) }
    case 'kill':
    case 'pause':
    case 'isolate':
      return { kind, at, lasts, node: pick(random, [...entries, ...controls]) }
  }
}

function pick<Value>(random: Random, values: readonly Value[]): Value {
  const value = values[randomBelow(random, values.length)]
  if (value === undefined) throw new Error('nothing to pick from')
  return value
}
