/** Plots the slopes that determine whether the cluster works at the design size, as SVG. */
import * as echarts from 'echarts'
import type { SlopeGroup } from './report'
import type { Slope } from './slope'

const COLUMNS = 2
const ROWS = 2
const WIDTH = 1_200
const HEIGHT = 800
const MARGIN = 70

interface Panel {
  readonly title: string
  readonly includes: (slope: Slope) => boolean
}

const PANELS: readonly Panel[] = [
  {
    title: 'Control traffic of one node at rest, bytes/s per entries',
    includes: ({ name, per }) => name.startsWith('control traffic') && per === 'entries',
  },
  {
    title: 'CPU of one node at rest, % of a core per entries',
    includes: ({ name, per }) => name.startsWith('CPU of one') && name.endsWith('at rest') && per === 'entries',
  },
  {
    title: 'Restart of a replica, ms per changes behind',
    includes: ({ name }) => name.startsWith('restart of a replica'),
  },
  {
    title: 'CPU of the entry for one call, µs per calls/s',
    includes: ({ name, per }) => name === 'CPU of the entry for one call' && per === 'calls/s',
  },
]

/** Plots the medians as points, with the fitted line. */
export function plotSlopes(groups: readonly SlopeGroup[]): string {
  const all = groups.flatMap(({ slopes }) => slopes)
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: PANELS.map(({ title }, index) => {
      const { left, top } = panelBounds(index)
      return { text: title, left, top: top - 40, textStyle: { fontSize: 14 } }
    }),
    legend: { bottom: 5 },
    grid: PANELS.map((_, index) => panelBounds(index)),
    xAxis: PANELS.map((_, gridIndex) => ({ type: 'value', gridIndex })),
    yAxis: PANELS.map((_, gridIndex) => ({ type: 'value', gridIndex, min: 0 })),
    series: PANELS.flatMap(({ includes }, index) =>
      all.filter(includes).flatMap((slope) => createSeries(slope, index)),
    ),
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function panelBounds(index: number): { left: number; top: number; width: number; height: number } {
  const width = WIDTH / COLUMNS
  const height = (HEIGHT - MARGIN) / ROWS
  return {
    left: (index % COLUMNS) * width + MARGIN,
    top: Math.floor(index / COLUMNS) * height + MARGIN,
    width: width - 2 * MARGIN,
    height: height - 2 * MARGIN,
  }
}

function createSeries({ name, points, slope, intercept }: Slope, index: number): object[] {
  const axes = { name, xAxisIndex: index, yAxisIndex: index }
  const sizes = points.map(({ size }) => size)
  const line = [Math.min(...sizes), Math.max(...sizes)].map((size) => [size, intercept + slope * size])
  return [
    { ...axes, type: 'scatter', data: points.map(({ size, median }) => [size, median]) },
    { ...axes, type: 'line', data: line, showSymbol: false },
  ]
}
