import { expect, test } from 'vitest'
import { nodeId, replicaId } from '@bilberrystall/base'
import { applyCommand, applyReplicaSet, emptyState, type ReplicaMember } from '../src/index'

const member = (name: string, role: ReplicaMember['role']): ReplicaMember => ({
  replica: replicaId(`${name}/1`),
  node: nodeId(name),
  role,
})

test('each change of the replica set is recorded once with its reason, and only if it took effect', () => {
  const state = emptyState()
  applyReplicaSet(state, [member('a', 'voter')])
  const step = { kind: 'replica-step', at: 70_000, reason: 'c lost for 60 s' } as const
  applyCommand(state, { ...step, action: 'add-learner', replica: replicaId('b/1') })
  expect(state.audit.size).toBe(1)
  applyReplicaSet(state, [member('a', 'voter'), member('b', 'learner')])
  applyReplicaSet(state, [member('a', 'voter'), member('b', 'voter')])
  applyReplicaSet(state, [member('b', 'voter')])
  const records = state.audit.query({}, 10).records.toReversed()
  expect(records.map(({ operation, target, source }) => [operation, target, source])).toEqual([
    ['replica-promote', 'a/1', 'no reason recorded'],
    ['replica-add-learner', 'b/1', 'c lost for 60 s'],
    ['replica-promote', 'b/1', 'no reason recorded'],
    ['replica-remove', 'a/1', 'no reason recorded'],
  ])
  expect(records[1]?.at).toBe(70_000)
})

test('a replacement requested by an operator stays pending until the node has left the replica set', () => {
  const state = emptyState()
  const request = { kind: 'node', at: 1, requester: 'asha', source: '10.0.0.1', action: 'replace' } as const
  applyReplicaSet(state, [member('a', 'voter'), member('b', 'voter')])
  applyCommand(state, { ...request, node: nodeId('b') })
  applyCommand(state, { ...request, node: nodeId('unknown') })
  expect(state.replacing).toEqual(['b'])
  applyReplicaSet(state, [member('a', 'voter')])
  expect(state.replacing).toEqual([])
})
