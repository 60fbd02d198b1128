/**
 * Replicated log (Raft with pre-votes, leader leases, learners and single-step membership changes) as a deterministic
 * state machine without I/O. The host, which is the code that embeds a `Replica`, passes inputs to it and executes its
 * outputs in order: persisting records, sending messages, applying entries, restoring and taking snapshots, and
 * reporting results of proposals and reads and changes of role.
 *
 * The guarantees hold only if the host follows these rules:
 * - It reports `persisted` only for synced records, in the order of the outputs. A failed sync ends the process.
 * - An empty disk gets a new `ReplicaId`. An id is never used with a disk that lost synced data, nor with a copy of a
 *   disk.
 * - It passes one input at a time and executes the outputs before the next input. The clock is monotonic and runs at
 *   nearly the same rate as the clocks of the other replicas. `tick` is passed at least every 50 ms.
 * - It delivers messages only to the id in `to`. Messages may be lost, duplicated, delayed and reordered.
 * - A snapshot for `take-snapshot` covers exactly the entries applied before that output.
 * - A proposal whose entry was not applied at its index and term has an unknown result until another entry is applied
 *   at that index.
 */
export type * from './input'
export type * from './message'
export * from './options'
export type * from './output'
export { checkStored, Replica } from './replica'
export type { FollowerStatus, Status } from './status'
export type { ProgressState } from './progress'
export { planRepair, type RepairNode, type RepairOptions } from './self-repair'
