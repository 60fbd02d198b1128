import { attemptId, requestId, serverId, type CodeName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { FailureLog } from '../src/failure-log'

const CALL = {
  route: 'r-1',
  service: 'slots',
  attempt: attemptId('a1'),
  request: requestId('q1'),
  servers: [serverId('s1')],
  behind: 2,
}

function setup() {
  const lines: [CodeName, object][] = []
  let omitted = 0
  let now = 0
  const info = (code: CodeName, fields: object = {}) => lines.push([code, fields])
  const log = { info, warn: () => undefined, error: () => undefined }
  const failures = new FailureLog({
    log,
    now: () => now,
    onOmitted: () => {
      omitted += 1
    },
  })
  return { lines, failures, omitted: () => omitted, advanceTime: (ms: number) => (now += ms) }
}

test('a line contains the attempt, its result and the servers that it was sent to', () => {
  const { lines, failures } = setup()
  failures.write('connectionLost', 12.4, CALL)
  expect(lines).toEqual([['callFailed', { result: 'connectionLost', ...CALL, ms: 12 }]])
})

test('in an overload the number of lines is limited and omitted lines are counted', () => {
  const { lines, failures, omitted, advanceTime } = setup()
  for (let count = 0; count < 500; count += 1) failures.write('overloaded', 1, CALL)
  expect(lines.length + omitted()).toBe(500)
  expect(lines).toHaveLength(60)
  advanceTime(1000)
  for (let count = 0; count < 500; count += 1) failures.write('overloaded', 1, CALL)
  expect(lines).toHaveLength(80)
})
