/**
 * The project's replicated log as a pure state machine. A host creates a `Replica`, feeds it inputs and carries out its
 * outputs in order: persist, send, apply, restore, take snapshot, answers to proposals and reads, changes of role.
 */
export type * from './input'
export type * from './message'
export * from './options'
export type * from './output'
export { checkStored, Replica } from './replica'
export type { FollowerStatus, Status } from './status'
export type { ProgressState } from './progress'
export { planRepair, type RepairNode, type RepairOptions } from './self-repair'
