/** Checks the bootstrap of a cluster by the host, and the short first election after a restart of all replicas. */
import { logIndex, nodeId, replicaId, seededRandom, term } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { Replica, type Input, type Limits, type Output } from '../src/index'
import { B, Driver, info, noOp, storedOf } from './support/driver'

const THREE = [info('a'), info('b'), info('c')]
const FAST_START: Partial<Limits> = { startupVoteDelay: 0, firstElection: 250 }

test('an empty replica that bootstraps a cluster becomes its only voter and leader', () => {
  const driver = new Driver()
  driver.run({ kind: 'bootstrap' })
  driver.tick(50)
  driver.sync()
  expect(driver.replica.status()).toMatchObject({ role: 'leader', replicas: [{ role: 'voter' }] })
})

test('a replica with stored state does not bootstrap a second cluster', () => {
  const driver = new Driver({ stored: storedOf(THREE, noOp(2, 1)) })
  const before = driver.replica.status()
  driver.run({ kind: 'bootstrap' })
  expect(driver.replica.status()).toMatchObject({ replicas: before.replicas, lastIndex: before.lastIndex })
})

test('the applied state of a follower counts as current only while it includes all that the leader committed', () => {
  const driver = new Driver({ stored: storedOf(THREE, noOp(2, 1)) })
  expect(driver.replica.status().currentAt).toBe(Number.NEGATIVE_INFINITY)
  const append = (commit: number): Input => ({
    kind: 'message',
    message: {
      kind: 'append',
      from: B,
      to: driver.replica.status().replica,
      term: term(2),
      round: 1,
      sentAt: 0,
      previousIndex: logIndex(2),
      previousTerm: term(1),
      entries: [],
      commit: logIndex(commit),
    },
  })
  driver.run(append(2))
  expect(driver.replica.status().currentAt).toBeGreaterThan(Number.NEGATIVE_INFINITY)
  driver.run(append(5))
  expect(driver.replica.status().currentAt).toBe(Number.NEGATIVE_INFINITY)
})

test('after a restart of all replicas a leader is elected within a fraction of the election timeout', () => {
  const stored = storedOf(THREE, noOp(2, 1))
  const replicas = THREE.map(({ replica }, index) => {
    const options = { replica: replicaId(replica), node: nodeId(replica), random: seededRandom(index), now: 0, stored }
    return new Replica({ ...options, limits: FAST_START })
  })
  let pending: Sent[] = []
  let leader: Replica | undefined
  for (let now = 0; now < 600 && leader === undefined; now += 10) {
    const inputs = [...pending, ...replicas.map((to): Sent => ({ to, input: { kind: 'tick' } }))]
    pending = inputs.flatMap(({ to, input }) => step(replicas, to, input, now))
    leader = replicas.find((replica) => replica.status().role === 'leader')
  }
  expect(leader).toBeDefined()
})

interface Sent {
  readonly to: Replica
  readonly input: Input
}

/** Persists records immediately. Messages are delivered in the next round. */
function step(replicas: readonly Replica[], to: Replica, input: Input, now: number): Sent[] {
  return to.step(input, now).flatMap((output: Output): Sent[] => {
    if (output.kind === 'persist') return step(replicas, to, { kind: 'persisted', persist: output.persist }, now)
    if (output.kind !== 'send') return []
    const { message } = output
    const receiver = replicas.find((replica) => replica.status().replica === message.to)
    return receiver === undefined ? [] : [{ to: receiver, input: { kind: 'message', message } }]
  })
}
