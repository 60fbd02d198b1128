/**
 * Measures every slope of `docs/CAPACITY.md`, prints the table and writes `docs/capacity-slopes.md` and its plot.
 * Arguments: names of the groups to run, all when absent; the page is written only by a run of all groups.
 */
import { writeFileSync } from 'node:fs'
import { claimsMeasurements } from './capacity/claims-cost'
import { controlMeasurements } from './capacity/control-cost'
import { directoryMeasurements } from './capacity/directory-cost'
import { measureEntry } from './capacity/entry-cost'
import { logMeasurements } from './capacity/log-cost'
import { plotSlopes } from './capacity/plot'
import { measureProcesses } from './capacity/process-cost'
import { page, row } from './capacity/report'
import { routerMeasurements } from './capacity/router-cost'
import { measureSlope, type Measurement, type Slope } from './capacity/slope'
import { storageMeasurements } from './capacity/storage-cost'

const groupOf = (measurements: readonly Measurement[]) => async () => {
  const slopes: Slope[] = []
  for (const measurement of measurements) slopes.push(await measureSlope(measurement))
  return slopes
}

const GROUPS: Readonly<Record<string, () => Promise<readonly Slope[]>>> = {
  directory: groupOf(directoryMeasurements),
  router: groupOf(routerMeasurements),
  claims: groupOf(claimsMeasurements),
  control: groupOf(controlMeasurements),
  log: groupOf(logMeasurements),
  storage: groupOf(storageMeasurements),
  entry: measureEntry,
  processes: measureProcesses,
}

const wanted = process.argv.slice(2)
const unknown = wanted.filter((name) => !(name in GROUPS))
if (unknown.length > 0) {
  throw new Error(`unknown group ${unknown.join(', ')}; the groups are ${Object.keys(GROUPS).join(', ')}`)
}

const groups: { readonly name: string; readonly slopes: readonly Slope[] }[] = []
for (const [name, measure] of Object.entries(GROUPS)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue
  const start = performance.now()
  const slopes = await measure()
  groups.push({ name, slopes })
  process.stdout.write(`${name}, ${((performance.now() - start) / 1_000).toFixed(1)} s\n`)
  for (const slope of slopes) process.stdout.write(`${row(slope)}\n`)
}
if (wanted.length === 0) {
  writeFileSync(new URL('../../../docs/capacity-slopes.md', import.meta.url), page(groups))
  writeFileSync(new URL('../../../docs/capacity-slopes.svg', import.meta.url), plotSlopes(groups))
}
