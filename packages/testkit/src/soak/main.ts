/** `npm run soak -- SEED...`: plays soaks one after the other and exits with 1 when a promise was broken. */
import { Harness } from '../processes'
import { playSoak } from './soak'

const seeds = process.argv.slice(2).map(Number)
if (seeds.length === 0 || seeds.some((seed) => !Number.isSafeInteger(seed))) {
  process.stderr.write('usage: npm run soak -- SEED...\n')
  process.exit(1)
}
for (const seed of seeds) {
  const harness = await Harness.create()
  try {
    const { faults, calls, changes, broken } = await playSoak(harness, seed)
    const verdict = broken.length === 0 ? 'kept' : 'BROKEN'
    process.stdout.write(
      `seed ${seed}: ${verdict}; ${faults.length} faults, ${changes} changes, ${JSON.stringify(calls)}\n`,
    )
    for (const sentence of broken) process.stdout.write(`  ${sentence}\n`)
    if (broken.length > 0) process.exitCode = 1
  } finally {
    await harness.end()
  }
}
