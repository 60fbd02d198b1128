/** Guards against a planned stop that cuts off calls long before its process is killed, or that is killed before its end. */
import { expect, test } from 'vitest'
import { limitStopTimes } from '../src/stop-times'

const TIMES = { balancerGraceMs: 2_500, stopLimitMs: 30_000 }

test('calls in flight may take until shortly before the process is killed', () => {
  expect(limitStopTimes(TIMES, 6_000)).toEqual({ balancerGraceMs: 2_500, stopLimitMs: 3_000 })
  expect(limitStopTimes(TIMES, 10_000)).toEqual({ balancerGraceMs: 2_500, stopLimitMs: 7_000 })
})

test('a lower limit of the settings stays in force', () => {
  expect(limitStopTimes({ ...TIMES, stopLimitMs: 2_000 }, 10_000)).toEqual({
    balancerGraceMs: 2_500,
    stopLimitMs: 2_000,
  })
})

test('a short time is shared between the balancer and the calls', () => {
  expect(limitStopTimes(TIMES, 3_000)).toEqual({ balancerGraceMs: 1_250, stopLimitMs: 1_250 })
  expect(limitStopTimes(TIMES, 100)).toEqual({ balancerGraceMs: 0, stopLimitMs: 0 })
})
