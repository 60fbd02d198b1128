/** The entry: an HTTP reverse proxy between callers and servers. */
export type { EndedCall } from './call'
export * from './claim-coordinator'
export * from './claim-rpc'
export type { Address } from './connection'
export * from './context'
export * from './entry'
export { DEFAULT_DIALECT, PROBE_PATH, parseLoad, type Dialect } from './dialect'
export * from './limits'
