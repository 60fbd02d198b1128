/** Verifies what the log tells about a request for a change at the node that an operator sent it to. */
import { environmentName, failure, nodeId, revision, serverId } from '@bilberrystall/base'
import type { Command } from '@bilberrystall/control'
import { expect, test } from 'vitest'
import { logSettled } from '../src/change-log'
import type { AttemptReport, SubmitOutcome } from '../src/change-outcome'
import type { LogFields } from '../src/log'

const origin = { at: 0, requester: 'platform', source: '10.0.0.1' }
const change: Command = {
  kind: 'submit',
  ...origin,
  changeId: 'c0ffee00c0ffee00',
  environment: environmentName('production'),
  baseRevision: revision(0),
  numbering: { version: 9, base: 7 },
  content: { validity: 'valid', text: '' },
}
const departure: Command = { kind: 'depart', ...origin, server: serverId('s1'), start: 7 }
const attempts: AttemptReport[] = [
  { node: nodeId('a'), startedMs: 0, endedMs: 600.4, result: 'no-response' },
  { node: nodeId('b'), startedMs: 650.2, endedMs: 655, result: 'not-leader' },
  { node: nodeId('c'), startedMs: 700, endedMs: 701, result: 'too-few-voters' },
]

function logged(command: Command, outcome: SubmitOutcome): LogFields[] {
  const lines: LogFields[] = []
  const write = (_: string, fields: LogFields = {}) => lines.push(fields)
  logSettled({ info: write, warn: write, error: write }, { command, outcome, ms: 950.6, attempts })
  return lines
}

test('a change is logged with its numbers, its result and every attempt', () => {
  expect(logged(change, { kind: 'failed', failure: failure('noQuorum') })).toMatchInlineSnapshot(`
    [
      {
        "attempts": [
          "a 0-600 no-response",
          "b 650-655 not-leader",
          "c 700-701 too-few-voters",
        ],
        "base": 7,
        "change": "c0ffee00c0ff",
        "environment": "production",
        "ms": 951,
        "result": "no-quorum",
        "version": 9,
      },
    ]
  `)
})

test('a refused change is logged with its code', () => {
  const result = { kind: 'refused', code: 'revisionConflict', message: '', currentRevision: revision(8) } as const
  expect(logged(change, { kind: 'change', result, repeated: false })[0]?.result).toBe('revision-conflict')
})

test('a departure is logged only without a result', () => {
  expect(logged(departure, { kind: 'recorded' })).toEqual([])
  expect(logged(departure, { kind: 'unknown' })).toMatchObject([{ server: 's1', result: 'change-unknown' }])
})
