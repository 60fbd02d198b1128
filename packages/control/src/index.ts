/** Deterministic state machine of the control plane. Its commands come from the replicated log. */
export * from './apply'
export * from './audit'
export * from './change'
export * from './command'
export * from './digest'
export * from './roster'
export * from './snapshot'
export * from './state'
