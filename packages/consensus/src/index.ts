/**
 * The project's replicated log as a pure state machine. A host creates a `Replica`, feeds it inputs and carries out its
 * outputs in order: persist, send, apply, restore, take snapshot, answers to proposals and reads, changes of role.
 *
 * The host must keep these rules, on which the guarantees rest:
 * - `persisted` is reported only for what is synced, in the order of the outputs; a failed sync ends the process.
 * - An empty disk gets a new `ReplicaId`; an id is never used with a disk that lost synced data, nor with a copy of one.
 * - Inputs come one at a time and outputs are carried out before the next input. The clock is monotonic and runs at
 *   nearly the rate of the others; `tick` comes at least every 50 ms.
 * - Messages may be lost, repeated, delayed and reordered, and are delivered to the id in `to` only.
 * - `take-snapshot` covers exactly the entries applied before it.
 * - A proposal without an `apply` at its index and term has an unknown result until another entry is applied there.
 */
export type * from './input'
export type * from './message'
export * from './options'
export type * from './output'
export { checkStored, Replica } from './replica'
export type { FollowerStatus, Status } from './status'
export type { ProgressState } from './progress'
export { planRepair, type RepairNode, type RepairOptions } from './self-repair'
