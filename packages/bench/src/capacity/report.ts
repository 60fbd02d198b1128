/** The page of measured slopes as Markdown. */
import { cpus, loadavg } from 'node:os'
import type { Slope } from './slope'

export interface Group {
  readonly name: string
  readonly slopes: readonly Slope[]
}

export function row(slope: Slope): string {
  const points = slope.points
    .map((point) => `${point.size.toLocaleString('en-US')}: ${figure(point.median)}`)
    .join('; ')
  const spread = `${Math.round(slope.spread * 100)}%`
  const unit = `${slope.unit} per ${slope.per}`
  return `| ${slope.name} | ${unit} | ${points} | ${figure(slope.intercept)} | ${figure(slope.slope)} | ${spread} |`
}

function figure(value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 100 ? Math.round(value).toLocaleString('en-US') : value.toPrecision(3)
}

export function page(groups: readonly Group[]): string {
  return [
    '# Measured slopes',
    '',
    'Written by `npm run capacity`: each cost at four or more sizes, median of three runs, with the fitted line and the',
    'largest distance of a run from its median. `docs/CAPACITY.md` works out the figures at the design size from it.',
    '',
    `Measured with Node.js ${process.version} on ${cpus().length} cores. Other work was running on the machine: its load`,
    `average over 15 minutes was ${(loadavg()[2] ?? 0).toFixed(1)} at the end of the run.`,
    '',
    'CPU of processes is the run time of all their threads. Processes at rest are read in three windows of 3.4 s at each',
    'size, 1.5 s after the last start, so their CPU includes compiling. The start of the control node is one reading, the',
    'start of an entry one reading for each entry added at that size. The highest rate and the latency added at half of it',
    'are measured at one size each, so they have no slope.',
    '',
    '![The slopes that decide the design size](capacity-slopes.svg)',
    '',
    ...groups.flatMap(table),
  ].join('\n')
}

function table({ name, slopes }: Group): string[] {
  return [
    `## ${name[0]?.toUpperCase() ?? ''}${name.slice(1)}`,
    '',
    '| Cost | Unit | Median at each size | Intercept | Slope | Spread |',
    '| --- | --- | --- | --- | --- | --- |',
    ...slopes.map(row),
    '',
  ]
}
