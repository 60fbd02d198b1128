/** Each check of the soak fails on a planted fault, and a schedule repeats by its seed. */
import { expect, test } from 'vitest'
import { brokenPromises, type SoakView } from '../src/soak/promises'
import { drawSchedule } from '../src/soak/schedule'
import type { CallOutcome } from '../src/index'

const call = (requestId: string, outcome: CallOutcome, repeatable = false) => ({
  result: { outcome, requestId, status: 200, code: 'ok', server: 's', replayed: false, text: '' },
  repeatable,
  entry: 'entry-1',
  sentAt: 100,
  endedAt: 200,
})

const GOOD: SoakView = {
  calls: [call('a', 'complete'), call('b', 'not-run'), call('c', 'unknown'), call('d', 'complete', true)],
  executions: new Map([
    ['a', 1],
    ['c', 1],
    ['d', 2],
  ]),
  accepted: [2, 3],
  stated: new Map([['entry-1 pid 7', [1, 2, 2, 3]]]),
  finalRevision: 3,
  plannedStops: [],
}
const stop = { entry: 'entry-1', from: 150, until: 400, disturbed: false }

test.each<[string, Partial<SoakView>, string]>([
  [
    'runs twice',
    {
      executions: new Map([
        ['a', 2],
        ['c', 1],
        ['d', 1],
      ]),
    },
    'ran 2 times',
  ],
  [
    'a refusal that is not true',
    {
      executions: new Map([
        ['a', 1],
        ['b', 1],
        ['c', 1],
        ['d', 1],
      ]),
    },
    'not-run and ran',
  ],
  ['an answer to another request', { calls: [call('a', 'wrong')] }, 'not its own'],
  ['an answer without a run', { executions: new Map([['d', 1]]) }, 'ran nowhere'],
  ['two winners of a race', { accepted: [2, 2], finalRevision: 2 }, 'accepted twice'],
  ['a lost change', { finalRevision: 2 }, '2 is in force at the end'],
  ['a document that reverts', { stated: new Map([['entry-1 pid 7', [2, 1]]]) }, 'back to 1'],
  ['a call cut by a planned stop', { calls: [call('x', 'aborted')], plannedStops: [stop] }, 'cut by the planned stop'],
])('%s is found', (_, planted, message) => {
  expect(brokenPromises(GOOD)).toEqual([])
  expect(brokenPromises({ ...GOOD, ...planted }).join()).toContain(message)
})

test('a planned stop that another fault met may cut calls', () => {
  const plannedStops = [{ ...stop, disturbed: true }]
  expect(brokenPromises({ ...GOOD, calls: [call('x', 'aborted')], plannedStops })).toEqual([])
})

test('the same seed draws the same faults', () => {
  const options = { lengthMs: 20_000, entries: ['entry-1'], controls: ['control-1'] }
  expect(drawSchedule({ seed: 7, ...options })).toEqual(drawSchedule({ seed: 7, ...options }))
  expect(drawSchedule({ seed: 8, ...options })).not.toEqual(drawSchedule({ seed: 7, ...options }))
})
