/** Guards against evacuations that differ between replicas, are lost with a snapshot, or are taken back by a late copy. */
import { failureDomain } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import {
  MAX_EVACUATIONS,
  applyCommand,
  decodeCommand,
  decodeSnapshot,
  emptyState,
  encodeCommand,
  encodeSnapshot,
  type ControlState,
  type EvacuateCommand,
} from '../src/index'
import { submit } from './fixture'

function order(action: 'start' | 'end', domain: string, id = `${action}-${domain}`, at = 5): EvacuateCommand {
  const origin = { at, requester: 'asha', source: '10.0.0.1' }
  return { kind: 'evacuate', ...origin, action, domain: failureDomain(domain), order: id }
}

function applyAll(commands: readonly EvacuateCommand[], state = emptyState()): ControlState {
  for (const command of commands) applyCommand(state, command)
  return state
}

const evacuated = ({ evacuations, evacuationPosition }: ControlState) => ({
  domains: [...evacuations.keys()],
  position: evacuationPosition,
})

test('the last order for a domain in log order is in force', () => {
  const state = applyAll([order('start', 'a'), order('start', 'b'), order('end', 'a')])
  expect(evacuated(state)).toEqual({ domains: ['b'], position: 3 })
  expect([...state.evacuations.values()]).toEqual([{ domain: 'b', at: 5, requester: 'asha' }])
})

// Guards against messages to all entries for each order that a platform sends again.
test('an order that changes nothing keeps the position and is recorded as repeated', () => {
  const state = applyAll([order('end', 'a'), order('start', 'a'), order('start', 'a', 'again', 9)])
  expect(evacuated(state)).toEqual({ domains: ['a'], position: 1 })
  expect(state.evacuations.get(failureDomain('a'))).toMatchObject({ at: 5 })
  const records = state.audit.query({}, 10).records.map(({ operation, target, result, repeated = false }) => {
    return `${operation} ${target ?? ''} ${result} ${repeated}`
  })
  expect(records).toEqual(['evacuate-start a ok true', 'evacuate-start a ok false', 'evacuate-end a ok true'])
})

// Guards against an attempt that was committed late and takes back the opposite order of another operator.
test('an order whose attempts are committed twice takes effect once, also after a snapshot between them', () => {
  const first = applyAll([order('start', 'a', 'o1'), order('end', 'a', 'o2')])
  const restored = decodeSnapshot(encodeSnapshot(first))._unsafeUnwrap()
  for (const state of [first, restored]) {
    expect(evacuated(applyAll([order('start', 'a', 'o1')], state))).toEqual({ domains: [], position: 2 })
  }
  expect(evacuated(applyAll([order('start', 'a', 'o3')], first))).toEqual({ domains: ['a'], position: 3 })
})

test('more domains than the bound are refused until one returns', () => {
  const domains = Array.from({ length: MAX_EVACUATIONS }, (_, index) => `d${index}`)
  const state = applyAll(domains.map((domain) => order('start', domain)))
  const refused = applyCommand(state, order('start', 'one-more'))
  expect(refused.result).toEqual({ kind: 'refused', code: 'evacuationLimit' })
  expect(evacuated(state).position).toBe(MAX_EVACUATIONS)
  expect(state.audit.query({}, 1).records[0]).toMatchObject({ target: 'one-more', result: 'evacuation-limit' })
  expect(applyCommand(state, order('start', 'd3', 'again')).result).toEqual({ kind: 'recorded' })
  applyAll([order('end', 'd3')], state)
  expect(applyCommand(state, order('start', 'one-more')).result).toEqual({ kind: 'recorded' })
})

test('a snapshot restores evacuations, position and order ids', () => {
  const state = applyAll([order('start', 'b'), order('start', 'a'), order('end', 'b')])
  const restored = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap()
  expect(evacuated(restored)).toEqual({ domains: ['a'], position: 3 })
  expect(restored.evacuationOrders).toEqual(['start-b', 'start-a', 'end-b'])
  expect(Buffer.compare(encodeSnapshot(state), encodeSnapshot(restored))).toBe(0)
})

// Guards against a node that cannot open the snapshot of an earlier build, and against replicas of two builds that differ.
test('a snapshot without evacuations has no field of them, and is read as empty', () => {
  const state = emptyState()
  applyCommand(state, submit('c1', 0))
  const bytes = encodeSnapshot(state)
  expect(Buffer.from(bytes).toString('utf8')).not.toContain('evacuat')
  expect(evacuated(decodeSnapshot(bytes)._unsafeUnwrap())).toEqual({ domains: [], position: 0 })
})

test.each(['', ' ', 'a b', 'a\n', '%FF', '\ufffd', '-a', 'a'.repeat(101), '../etc'])(
  'the name %j of a domain is refused',
  (domain) => {
    expect(decodeCommand(encodeCommand(order('start', domain, 'o1'))).isErr()).toBe(true)
  },
)

test.each(['a', 'bag-a', 'eu/1.b:2', '_x', 'Zürich', 'a'.repeat(100)])(
  'the name %j of a domain is accepted',
  (domain) => {
    expect(decodeCommand(encodeCommand(order('start', domain, 'o1'))).isOk()).toBe(true)
  },
)
