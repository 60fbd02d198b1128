/** Guards against a call that waits for a server that has discarded its request, and against giving up on slow servers. */
import { expect, test } from 'vitest'
import { unansweredAfterMs, type LoadReport, type UnansweredOptions } from '../src/index'

const report = (load: Partial<LoadReport['load']> = {}, ageMs = 10): LoadReport => ({
  load: { inflight: 1, queue: 0, slots: 3, ...load },
  ageMs,
})
const FULL = report({ inflight: 3, queue: 1 })

const after = (rest: Partial<UnansweredOptions>) =>
  unansweredAfterMs({ tailLatency: 60, target: 400, silenceMs: 2000, report: report(), ...rest })

test('a request is unanswered after four times the 95th percentile of the service', () => {
  expect(after({})).toBe(240)
  expect(after({ tailLatency: 240 })).toBe(960)
})

test('a server whose last report had a full queue is suspected earlier, and within half of the target', () => {
  expect(after({ report: FULL })).toBe(90)
  expect(after({ report: FULL, tailLatency: 300 })).toBe(200)
})

test('an old report of a full queue, or a server without a report, is treated as any other', () => {
  expect(after({ report: { ...FULL, ageMs: 2001 } })).toBe(240)
  expect(after({ report: undefined })).toBe(240)
})

test('a server that reports to be slow gets more time, within a bound', () => {
  expect(after({ report: report({ slowness: 3 }) })).toBe(720)
  expect(after({ report: report({ slowness: 1e9 }) })).toBe(2000)
})

test('the time for silent connections is the upper bound, also while no latencies are known', () => {
  expect(after({ tailLatency: 1000 })).toBe(2000)
  expect(after({ tailLatency: undefined })).toBe(2000)
  expect(after({ tailLatency: undefined, report: FULL })).toBe(1000)
})

test('a short pause of a fast server is not taken for silence', () => {
  expect(after({ tailLatency: 1 })).toBe(50)
})
