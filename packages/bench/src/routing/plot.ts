/** SVG plot of the tail latency per case. */
import * as echarts from 'echarts'
import { POLICIES } from './comparison'
import { STATED_LOAD } from './plan'
import type { Result } from './targets'

const WIDTH = 1200
const HEIGHT = 720

/** p99 of urgent calls per case and policy for one service, on a logarithmic axis. */
export function plotTails(results: readonly Result[], workload: string): string {
  const shown = results.filter(
    ({ scenario }) =>
      scenario.workload.name === workload && scenario.distribution === 'exponential' && scenario.load >= STATED_LOAD,
  )
  const atStatedLoad = shown.filter(({ scenario }) => scenario.load !== 0.95)
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: { text: `p99 of urgent calls in ms, ${workload}, exponential, 80% load`, left: 'center' },
    legend: { bottom: 0 },
    grid: { left: 60, right: 20, top: 50, bottom: 140 },
    xAxis: {
      type: 'category',
      data: atStatedLoad.map(({ scenario }) => scenario.caseName),
      axisLabel: { rotate: 30, interval: 0 },
    },
    yAxis: { type: 'log', min: 50, name: 'ms' },
    series: POLICIES.map((policy) => ({
      name: policy,
      type: 'bar',
      data: atStatedLoad.map((result) => Number(figuresOf(result, policy).toFixed(1))),
    })),
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function figuresOf(result: Result, policy: string): number {
  if (policy === 'router') return result.router.urgentP99
  if (policy === 'bound') return result.bound.urgentP99
  return result.baselines[policy]?.urgentP99 ?? Number.NaN
}
