import { serviceName, type CodeName } from '@bilberrystall/base'
import { expect, onTestFinished, test, vi } from 'vitest'
import { Metrics } from '../src/metrics'
import { RepeatLog } from '../src/repeat-log'

const SERVICE = serviceName('slots')

// Guards against repetitions whose kind, or whose share in the allowance of all entries, cannot be told from the log (issue 73).
test('a line sums up what was repeated in 10 s, by kind, with the number of entries that divide the allowance', async () => {
  vi.useFakeTimers()
  onTestFinished(() => {
    vi.useRealTimers()
  })
  const lines: [CodeName, object][] = []
  const metrics = new Metrics()
  const info = (code: CodeName, fields: object = {}) => lines.push([code, fields])
  const log = { info, warn: () => undefined, error: () => undefined }
  const repeats = new RepeatLog({ context: { log, metrics }, entries: () => 149 })
  repeats.add({ service: SERVICE, kind: 'retry', budget: 'used' })
  repeats.add({ service: SERVICE, kind: 'retry', budget: 'exhausted' })
  repeats.add({ service: SERVICE, kind: 'reconnect', budget: 'not-needed' })
  vi.advanceTimersByTime(10_000)
  repeats.add({ service: SERVICE, kind: 'hedged', budget: 'used' })
  vi.advanceTimersByTime(9_999)
  expect(lines).toEqual([
    ['requestsRepeated', { service: SERVICE, retry: 1, reconnect: 1, exhausted: 1, entries: 149 }],
  ])
  vi.advanceTimersByTime(1)
  expect(lines[1]).toEqual(['requestsRepeated', { service: SERVICE, hedged: 1, exhausted: 0, entries: 149 }])
  const rendered = await metrics.render()
  expect(rendered).toContain('bilberrystall_call_repeats_total{kind="retry",budget="exhausted"} 1')
})
