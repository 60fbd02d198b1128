/** Checks the failover time: a new leader commits within 3 s of the crash of the old one, with 2% message loss. */
import { describe, expect, it } from 'vitest'
import { Cluster, RELIABLE_NETWORK } from './support/cluster'

const NEW_LEADER_MS = 3_000

/** Simulated time from the crash of the leader to the first commit of the next leader, in milliseconds. */
function failoverMs(seed: number, voters: number): number {
  const cluster = new Cluster({ seed, voters, syncMs: 20 })
  cluster.runUntil(5_000, () => cluster.leader() !== undefined)
  cluster.runUntil(cluster.now + 700 + (seed % 300))
  const leader = cluster.leader()
  if (leader === undefined) return Number.POSITIVE_INFINITY
  cluster.network = { ...RELIABLE_NETWORK, loss: 0.02 }
  const crashedAt = cluster.now
  const before = cluster.checker.maxCommit
  cluster.crash(leader)
  cluster.runUntil(crashedAt + 20_000, () => cluster.checker.maxCommit > before)
  return cluster.now - crashedAt
}

describe('a new leader commits within 3 s of the loss of the old one', () => {
  it.each([3, 5])('with %i voters', (voters) => {
    for (let seed = 1; seed <= 200; seed += 1) {
      expect(failoverMs(seed, voters), `seed ${seed}`).toBeLessThanOrEqual(NEW_LEADER_MS)
    }
  })
})
