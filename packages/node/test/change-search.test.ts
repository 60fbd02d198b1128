/**
 * Verifies how a node without a replica finds the leader for a change, and how long that takes when control nodes are
 * silent. The control nodes are played.
 */
import { environmentName, nodeId, revision, type NodeId } from '@bilberrystall/base'
import { sha256, type Command } from '@bilberrystall/control'
import type { RpcClients, SubmitResponse } from '@bilberrystall/rpc'
import { expect, test } from 'vitest'
import { encodeSubmitResponse } from '../src/change-outcome'
import { NON_LEADER_HOST } from '../src/change-proposals'
import { ChangeSubmitter } from '../src/change-submitter'

/** Time that an operator waits for a response before it turns to another node. */
const OPERATOR_TIMEOUT_MS = 1_000
/** Time that a leader needs to commit a change and to tell the entries. */
const LEADER_MS = 300

type Played = () => Promise<unknown>

const accepted = { kind: 'accepted', revision: revision(3), digest: sha256('') } as const
const settled = encodeSubmitResponse({ kind: 'change', result: accepted, repeated: false })
const notLeader = (leader = '') =>
  encodeSubmitResponse({ kind: 'not-leader', reason: 'not-leader', leader, address: leader })

const after = async <Value>(ms: number, value: Value): Promise<Value> => {
  await new Promise((resolve) => setTimeout(resolve, ms))
  return value
}
const silent: Played = () => new Promise(() => undefined)
const follower =
  (leader = ''): Played =>
  () =>
    after(2, notLeader(leader))
const leading: Played = () => after(LEADER_MS, settled)

let changes = 0
function change(): Command {
  changes += 1
  return {
    kind: 'submit',
    at: 0,
    requester: 'platform',
    source: '10.0.0.1',
    changeId: `c${changes}`,
    environment: environmentName('production'),
    baseRevision: revision(0),
    content: { validity: 'valid', text: '' },
  }
}

/** A node whose control nodes are `played`, the nearest one first. */
function startSearch(played: Record<string, Played>) {
  const sent: string[] = []
  const submit = (name: string, signal: AbortSignal | undefined, timeoutMs = Infinity) => {
    sent.push(name)
    const aborted = new Promise<never>((_, reject) => {
      signal?.addEventListener('abort', () => {
        reject(new Error('aborted'))
      })
      if (timeoutMs < Infinity) setTimeout(reject, timeoutMs, new Error('timed out')).unref()
    })
    return Promise.race([(played[name] ?? silent)() as Promise<SubmitResponse>, aborted])
  }
  const client = (_: unknown, address: string) => ({
    submit: (_request: unknown, options: { signal?: AbortSignal; timeoutMs?: number }) =>
      submit(address, options.signal, options.timeoutMs),
  })
  const submitter = new ChangeSubmitter({
    host: NON_LEADER_HOST,
    node: nodeId('entry'),
    clients: { client, checkSession: () => undefined } as unknown as RpcClients,
    addressOf: (node) => node,
    controlNodes: () => Object.keys(played) as NodeId[],
    checkDocument: () => {
      throw new Error('only a leader checks documents')
    },
    wallClock: () => 0,
    timeoutMs: 950,
  })
  const measure = async () => {
    const startedAt = performance.now()
    const { kind } = await submitter.submit(change())
    return { kind, isInTime: performance.now() - startedAt < OPERATOR_TIMEOUT_MS }
  }
  return { measure, sent, played }
}

const IN_TIME = { kind: 'change', isInTime: true }

// Guards against orders that are never acknowledged by the nodes whose nearest control node is cut off.
test.each([
  ['one control node is', { a: silent, b: follower('c'), c: leading }],
  ['two control nodes are', { a: silent, b: silent, c: follower('d'), d: leading }],
  ['a control node and the leader that a replica still names are', { a: silent, b: follower('a'), c: leading }],
])('a change is acknowledged in time while %s silent', async (_, played) => {
  const { measure } = startSearch(played)
  expect(await measure()).toEqual(IN_TIME)
})

// Guards against a silent control node that costs each order the same time again.
test('the next change goes to the leader that acknowledged one', async () => {
  const { measure, sent } = startSearch({ a: silent, b: follower('c'), c: leading })
  await measure()
  sent.length = 0
  expect(await measure()).toEqual(IN_TIME)
  expect(sent[0]).toBe('c')
})

// Guards against orders that wait for a leader that has been replaced.
test('a change is acknowledged in time when the known leader has become silent', async () => {
  const { measure, played } = startSearch({ a: follower('c'), b: follower('c'), c: leading })
  expect(await measure()).toEqual(IN_TIME)
  Object.assign(played, { a: follower('b'), b: leading, c: silent })
  expect(await measure()).toEqual(IN_TIME)
})

test('a change is acknowledged in time when an election ends meanwhile', async () => {
  const { measure, played } = startSearch({ a: follower(), b: follower(), c: follower() })
  const first = measure()
  await after(LEADER_MS, undefined)
  Object.assign(played, { a: follower('b'), b: leading, c: follower('b') })
  expect(await first).toEqual(IN_TIME)
})

test('a leader that takes its time gets a change once', async () => {
  const { measure, sent } = startSearch({ a: follower('b'), b: () => after(2 * LEADER_MS, settled), c: follower('b') })
  expect(await measure()).toEqual(IN_TIME)
  expect(sent.filter((name) => name === 'b')).toHaveLength(1)
  expect(sent.length).toBeLessThanOrEqual(4)
})

// Guards against replicas without a leader that are busy with the requests of all nodes, and so elect none.
test('while no control node leads, they are asked less and less often', async () => {
  const { measure, sent } = startSearch({ a: follower(), b: follower(), c: follower() })
  expect(await measure()).toEqual({ kind: 'failed', isInTime: true })
  expect(sent.length).toBeLessThanOrEqual(8)
})
