/** Draws the faults of a soak run from its seed. Has no side effects: the same seed gives the same schedule. */
import { randomInt, seededRandom, type RandomSource } from '@bilberrystall/base'

export type SoakTarget = 'entry' | 'control'

/** Fault that starts `startMs` after the start of the run and, if it has a duration, ends `durationMs` later. */
export type SoakFault =
  | {
      readonly kind: 'kill' | 'pause' | 'isolate'
      readonly startMs: number
      readonly durationMs: number
      readonly node: string
    }
  /** SIGTERM followed by a new start; no call may be aborted. */
  | { readonly kind: 'planned-stop'; readonly startMs: number; readonly node: string }
  | { readonly kind: 'kill-all-control'; readonly startMs: number; readonly durationMs: number }
  /** Two operators submit changes with the same base revision at the same time. */
  | { readonly kind: 'race'; readonly startMs: number }

export interface ScheduleOptions {
  readonly seed: number
  readonly loadDurationMs: number
  readonly entries: readonly string[]
  readonly controls: readonly string[]
}

/** Mean interval between the starts of two faults; shorter than most faults last, so that faults overlap. */
const MEAN_INTERVAL_MS = 900
const MIN_DURATION_MS = 200
const MAX_DURATION_MS = 2_500
const FAULT_KINDS = ['kill', 'pause', 'isolate', 'planned-stop', 'kill-all-control', 'race', 'race'] as const

export function drawSchedule({ seed, loadDurationMs, entries, controls }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed)
  const faults: SoakFault[] = []
  for (let startMs = MEAN_INTERVAL_MS; startMs < loadDurationMs; startMs += 2 * randomInt(random, MEAN_INTERVAL_MS)) {
    faults.push(drawFault(random, startMs, entries, controls))
  }
  return faults
}

function drawFault(
  random: RandomSource,
  startMs: number,
  entries: readonly string[],
  controls: readonly string[],
): SoakFault {
  const kind = pickRandom(random, FAULT_KINDS)
  const durationMs = MIN_DURATION_MS + randomInt(random, MAX_DURATION_MS - MIN_DURATION_MS)
  switch (kind) {
    case 'race':
      return { kind, startMs }
    case 'kill-all-control':
      return { kind, startMs, durationMs }
    case 'planned-stop':
      return { kind, startMs, node: pickRandom(random, entries) }
    case 'kill':
    case 'pause':
    case 'isolate':
      return { kind, startMs, durationMs, node: pickRandom(random, [...entries, ...controls]) }
  }
}

function pickRandom<Value>(random: RandomSource, values: readonly Value[]): Value {
  const value = values[randomInt(random, values.length)]
  if (value === undefined) throw new Error('cannot pick a value from an empty list')
  return value
}
