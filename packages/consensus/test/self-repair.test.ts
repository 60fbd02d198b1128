/** Checks the repair planning: one change at a time, never without a live majority, spread over failure domains. */
import { failureDomain, logIndex, nodeId, replicaId, term, type ReplicaId } from '@bilberrystall/base'
import { describe, expect, it } from 'vitest'
import { planRepair, type RepairNode, type ReplicaRole, type Status } from '../src/index'

const NOW = 1_000_000

interface MemberSpec {
  readonly name: string
  readonly role?: ReplicaRole
  /** Time since the last contact in milliseconds. */
  readonly sinceContactMs?: number
  readonly caughtUp?: boolean
}

/** Status of leader `a` whose other members are as specified. */
function leaderStatus(members: readonly MemberSpec[]): Status {
  const replicas = members.map(({ name, role = 'voter' }) => ({ replica: idOf(name), node: nodeId(name), role }))
  const followers = members
    .filter((member) => member.name !== 'a')
    .map(({ name, role = 'voter', sinceContactMs = 0, caughtUp = true }) => {
      const base = { replica: idOf(name), node: nodeId(name), role, state: 'replicate' as const }
      return { ...base, match: logIndex(9), lastContact: NOW - sinceContactMs, caughtUp }
    })
  return {
    replica: idOf('a'),
    node: nodeId('a'),
    role: 'leader',
    term: term(3),
    leader: idOf('a'),
    commit: logIndex(9),
    applied: logIndex(9),
    lastIndex: logIndex(9),
    snapshotIndex: undefined,
    logEntries: 9,
    logBytes: 900,
    replicas,
    replicasCommitted: true,
    lease: true,
    currentAt: 0,
    followers,
  }
}

function idOf(name: string): ReplicaId {
  return replicaId(`${name}/1`)
}

function spare(node: string, domain: string, disk = '1'): RepairNode {
  return { node: nodeId(node), replica: replicaId(`${node}/${disk}`), failureDomain: failureDomain(domain) }
}

function plan(members: readonly MemberSpec[], nodes: readonly RepairNode[], target: 3 | 5 = 3): string {
  const step = planRepair({ status: leaderStatus(members), nodes, now: NOW, target })
  return step.some ? `${step.val.kind} ${step.val.replica}` : 'none'
}

const ABC = [{ name: 'a' }, { name: 'b' }, { name: 'c' }]
const ABC_NODES = [spare('a', 'x'), spare('b', 'y'), spare('c', 'z')]

describe('planRepair', () => {
  // Guards against a cluster that waits for one busy node to start while others could vote (issue 73).
  it('adds another learner beside one that does not answer, and none beside one that catches up', () => {
    const nodes = ['a', 'b', 'c', 'd', 'e', 'f'].map((node) => spare(node, node))
    const starting = { name: 'b', role: 'learner' as const, caughtUp: false }
    expect(plan([{ name: 'a' }, { ...starting, sinceContactMs: 1_000 }], nodes, 5)).toBe('none')
    expect(plan([{ name: 'a' }, { ...starting, sinceContactMs: 1_001 }], nodes, 5)).toBe('add-learner c/1')
    const silent = { ...starting, sinceContactMs: 1_001 }
    const complete = ['c', 'd', 'e', 'f'].map((name) => ({ name }))
    expect(plan([{ name: 'a' }, silent, ...complete], nodes, 5)).toBe('none')
  })

  it('replaces a replica lost for 60 s in the order add, promote, remove', () => {
    const nodes = [spare('a', 'x'), spare('b', 'y'), spare('d', 'z')]
    const lost = { name: 'c', sinceContactMs: 60_000 }
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'c', sinceContactMs: 59_999 }], nodes)).toBe('none')
    expect(plan([{ name: 'a' }, { name: 'b' }, lost], nodes)).toBe('add-learner d/1')
    const learner = { name: 'd', role: 'learner' as const }
    expect(plan([{ name: 'a' }, { name: 'b' }, lost, { ...learner, caughtUp: false }], nodes)).toBe('none')
    expect(plan([{ name: 'a' }, { name: 'b' }, lost, learner], nodes)).toBe('promote d/1')
    expect(plan([{ name: 'a' }, { name: 'b' }, lost, { name: 'd' }], nodes)).toBe('remove c/1')
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'd' }], nodes)).toBe('none')
  })

  it('adds a node that returned with a new disk as a new replica', () => {
    const nodes = [spare('a', 'x'), spare('b', 'y'), spare('c', 'z', '2')]
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'c', sinceContactMs: 60_000 }], nodes)).toBe('add-learner c/2')
  })

  it('replaces a replica at once if its node has returned with a new disk and the old one is silent', () => {
    const nodes = [spare('a', 'x'), spare('b', 'y'), spare('c', 'z', '2')]
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'c', sinceContactMs: 299 }], nodes)).toBe('none')
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'c', sinceContactMs: 300 }], nodes)).toBe('add-learner c/2')
  })

  it('counts a replica whose node has a new disk in no majority', () => {
    const nodes = [spare('a', 'x'), spare('b', 'y', '2'), spare('c', 'z')]
    const replaced = { name: 'b', sinceContactMs: 500 }
    expect(plan([{ name: 'a' }, replaced, { name: 'c', sinceContactMs: 1_500 }], nodes)).toBe('none')
  })

  it('does nothing without a live majority, at a follower, or while a change is in progress', () => {
    const nodes = [...ABC_NODES, spare('d', 'w')]
    const unreachable = [{ name: 'a' }, { name: 'b', sinceContactMs: 70_000 }, { name: 'c', sinceContactMs: 70_000 }]
    expect(plan(unreachable, nodes)).toBe('none')
    const status = leaderStatus([{ name: 'a' }])
    expect(planRepair({ status: { ...status, role: 'follower' }, nodes, now: NOW }).none).toBe(true)
    expect(planRepair({ status: { ...status, replicasCommitted: false }, nodes, now: NOW }).none).toBe(true)
  })

  it('never removes a voter when no live majority would remain', () => {
    const four = [...ABC.slice(0, 2), { name: 'c', sinceContactMs: 2_000 }, { name: 'd', sinceContactMs: 60_000 }]
    expect(plan(four, ABC_NODES)).toBe('none')
    expect(plan([{ name: 'a' }, { name: 'b' }, { name: 'c', sinceContactMs: 60_000 }], [spare('a', 'x')])).toBe('none')
  })

  it('does not promote while an unreachable voter may still return', () => {
    const members = [
      { name: 'a' },
      { name: 'b' },
      { name: 'c', sinceContactMs: 5_000 },
      { name: 'd', role: 'learner' as const },
    ]
    expect(plan(members, [...ABC_NODES, spare('d', 'w')])).toBe('none')
  })

  it('removes a lost learner before any other change', () => {
    const members = [...ABC, { name: 'd', role: 'learner' as const, sinceContactMs: 60_000 }]
    expect(plan(members, ABC_NODES)).toBe('remove d/1')
  })

  it('adds voters up to the target if an odd number is reachable, in unused failure domains first', () => {
    expect(plan([{ name: 'a' }], [spare('a', 'x'), spare('b', 'x'), spare('c', 'y'), spare('d', 'z')])).toBe(
      'add-learner c/1',
    )
    expect(plan([{ name: 'a' }], [spare('a', 'x'), spare('b', 'y')])).toBe('none')
    expect(plan(ABC, [...ABC_NODES, spare('d', 'w')], 5)).toBe('none')
    expect(plan(ABC, [...ABC_NODES, spare('d', 'x'), spare('e', 'v')], 5)).toBe('add-learner e/1')
  })

  it('moves a voter out of a shared failure domain and then stops', () => {
    const nodes = [spare('a', 'x'), spare('b', 'x'), spare('c', 'y'), spare('d', 'z')]
    expect(plan(ABC, nodes)).toBe('add-learner d/1')
    expect(plan([...ABC, { name: 'd' }], nodes)).toBe('remove b/1')
    expect(plan([{ name: 'a' }, { name: 'c' }, { name: 'd' }], nodes)).toBe('none')
  })

  it('removes voters above a smaller target one at a time and keeps the leader', () => {
    const five = [...ABC, { name: 'd' }, { name: 'e' }]
    const nodes = [spare('a', 'x'), spare('b', 'x'), spare('c', 'y'), spare('d', 'z'), spare('e', 'w')]
    expect(plan(five, nodes)).toBe('remove b/1')
  })
})
