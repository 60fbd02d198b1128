/** Plots the tail latency of each case as SVG. */
import * as echarts from 'echarts'
import { POLICIES } from './comparison'
import { TARGET_LOAD } from './plan'
import type { ScenarioResult } from './targets'

const WIDTH = 1200
const HEIGHT = 720

/** Plots the p99 of urgent calls by case and policy for one workload, on a logarithmic axis. */
export function plotTailLatency(results: readonly ScenarioResult[], workload: string): string {
  const plottedResults = results.filter(
    ({ scenario }) =>
      scenario.workload.name === workload && scenario.distribution === 'exponential' && scenario.load >= TARGET_LOAD,
  )
  const resultsAtTargetLoad = plottedResults.filter(({ scenario }) => scenario.load !== 0.95)
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    backgroundColor: '#fff',
    title: { text: `p99 of urgent calls in ms, ${workload}, exponential, 80% load`, left: 'center' },
    legend: { bottom: 0 },
    grid: { left: 60, right: 20, top: 50, bottom: 140 },
    xAxis: {
      type: 'category',
      data: resultsAtTargetLoad.map(({ scenario }) => scenario.caseName),
      axisLabel: { rotate: 30, interval: 0 },
    },
    yAxis: { type: 'log', min: 50, name: 'ms' },
    series: POLICIES.map((policy) => ({
      name: policy,
      type: 'bar',
      data: resultsAtTargetLoad.map((result) => Number(urgentP99Of(result, policy).toFixed(1))),
    })),
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function urgentP99Of(result: ScenarioResult, policy: string): number {
  if (policy === 'router') return result.router.urgentP99
  if (policy === 'bound') return result.bound.urgentP99
  return result.baselines[policy]?.urgentP99 ?? Number.NaN
}
