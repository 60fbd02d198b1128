/** Traffic of the replicated log: messages and bytes per second when idle, and bytes per change. */
import { ReplicaGroup } from './replica-group'
import type { Measurement } from './slope'

const REPLICA_SIZES = [1, 3, 5, 7]
const IDLE_SECONDS = 30
/** Rounds and indexes grow to this point first, since their encoded size grows with them. */
const SETTLING_SECONDS = 60
const CHANGES = 100
const CHANGE_INTERVAL_MS = 1_000

function idle(replicas: number): ReplicaGroup {
  const group = new ReplicaGroup(replicas)
  group.pass(SETTLING_SECONDS * 1_000)
  group.resetCounters()
  group.pass(IDLE_SECONDS * 1_000)
  return group
}

/** Bytes between three replicas that one change adds to the heartbeats of the same time. */
function bytesPerChange(commandBytes: number): number {
  const group = new ReplicaGroup(3)
  group.pass(SETTLING_SECONDS * 1_000)
  group.resetCounters()
  group.pass(CHANGES * CHANGE_INTERVAL_MS)
  const idleBytes = group.bytes
  group.resetCounters()
  const before = group.commit
  for (let proposal = 0; proposal < CHANGES; proposal += 1) {
    group.propose(proposal, new Uint8Array(commandBytes))
    group.pass(CHANGE_INTERVAL_MS)
  }
  if (group.commit - before !== CHANGES) throw new Error(`${group.commit - before} of ${CHANGES} changes committed`)
  return (group.bytes - idleBytes) / CHANGES
}

export const logMeasurements: readonly Measurement[] = [
  {
    name: 'replicated log idle, bytes of all replicas',
    per: 'replicas',
    unit: 'bytes/s',
    sizes: REPLICA_SIZES,
    measure: (size) => idle(size).bytes / IDLE_SECONDS,
  },
  {
    name: 'replicated log idle, messages of all replicas',
    per: 'replicas',
    unit: 'messages/s',
    sizes: REPLICA_SIZES,
    measure: (size) => idle(size).messages / IDLE_SECONDS,
  },
  {
    name: 'replicated log, one change through three replicas',
    per: 'bytes of change',
    unit: 'bytes',
    sizes: [100, 1_000, 4_000, 16_000],
    measure: bytesPerChange,
  },
]
