/** Guards against metrics that keep an idle process awake. */
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'
import { Metrics } from '../src/metrics'

const IDLE_MS = 2_000
/** Ten wake-ups a second, a tenth of what the default of the metrics library causes. */
const MAX_WAKE_UPS = 20

test('an idle process with metrics wakes up rarely', async () => {
  const script = `
    const { Metrics } = await import('${new URL('../src/metrics.ts', import.meta.url).href}')
    const { performance } = await import('node:perf_hooks')
    new Metrics()
    const wakeUps = () => performance.nodeTiming.uvMetricsInfo.loopCount
    await new Promise((resolve) => setTimeout(resolve, 500))
    const before = wakeUps()
    await new Promise((resolve) => setTimeout(resolve, ${IDLE_MS}))
    console.log(wakeUps() - before)
  `
  const args = ['--import', 'tsx', '--input-type=module', '--eval', script]
  const { stdout } = await promisify(execFile)(process.execPath, args)
  expect(Number(stdout)).toBeLessThanOrEqual(MAX_WAKE_UPS)
})

test('totals that are kept elsewhere are rendered as they are at that time', async () => {
  const metrics = new Metrics()
  const total = { labels: { method: 'Follow' }, total: 2 }
  metrics.totals('rpc_calls_total', 'Calls', { labelNames: ['method'], read: () => [total] })
  const rendered = async () => /^bilberrystall_rpc_calls_total.*$/m.exec(await metrics.render())?.[0]
  expect(await rendered()).toBe('bilberrystall_rpc_calls_total{method="Follow"} 2')
  total.total = 5
  expect(await rendered()).toBe('bilberrystall_rpc_calls_total{method="Follow"} 5')
})
