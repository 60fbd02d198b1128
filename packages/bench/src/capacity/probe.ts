/** Ways to read the cost of a piece of work: CPU time, retained heap, and encoded bytes. */

/** CPU time that one reading takes at least, so that single pauses weigh little. */
const LEAST_CPU_MICROSECONDS = 150_000
const BATCH_RUNS = 200

/** Microseconds of CPU per run of `work`, after a warm-up. */
export function cpuMicroseconds(work: (run: number) => void): number {
  let run = 0
  for (; run < BATCH_RUNS; run += 1) work(run)
  const before = process.cpuUsage()
  let runs = 0
  let spent = 0
  while (spent < LEAST_CPU_MICROSECONDS) {
    for (let batch = 0; batch < BATCH_RUNS; batch += 1) work(run + runs + batch)
    runs += BATCH_RUNS
    const used = process.cpuUsage(before)
    spent = used.user + used.system
  }
  return spent / runs
}

/** Microseconds of CPU per unit of work that runs once, for work that cannot be repeated on the same state. */
export function cpuMicrosecondsOf(work: () => void, units: number): number {
  const before = process.cpuUsage()
  work()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / units
}

/** Bytes of heap and of buffers outside it that the built value keeps alive; run Node with `--expose-gc`. */
export function retainedBytes(build: () => unknown): number {
  const before = heapAfterCollection()
  const value = build()
  const after = heapAfterCollection()
  // Reading the value here keeps it alive across the second collection.
  return value === undefined ? 0 : Math.max(0, after - before)
}

function heapAfterCollection(): number {
  if (globalThis.gc === undefined) throw new Error('memory measurements need node --expose-gc')
  globalThis.gc()
  globalThis.gc()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
