/**
 * Measures the slopes for `docs/CAPACITY.md`, prints the table, and writes `docs/capacity-slopes.md` and its plot.
 * Arguments: names of the groups to run, by default all. The page is written only if all groups run.
 */
import { writeFileSync } from 'node:fs'
import { claimsMeasurements } from './capacity/claims-cost'
import { controlMeasurements } from './capacity/control-cost'
import { directoryMeasurements } from './capacity/directory-cost'
import { measureEntry } from './capacity/entry-cost'
import { logMeasurements } from './capacity/log-cost'
import { plotSlopes } from './capacity/plot'
import { measureProcesses } from './capacity/process-cost'
import { renderPage, renderRow } from './capacity/report'
import { routerMeasurements } from './capacity/router-cost'
import { measureSlope, type Measurement, type Slope } from './capacity/slope'
import { storageMeasurements } from './capacity/storage-cost'

const measureAll = (measurements: readonly Measurement[]) => async () => {
  const slopes: Slope[] = []
  for (const measurement of measurements) slopes.push(await measureSlope(measurement))
  return slopes
}

const GROUPS: Readonly<Record<string, () => Promise<readonly Slope[]>>> = {
  directory: measureAll(directoryMeasurements),
  router: measureAll(routerMeasurements),
  claims: measureAll(claimsMeasurements),
  control: measureAll(controlMeasurements),
  log: measureAll(logMeasurements),
  storage: measureAll(storageMeasurements),
  entry: measureEntry,
  processes: measureProcesses,
}

const requestedGroups = process.argv.slice(2)
const unknownGroups = requestedGroups.filter((name) => !(name in GROUPS))
if (unknownGroups.length > 0) {
  throw new Error(`unknown group ${unknownGroups.join(', ')}; the groups are ${Object.keys(GROUPS).join(', ')}`)
}

const groups: { readonly name: string; readonly slopes: readonly Slope[] }[] = []
for (const [name, measureGroup] of Object.entries(GROUPS)) {
  if (requestedGroups.length > 0 && !requestedGroups.includes(name)) continue
  const start = performance.now()
  const slopes = await measureGroup()
  groups.push({ name, slopes })
  process.stdout.write(`${name}, ${((performance.now() - start) / 1_000).toFixed(1)} s\n`)
  for (const slope of slopes) process.stdout.write(`${renderRow(slope)}\n`)
}
if (requestedGroups.length === 0) {
  writeFileSync(new URL('../../../docs/capacity-slopes.md', import.meta.url), renderPage(groups))
  writeFileSync(new URL('../../../docs/capacity-slopes.svg', import.meta.url), plotSlopes(groups))
}
