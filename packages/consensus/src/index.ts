/** The project's replicated log as a pure state machine. */
export type * from './input'
export type * from './message'
export type * from './output'
export * from './options'
