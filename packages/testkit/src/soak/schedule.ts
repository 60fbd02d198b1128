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
  /** All control nodes are killed, right after a change was acknowledged if one is in time. */
  | { readonly kind: 'kill-all-control'; readonly startMs: number; readonly durationMs: number }
  /** Planned stops of all entries, each as soon as the one before is back; no request may be broken off. */
  | { readonly kind: 'stop-series'; readonly startMs: number }
  /** A server stops for a while with open connections and then goes on. */
  | { readonly kind: 'pause-server'; readonly startMs: number; readonly durationMs: number; readonly server: string }
  /** A server sends extra copies behind its responses, refuses requests and fails for a while. */
  | { readonly kind: 'stutter'; readonly startMs: number; readonly durationMs: number; readonly server: string }
  /** Responses of a server stop behind a part of their bodies for a while. */
  | { readonly kind: 'break-off'; readonly startMs: number; readonly durationMs: number; readonly server: string }
  /** An operator moves a route to another service. */
  | { readonly kind: 'move'; readonly startMs: number }
  /** SIGHUP to a node that runs. */
  | { readonly kind: 'reload'; readonly startMs: number; readonly node: string }
  /** No bytes pass between two groups of nodes, which may be single ones; all others reach both. */
  | CutFault
  /** Two operators submit changes with the same base revision at the same time. */
  | { readonly kind: 'race'; readonly startMs: number }

export interface CutFault {
  readonly kind: 'cut'
  readonly startMs: number
  readonly durationMs: number
  readonly left: readonly string[]
  readonly right: readonly string[]
}

export interface ScheduleOptions {
  readonly seed: number
  readonly loadDurationMs: number
  readonly entries: readonly string[]
  readonly controls: readonly string[]
  readonly servers: readonly string[]
  /** Whether servers stutter. All other faults of a seed stay the same. */
  readonly stutter?: boolean
  /** Whether responses of servers break off. All other faults of a seed stay the same. */
  readonly breakOff?: boolean
}

/** Mean interval between the starts of two faults; shorter than most faults last, so that faults overlap. */
const MEAN_INTERVAL_MS = 900
const MIN_DURATION_MS = 200
const MAX_DURATION_MS = 2_500
const FAULT_KINDS = ['kill', 'pause', 'isolate', 'planned-stop', 'kill-all-control', 'race', 'race'] as const

/** Latest start of a series of stops; it lasts for several seconds and runs beside the other faults. */
const MAX_SERIES_START_MS = 4000
const MAX_SERVER_PAUSE_MS = 2400
const MEAN_SERVER_PAUSE_INTERVAL_MS = 700
const MEAN_MOVE_INTERVAL_MS = 700
const MEAN_RELOAD_INTERVAL_MS = 1500
const MEAN_CUT_INTERVAL_MS = 2500
const MEAN_SERVER_FAULT_INTERVAL_MS = 500
const MAX_SERVER_FAULT_MS = 5000
/** Longer than the lease of a node. */
const MAX_CUT_MS = 6000
/** Added to the seed of these faults, whose number must not change the other ones of a seed. */
const SERIES_SEED = 0x51f7
const MOVE_SEED = 0x3d0e
const RELOAD_SEED = 0x2b91
const CUT_SEED = 0x6c07
const STUTTER_SEED = 0x14e9
const BREAK_OFF_SEED = 0x72d3

export function drawSchedule(options: ScheduleOptions): readonly SoakFault[] {
  return [
    ...drawOverlapping(options),
    ...drawSeries(options),
    ...drawMoves(options),
    ...drawReloads(options),
    ...drawCuts(options),
    ...(options.stutter === true ? drawServerFaults(options, 'stutter', STUTTER_SEED) : []),
    ...(options.breakOff === true ? drawServerFaults(options, 'break-off', BREAK_OFF_SEED) : []),
  ]
}

/** `addedSeed` keeps the faults of each kind apart. */
function drawServerFaults(
  { seed, loadDurationMs, servers }: ScheduleOptions,
  kind: 'stutter' | 'break-off',
  addedSeed: number,
): readonly SoakFault[] {
  const random = seededRandom(seed + addedSeed)
  return drawTimes(random, MEAN_SERVER_FAULT_INTERVAL_MS, loadDurationMs).map((startMs) => ({
    kind,
    startMs,
    durationMs: MIN_DURATION_MS + randomInt(random, MAX_SERVER_FAULT_MS - MIN_DURATION_MS),
    server: pickRandom(random, servers),
  }))
}

/** Cuts of two nodes from each other, and of a group from all other nodes, in equal shares. */
function drawCuts({ seed, loadDurationMs, entries, controls }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed + CUT_SEED)
  const nodes = [...new Set([...entries, ...controls])]
  return drawTimes(random, MEAN_CUT_INTERVAL_MS, loadDurationMs).map((startMs) => {
    const durationMs = MIN_DURATION_MS + randomInt(random, MAX_CUT_MS - MIN_DURATION_MS)
    const first = pickRandom(random, nodes)
    const others = nodes.filter((node) => node !== first)
    const isPair = randomInt(random, 2) === 0
    const right = isPair ? [pickRandom(random, others)] : others.filter(() => randomInt(random, 3) > 0)
    const left = isPair ? [first] : nodes.filter((node) => !right.includes(node))
    return { kind: 'cut', startMs, durationMs, left, right }
  })
}

function drawMoves({ seed, loadDurationMs }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed + MOVE_SEED)
  return drawTimes(random, MEAN_MOVE_INTERVAL_MS, loadDurationMs).map((startMs) => ({ kind: 'move', startMs }))
}

function drawReloads({ seed, loadDurationMs, entries }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed + RELOAD_SEED)
  return drawTimes(random, MEAN_RELOAD_INTERVAL_MS, loadDurationMs).map((startMs) => ({
    kind: 'reload',
    startMs,
    node: pickRandom(random, entries),
  }))
}

function drawTimes(random: RandomSource, meanIntervalMs: number, endMs: number): readonly number[] {
  const times: number[] = []
  for (let at = randomInt(random, 2 * meanIntervalMs); at < endMs; at += randomInt(random, 2 * meanIntervalMs)) {
    times.push(at)
  }
  return times
}

/** One series of planned stops, and pauses of servers during the whole load. */
function drawSeries({ seed, loadDurationMs, servers }: ScheduleOptions): readonly SoakFault[] {
  const random = seededRandom(seed + SERIES_SEED)
  const faults: SoakFault[] = [{ kind: 'stop-series', startMs: randomInt(random, MAX_SERIES_START_MS) }]
  let startMs = randomInt(random, 2 * MEAN_SERVER_PAUSE_INTERVAL_MS)
  while (startMs < loadDurationMs) {
    const durationMs = MIN_DURATION_MS + randomInt(random, MAX_SERVER_PAUSE_MS - MIN_DURATION_MS)
    faults.push({ kind: 'pause-server', startMs, durationMs, server: pickRandom(random, servers) })
    startMs += randomInt(random, 2 * MEAN_SERVER_PAUSE_INTERVAL_MS)
  }
  return faults
}

function drawOverlapping({ seed, loadDurationMs, entries, controls }: ScheduleOptions): readonly SoakFault[] {
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
