/** Costs of one entry process on loopback: highest rate, CPU per call, added latency, nested calls. */
import { Harness } from '@bilberrystall/testkit'
import { request } from 'undici'
import { EntryProcesses, type Pair } from './entry-processes'
import { cpuOf } from './process-usage'
import { measureSlope, slopeOf, type Measurement, type Slope } from './slope'

const LOAD_MS = 1_200
const RUNS = 3
/** Rate at which response sizes are compared, in calls per second. */
const SIZED_RATE = 1_000
const NESTED_CALLS = 60
const DEPTHS = [1, 4, 10, 22]

export async function measureEntry(): Promise<readonly Slope[]> {
  const harness = await Harness.create()
  try {
    const processes = await EntryProcesses.create(harness)
    const pair = await processes.pair('server-main')
    const highest = await highestRate(processes, pair)
    const added = await addedLatency(processes, pair, highest.points[0]?.median ?? 0)
    const perRate = await measureSlope(cpuAgainstRate(processes, pair))
    const perSize = await measureSlope(cpuAgainstSize(processes))
    return [highest, ...added, perRate, perSize, ...(await nested(processes))]
  } finally {
    await harness.end()
  }
}

async function highestRate(processes: EntryProcesses, pair: Pair): Promise<Slope> {
  await processes.load(pair.entryPort, 0, LOAD_MS)
  const runs: number[] = []
  for (let run = 0; run < RUNS; run += 1) {
    runs.push((await processes.load(pair.entryPort, 0, LOAD_MS)).perSecond)
  }
  return slopeOf({ name: 'highest rate of one process', per: 'process', unit: 'calls/s' }, [{ size: 1, runs }])
}

/** Difference between calls through the entry and direct calls of the same rate, one after the other. */
async function addedLatency(processes: EntryProcesses, pair: Pair, highest: number): Promise<Slope[]> {
  const rate = Math.round(highest / 2)
  const median: number[] = []
  const tail: number[] = []
  for (let run = 0; run < RUNS; run += 1) {
    const direct = await processes.load(pair.serverPort, rate, LOAD_MS)
    const through = await processes.load(pair.entryPort, rate, LOAD_MS)
    median.push(through.p50 - direct.p50)
    tail.push(through.p99 - direct.p99)
  }
  const cost = (percentile: string) => {
    return { name: `latency added at half of the highest rate, ${percentile}`, per: 'calls/s', unit: 'ms' }
  }
  return [slopeOf(cost('p50'), [{ size: rate, runs: median }]), slopeOf(cost('p99'), [{ size: rate, runs: tail }])]
}

/** CPU per call; the number of calls is the rate of the measured part times the duration. */
async function cpuPerCall(processes: EntryProcesses, pair: Pair, rate: number): Promise<number> {
  const before = cpuOf(pair.entry.pid)
  const { perSecond } = await processes.load(pair.entryPort, rate, LOAD_MS)
  return (cpuOf(pair.entry.pid) - before) / ((perSecond * LOAD_MS) / 1_000)
}

function cpuAgainstRate(processes: EntryProcesses, pair: Pair): Measurement {
  return {
    name: 'CPU of the entry for one call',
    per: 'calls/s',
    unit: 'µs',
    sizes: [500, 1_000, 2_000, 4_000],
    warmUps: 0,
    measure: (rate) => cpuPerCall(processes, pair, rate),
  }
}

function cpuAgainstSize(processes: EntryProcesses): Measurement {
  const pairs = new Map<number, Promise<Pair>>()
  return {
    name: 'CPU of the entry for one call at 1,000 calls/s',
    per: 'bytes of response',
    unit: 'µs',
    sizes: [100, 4_096, 16_384, 65_536],
    measure: async (bytes) => {
      const pair = pairs.get(bytes) ?? processes.pair('server-main', bytes)
      pairs.set(bytes, pair)
      return cpuPerCall(processes, await pair, SIZED_RATE)
    },
  }
}

/** Nested calls one at a time: every hop goes through the same entry, or directly for the comparison. */
async function nested(processes: EntryProcesses): Promise<Slope[]> {
  const pair = await processes.pair('hop-server-main')
  const medianTime = async (port: number, depth: number) => {
    const times: number[] = []
    for (let call = 0; call < NESTED_CALLS; call += 1) times.push(await timeOfHops(port, depth))
    return times.sort((left, right) => left - right)[NESTED_CALLS / 2] ?? 0
  }
  const latency = await measureSlope({
    name: 'median latency added to a nested call',
    per: 'depth',
    unit: 'ms',
    sizes: DEPTHS,
    warmUps: 2,
    measure: async (depth) => (await medianTime(pair.entryPort, depth)) - (await medianTime(pair.serverPort, depth)),
  })
  const cpu = await measureSlope({
    name: 'CPU of the entry for one nested call',
    per: 'depth',
    unit: 'µs',
    sizes: DEPTHS,
    measure: async (depth) => {
      const before = cpuOf(pair.entry.pid)
      await medianTime(pair.entryPort, depth)
      return (cpuOf(pair.entry.pid) - before) / NESTED_CALLS
    },
  })
  return [latency, cpu]
}

async function timeOfHops(port: number, depth: number): Promise<number> {
  const start = performance.now()
  const response = await request(`http://127.0.0.1:${port}/hop/${port}/${depth}`)
  await response.body.dump()
  if (response.statusCode !== 200) throw new Error(`depth ${depth} was answered with ${response.statusCode}`)
  return performance.now() - start
}
