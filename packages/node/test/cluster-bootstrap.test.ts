import {
  environmentName,
  failureDomain,
  nodeId,
  randomInt,
  replicaId,
  seededRandom,
  type ReplicaId,
} from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { expect, test } from 'vitest'
import { ClusterBootstrap } from '../src/cluster-bootstrap'

const TICK_MS = 100

interface Member {
  record: Node
  readonly startedAt: number
  readonly clusterBootstrap: ClusterBootstrap
  alive: boolean
  hasBootstrapped: boolean
}

/** Simulates nodes that observe each other's records with a delay, as with gossip. */
class BootstrapSimulation {
  readonly members: Member[] = []
  readonly #published = new Map<string, { at: number; record: Node }[]>()
  now = 0

  add(name: string, seeds: readonly string[], disk: boolean, startedAt: number, delayMs: number): void {
    const address = `${name}:1`
    const replica = disk ? replicaId(`${name}/disk`) : undefined
    const record: Node = {
      node: nodeId(name),
      roles: disk ? ['entry', 'control'] : ['entry'],
      address,
      failureDomain: failureDomain('fd'),
      region: 'r',
      environment: environmentName('production'),
      state: 'serving',
      disk: disk ? 'disk' : '',
      documents: [],
      ejected: [],
    }
    const member: Member = {
      record,
      startedAt,
      alive: true,
      hasBootstrapped: false,
      clusterBootstrap: new ClusterBootstrap({
        self: nodeId(name),
        address,
        seeds,
        replica: () => replica,
        nodes: () => this.#view(name, delayMs),
        publishVote: (founder: ReplicaId) => {
          this.#publish(name, { ...member.record, founder })
          member.record = { ...member.record, founder }
        },
        bootstrapCluster: () => {
          member.hasBootstrapped = true
        },
      }),
    }
    this.members.push(member)
    this.#published.set(name, [{ at: startedAt, record }])
  }

  run(until: number): void {
    for (; this.now <= until; this.now += TICK_MS) {
      for (const { alive, startedAt, clusterBootstrap } of this.members) {
        if (alive && this.now >= startedAt) clusterBootstrap.tick(this.now - startedAt)
      }
    }
  }

  #publish(name: string, record: Node): void {
    this.#published.get(name)?.push({ at: this.now, record })
  }

  #view(self: string, delayMs: number): Node[] {
    return [...this.#published].flatMap(([name, states]) => {
      const delay = name === self ? 0 : delayMs
      const known = states.filter(({ at }) => at + delay <= this.now).at(-1)
      return known === undefined ? [] : [known.record]
    })
  }
}

const bootstrapCount = (simulation: BootstrapSimulation) =>
  simulation.members.filter(({ hasBootstrapped }) => hasBootstrapped).length

test('exactly one replica bootstraps the cluster, even if the seeds have no replica', () => {
  const seeds = ['n5:1', 'n6:1', 'n7:1']
  const simulation = new BootstrapSimulation()
  for (let index = 0; index < 9; index += 1) simulation.add(`n${index}`, seeds, index < 4, index * 30, 250)
  simulation.run(5_000)
  expect(bootstrapCount(simulation)).toBe(1)
})

test('at most one replica bootstraps a cluster, whichever nodes crash in the first seconds', () => {
  for (let seed = 0; seed < 300; seed += 1) {
    const random = seededRandom(seed)
    const count = 3 + randomInt(random, 9)
    const all = Array.from({ length: count }, (_, index) => `n${index}:1`)
    const seeds = all.toSorted(() => randomInt(random, 3) - 1).slice(0, 3)
    const simulation = new BootstrapSimulation()
    for (let index = 0; index < count; index += 1) {
      const hasDisk = index === 0 || randomInt(random, 2) === 0
      simulation.add(`n${index}`, seeds, hasDisk, randomInt(random, 300), randomInt(random, 2_500))
    }
    for (let moment = 0; moment < 4_000; moment += 200) {
      simulation.run(moment)
      const victim = simulation.members[randomInt(random, count)]
      if (victim !== undefined && randomInt(random, 8) === 0) victim.alive = false
    }
    simulation.run(8_000)
    expect(bootstrapCount(simulation), `seed ${seed}`).toBeLessThanOrEqual(1)
  }
})

test('the loss of one seed before its vote does not prevent the bootstrap', () => {
  const seeds = ['n2:1', 'n3:1', 'n4:1']
  const simulation = new BootstrapSimulation()
  for (let index = 0; index < 5; index += 1) simulation.add(`n${index}`, seeds, true, 0, 250)
  simulation.members[2]!.alive = false
  simulation.run(5_000)
  expect(bootstrapCount(simulation)).toBe(1)
})

// Guards against a fleet whose first start never ends: seeds that had not seen each other voted for themselves.
test.each([
  ['with replicas', ['n0:1', 'n1:1', 'n2:1']],
  ['without replicas', ['n5:1', 'n6:1', 'n7:1']],
])('seeds %s that learn of each other late bootstrap one cluster', (_, seeds) => {
  for (const delayMs of [1_500, 3_000, 6_000, 12_000]) {
    const simulation = new BootstrapSimulation()
    for (let index = 0; index < 9; index += 1) simulation.add(`n${index}`, seeds, index < 4, index * 30, delayMs)
    simulation.run(40_000)
    expect(bootstrapCount(simulation), `delay ${delayMs} ms`).toBe(1)
  }
})

test('seeds with replicas that learn of other nodes at different times bootstrap one cluster', () => {
  const seeds = ['n3:1', 'n1:1', 'n2:1']
  for (let seed = 0; seed < 300; seed += 1) {
    const random = seededRandom(seed)
    const simulation = new BootstrapSimulation()
    for (let index = 0; index < 6; index += 1) {
      simulation.add(`n${index}`, seeds, index < 5, randomInt(random, 300), randomInt(random, 10_000))
    }
    simulation.run(40_000)
    expect(bootstrapCount(simulation), `seed ${seed}`).toBe(1)
  }
})

test('the loss of one seed before its vote does not prevent the bootstrap by seeds that learn of each other late', () => {
  const simulation = new BootstrapSimulation()
  for (let index = 0; index < 5; index += 1) simulation.add(`n${index}`, ['n2:1', 'n3:1', 'n4:1'], true, 0, 4_000)
  simulation.members[2]!.alive = false
  simulation.run(30_000)
  expect(bootstrapCount(simulation)).toBe(1)
})
