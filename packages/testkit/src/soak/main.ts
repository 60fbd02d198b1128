/**
 * `npm run soak -- [--large] [--stutter] [--break-off] SEED...`: runs one soak test per seed in turn; exits with 1 if an
 * invariant was violated or a test could not be completed. `--large` plays the seeds on a fleet of eleven nodes,
 * `--stutter` with servers that send extra copies of responses at times, `--break-off` with servers whose responses stop
 * behind a part of the body.
 */
import { Harness } from '../processes'
import { runSoak } from './soak'

const args = process.argv.slice(2)
const size = args.includes('--large') ? 'large' : 'small'
const stutter = args.includes('--stutter')
const breakOff = args.includes('--break-off')
const seeds = args.filter((arg) => !arg.startsWith('--')).map(Number)
if (seeds.length === 0 || seeds.some((seed) => !Number.isSafeInteger(seed))) {
  process.stderr.write('usage: npm run soak -- [--large] [--stutter] [--break-off] SEED...\n')
  process.exit(1)
}
for (const seed of seeds) {
  const harness = await Harness.create()
  try {
    const report = await runSoak(harness, seed, { size, stutter, breakOff })
    const { faults, calls, exchanges, stopsMs, acceptedChanges, acknowledgedMoves, routeRuns, violations } = report
    const verdict = violations.length === 0 ? 'passed' : 'FAILED'
    process.stdout.write(
      `seed ${seed}: ${verdict}; ${faults.length} faults, ${acceptedChanges} accepted changes, ` +
        `${acknowledgedMoves} moves, ${routeRuns} requests on the route, ${report.extraCopies} extra copies, ${report.brokenOff} broken off, ${JSON.stringify(calls)}, ` +
        `on kept connections ${JSON.stringify(exchanges)}, planned stops of ${stopsMs.join(', ')} ms\n`,
    )
    for (const violation of violations) process.stdout.write(`  ${violation}\n`)
    if (violations.length > 0) process.exitCode = 1
  } catch (cause) {
    process.stdout.write(
      `seed ${seed}: NOT COMPLETED; ${cause instanceof Error ? (cause.stack ?? cause.message) : String(cause)}\n`,
    )
    process.exitCode = 1
  } finally {
    await harness.end()
  }
}
// All processes have ended. An explicit exit does not free the environment of Node.js 20, which can wait for ever and use a
// whole core if a handle of it is never closed (see `resetSocket` in the fault proxy).
process.exit()
