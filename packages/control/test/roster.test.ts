import { expect, test } from 'vitest'
import { applyCommand, emptyState, epochAt, rosterDecision, type Command, type ControlState } from '../src/index'
import { rosterEntry } from './fixture'

const DAY_MS = 24 * 3_600_000
const propose = (at: number, name: string): Command => ({ kind: 'roster-propose', at, entries: [rosterEntry(name)] })

function stateWith(...commands: readonly Command[]): ControlState {
  const state = emptyState()
  for (const command of commands) applyCommand(state, command)
  return state
}

test('a new roster takes effect 90 s after its proposal, and earlier keys keep their holders', () => {
  const state = stateWith(propose(0, 'a'), propose(10_000, 'b'), { kind: 'roster-seal', at: 10_050, epoch: 2 })
  expect(epochAt(state.roster, 99_999)?.epoch).toBe(1)
  expect(epochAt(state.roster, 100_000)?.epoch).toBe(2)
})

test('an epoch whose proposal is committed late is voided, so entries with an older roster cannot disagree', () => {
  const state = stateWith(propose(0, 'a'), propose(10_000, 'b'))
  const pending = state.roster[1]
  if (pending === undefined) throw new Error('no pending epoch')
  expect(rosterDecision(pending, 15_000)).toBe('roster-seal')
  expect(rosterDecision(pending, 15_001)).toBe('roster-void')
  expect(epochAt(state.roster, 100_000)).toBeUndefined()
  applyCommand(state, { kind: 'roster-void', at: 20_000, epoch: 2 })
  expect(epochAt(state.roster, 100_000)?.epoch).toBe(1)
})

test('the first decision about an epoch in the log is final', () => {
  const state = stateWith(propose(0, 'a'), propose(10_000, 'b'))
  const seal: Command = { kind: 'roster-seal', at: 10_100, epoch: 2 }
  expect(applyCommand(state, { kind: 'roster-void', at: 20_000, epoch: 2 }).result).toMatchObject({ changed: true })
  expect(applyCommand(state, seal).result).toMatchObject({ changed: false })
  expect(epochAt(state.roster, 200_000)?.epoch).toBe(1)
})

test('an epoch is kept as long as a key within the retention of 24 h can refer to it', () => {
  const state = stateWith(propose(0, 'a'), propose(1_000, 'b'), { kind: 'roster-seal', at: 1_010, epoch: 2 })
  applyCommand(state, propose(DAY_MS + 90_999, 'c'))
  expect(epochAt(state.roster, 90_999)?.epoch).toBe(1)
  applyCommand(state, propose(DAY_MS + 91_000, 'd'))
  expect(epochAt(state.roster, 90_999)).toBeUndefined()
  expect(epochAt(state.roster, 91_000)?.epoch).toBe(2)
})
