/** Costs of one entry process on loopback: maximum rate, CPU per call, added latency, and nested calls. */
import { Harness } from '@bilberrystall/testkit'
import { request } from 'undici'
import { EntryProcesses, type EntryAndServer } from './entry-processes'
import { cpuMicrosecondsOf } from './process-usage'
import { measureSlope, fitSlope, type Measurement, type Slope } from './slope'

const LOAD_MS = 1_200
const RUNS = 3
/** Rate at which response sizes are compared, in calls per second. */
const SIZE_COMPARISON_RATE = 1_000
const NESTED_CALLS = 60
const DEPTHS = [1, 4, 10, 22]

export async function measureEntry(): Promise<readonly Slope[]> {
  const harness = await Harness.create()
  try {
    const processes = await EntryProcesses.create(harness)
    const pair = await processes.startEntryAndServer('server-main')
    const maxRate = await measureMaxRate(processes, pair)
    const addedLatency = await measureAddedLatency(processes, pair, maxRate.points[0]?.median ?? 0)
    const perRate = await measureSlope(cpuByRate(processes, pair))
    const perSize = await measureSlope(cpuByResponseSize(processes))
    return [maxRate, ...addedLatency, perRate, perSize, ...(await measureNestedCalls(processes))]
  } finally {
    await harness.end()
  }
}

async function measureMaxRate(processes: EntryProcesses, pair: EntryAndServer): Promise<Slope> {
  await processes.runLoad(pair.entryPort, 0, LOAD_MS)
  const runs: number[] = []
  for (let run = 0; run < RUNS; run += 1) {
    runs.push((await processes.runLoad(pair.entryPort, 0, LOAD_MS)).perSecond)
  }
  return fitSlope({ name: 'highest rate of one process', per: 'process', unit: 'calls/s' }, [{ size: 1, runs }])
}

/** Measures direct calls and calls through the entry one after the other at the same rate; returns the differences. */
async function measureAddedLatency(processes: EntryProcesses, pair: EntryAndServer, maxRate: number): Promise<Slope[]> {
  const rate = Math.round(maxRate / 2)
  const medianDifferences: number[] = []
  const p99Differences: number[] = []
  for (let run = 0; run < RUNS; run += 1) {
    const direct = await processes.runLoad(pair.serverPort, rate, LOAD_MS)
    const through = await processes.runLoad(pair.entryPort, rate, LOAD_MS)
    medianDifferences.push(through.p50 - direct.p50)
    p99Differences.push(through.p99 - direct.p99)
  }
  const createCost = (percentile: string) => {
    return { name: `latency added at half of the highest rate, ${percentile}`, per: 'calls/s', unit: 'ms' }
  }
  return [
    fitSlope(createCost('p50'), [{ size: rate, runs: medianDifferences }]),
    fitSlope(createCost('p99'), [{ size: rate, runs: p99Differences }]),
  ]
}

/** Returns the CPU per call in µs. The number of calls is the measured rate times the duration of the run. */
async function cpuPerCall(processes: EntryProcesses, pair: EntryAndServer, rate: number): Promise<number> {
  const cpuBefore = cpuMicrosecondsOf(pair.entry.pid)
  const { perSecond } = await processes.runLoad(pair.entryPort, rate, LOAD_MS)
  return (cpuMicrosecondsOf(pair.entry.pid) - cpuBefore) / ((perSecond * LOAD_MS) / 1_000)
}

function cpuByRate(processes: EntryProcesses, pair: EntryAndServer): Measurement {
  return {
    name: 'CPU of the entry for one call',
    per: 'calls/s',
    unit: 'µs',
    sizes: [500, 1_000, 2_000, 4_000],
    warmUps: 0,
    measure: (rate) => cpuPerCall(processes, pair, rate),
  }
}

function cpuByResponseSize(processes: EntryProcesses): Measurement {
  const pairs = new Map<number, Promise<EntryAndServer>>()
  return {
    name: 'CPU of the entry for one call at 1,000 calls/s',
    per: 'bytes of response',
    unit: 'µs',
    sizes: [100, 4_096, 16_384, 65_536],
    measure: async (bytes) => {
      const pair = pairs.get(bytes) ?? processes.startEntryAndServer('server-main', bytes)
      pairs.set(bytes, pair)
      return cpuPerCall(processes, await pair, SIZE_COMPARISON_RATE)
    },
  }
}

/** Measures nested calls one at a time. Every hop goes through the same entry, or to the server for comparison. */
async function measureNestedCalls(processes: EntryProcesses): Promise<Slope[]> {
  const pair = await processes.startEntryAndServer('hop-server-main')
  const medianCallTime = async (port: number, depth: number) => {
    const times: number[] = []
    for (let call = 0; call < NESTED_CALLS; call += 1) times.push(await nestedCallTime(port, depth))
    return times.sort((left, right) => left - right)[NESTED_CALLS / 2] ?? 0
  }
  const latency = await measureSlope({
    name: 'median latency added to a nested call',
    per: 'depth',
    unit: 'ms',
    sizes: DEPTHS,
    warmUps: 2,
    measure: async (depth) =>
      (await medianCallTime(pair.entryPort, depth)) - (await medianCallTime(pair.serverPort, depth)),
  })
  const cpu = await measureSlope({
    name: 'CPU of the entry for one nested call',
    per: 'depth',
    unit: 'µs',
    sizes: DEPTHS,
    measure: async (depth) => {
      const cpuBefore = cpuMicrosecondsOf(pair.entry.pid)
      await medianCallTime(pair.entryPort, depth)
      return (cpuMicrosecondsOf(pair.entry.pid) - cpuBefore) / NESTED_CALLS
    },
  })
  return [latency, cpu]
}

async function nestedCallTime(port: number, depth: number): Promise<number> {
  const start = performance.now()
  const response = await request(`http://127.0.0.1:${port}/hop/${port}/${depth}`)
  await response.body.dump()
  if (response.statusCode !== 200)
    throw new Error(`nested call of depth ${depth} returned status ${response.statusCode}`)
  return performance.now() - start
}
