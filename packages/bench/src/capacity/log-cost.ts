/** Traffic of the replicated log: messages and bytes per second when idle, and bytes per change. */
import { ReplicaGroup } from './replica-group'
import type { Measurement } from './slope'

const REPLICA_COUNTS = [1, 3, 5, 7]
const IDLE_SECONDS = 30
/** Time before the measurement, since the encoded size of rounds and indexes grows with their values. */
const WARM_UP_SECONDS = 60
const CHANGES = 100
const CHANGE_INTERVAL_MS = 1_000

function runIdle(replicas: number): ReplicaGroup {
  const group = new ReplicaGroup(replicas)
  group.advanceTime(WARM_UP_SECONDS * 1_000)
  group.resetCounters()
  group.advanceTime(IDLE_SECONDS * 1_000)
  return group
}

/** Bytes that one change adds to the heartbeats between three replicas. */
function bytesPerChange(commandBytes: number): number {
  const group = new ReplicaGroup(3)
  group.advanceTime(WARM_UP_SECONDS * 1_000)
  group.resetCounters()
  group.advanceTime(CHANGES * CHANGE_INTERVAL_MS)
  const idleBytes = group.bytes
  group.resetCounters()
  const commitBefore = group.commit
  for (let proposal = 0; proposal < CHANGES; proposal += 1) {
    group.propose(proposal, new Uint8Array(commandBytes))
    group.advanceTime(CHANGE_INTERVAL_MS)
  }
  if (group.commit - commitBefore !== CHANGES)
    throw new Error(`${group.commit - commitBefore} of ${CHANGES} changes committed`)
  return (group.bytes - idleBytes) / CHANGES
}

export const logMeasurements: readonly Measurement[] = [
  {
    name: 'replicated log idle, bytes of all replicas',
    per: 'replicas',
    unit: 'bytes/s',
    sizes: REPLICA_COUNTS,
    measure: (size) => runIdle(size).bytes / IDLE_SECONDS,
  },
  {
    name: 'replicated log idle, messages of all replicas',
    per: 'replicas',
    unit: 'messages/s',
    sizes: REPLICA_COUNTS,
    measure: (size) => runIdle(size).messages / IDLE_SECONDS,
  },
  {
    name: 'replicated log, one change through three replicas',
    per: 'bytes of change',
    unit: 'bytes',
    sizes: [100, 1_000, 4_000, 16_000],
    measure: bytesPerChange,
  },
]
