/** SVG plot of the slopes that decide whether a figure holds at the design size. */
import * as echarts from 'echarts'
import type { Group } from './report'
import type { Slope } from './slope'

const COLUMNS = 2
const ROWS = 2
const WIDTH = 1_200
const HEIGHT = 800
const MARGIN = 70

interface Panel {
  readonly title: string
  readonly chosen: (slope: Slope) => boolean
}

const PANELS: readonly Panel[] = [
  {
    title: 'Control traffic of one node at rest, bytes/s per entries',
    chosen: ({ name, per }) => name.startsWith('control traffic') && per === 'entries',
  },
  {
    title: 'CPU of one node at rest, % of a core per entries',
    chosen: ({ name, per }) => name.startsWith('CPU of one') && name.endsWith('at rest') && per === 'entries',
  },
  {
    title: 'Restart of a replica, ms per changes behind',
    chosen: ({ name }) => name.startsWith('restart of a replica'),
  },
  {
    title: 'CPU of the entry for one call, µs per calls/s',
    chosen: ({ name, per }) => name === 'CPU of the entry for one call' && per === 'calls/s',
  },
]

/** Medians as points with the fitted line through them. */
export function plotSlopes(groups: readonly Group[]): string {
  const all = groups.flatMap(({ slopes }) => slopes)
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: PANELS.map(({ title }, index) => {
      const { left, top } = place(index)
      return { text: title, left, top: top - 40, textStyle: { fontSize: 14 } }
    }),
    legend: { bottom: 5 },
    grid: PANELS.map((_, index) => place(index)),
    xAxis: PANELS.map((_, gridIndex) => ({ type: 'value', gridIndex })),
    yAxis: PANELS.map((_, gridIndex) => ({ type: 'value', gridIndex, min: 0 })),
    series: PANELS.flatMap(({ chosen }, index) => all.filter(chosen).flatMap((slope) => series(slope, index))),
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function place(index: number): { left: number; top: number; width: number; height: number } {
  const width = WIDTH / COLUMNS
  const height = (HEIGHT - MARGIN) / ROWS
  return {
    left: (index % COLUMNS) * width + MARGIN,
    top: Math.floor(index / COLUMNS) * height + MARGIN,
    width: width - 2 * MARGIN,
    height: height - 2 * MARGIN,
  }
}

function series({ name, points, slope, intercept }: Slope, index: number): object[] {
  const axes = { name, xAxisIndex: index, yAxisIndex: index }
  const sizes = points.map(({ size }) => size)
  const line = [Math.min(...sizes), Math.max(...sizes)].map((size) => [size, intercept + slope * size])
  return [
    { ...axes, type: 'scatter', data: points.map(({ size, median }) => [size, median]) },
    { ...axes, type: 'line', data: line, showSymbol: false },
  ]
}
