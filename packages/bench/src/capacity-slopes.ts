/** Measures every slope of `docs/CAPACITY.md`, prints the table and writes `docs/capacity-slopes.md`. */
import { writeFileSync } from 'node:fs'
import { cpus } from 'node:os'
import { directoryMeasurements } from './capacity/directory-cost'
import { measureSlope, type Measurement, type Slope } from './capacity/slope'

const MEASUREMENTS: readonly Measurement[] = [...directoryMeasurements]

const slopes: Slope[] = []
for (const measurement of MEASUREMENTS) {
  const slope = await measureSlope(measurement)
  slopes.push(slope)
  process.stdout.write(`${row(slope)}\n`)
}
writeFileSync(new URL('../../../docs/capacity-slopes.md', import.meta.url), page(slopes))

function row(slope: Slope): string {
  const points = slope.points.map((point) => `${point.size}: ${figure(point.median)}`).join('; ')
  const spread = `${Math.round(slope.spread * 100)}%`
  return `| ${slope.name} | ${slope.unit} per ${slope.per} | ${points} | ${figure(slope.intercept)} | ${figure(slope.slope)} | ${spread} |`
}

function figure(value: number): string {
  return Math.abs(value) >= 100 ? Math.round(value).toLocaleString('en-US') : value.toPrecision(3)
}

function page(all: readonly Slope[]): string {
  return [
    '# Measured slopes',
    '',
    'Written by `npm run capacity`: each cost at four or more sizes, median of three runs, with the fitted line and the',
    'largest distance of a run from its median. `docs/CAPACITY.md` works out the figures at the design size from it.',
    '',
    `Measured with Node.js ${process.version} on ${cpus().length} cores, other work on the machine included.`,
    '',
    '| Cost | Unit | Median at each size | Intercept | Slope | Spread |',
    '| --- | --- | --- | --- | --- | --- |',
    ...all.map(row),
    '',
  ].join('\n')
}
