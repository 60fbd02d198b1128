/** Node process: settings, wiring of roles, timers, listeners, metrics and shutdown. */
export * from './settings'
export * from './control'
export * from './control-delivery'
export * from './control-documents'
export * from './control-lease'
export * from './control-watch'
export * from './log'
export { startNode, type NodeOptions, type RunningNode } from './node'
