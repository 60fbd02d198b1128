/** Measures the cost of a function: CPU time and retained memory. */

/** Minimum CPU time of one measurement, so that a single pause has little effect. */
const MIN_CPU_MICROSECONDS = 150_000
const RUNS_PER_BATCH = 200

/** Returns the CPU time in µs per run of `work`, after a warm-up. */
export function cpuMicrosecondsPerRun(work: (run: number) => void): number {
  let run = 0
  for (; run < RUNS_PER_BATCH; run += 1) work(run)
  const before = process.cpuUsage()
  let runs = 0
  let spent = 0
  while (spent < MIN_CPU_MICROSECONDS) {
    for (let batch = 0; batch < RUNS_PER_BATCH; batch += 1) work(run + runs + batch)
    runs += RUNS_PER_BATCH
    const used = process.cpuUsage(before)
    spent = used.user + used.system
  }
  return spent / runs
}

/** Returns the CPU time in µs per unit. `work` runs once, for work that cannot be repeated on the same state. */
export function cpuMicrosecondsPerUnit(work: () => void, units: number): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / units
}

/** Returns the bytes of heap and external buffers that the built value retains; requires `node --expose-gc`. */
export function retainedBytes(build: () => unknown): number {
  const before = heapAfterCollection()
  const value = build()
  const after = heapAfterCollection()
  // Using the value here keeps it reachable during the second collection.
  return value === undefined ? 0 : Math.max(0, after - before)
}

function heapAfterCollection(): number {
  if (globalThis.gc === undefined) throw new Error('memory measurements require node --expose-gc')
  globalThis.gc()
  globalThis.gc()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
