/** HTTP entry: the call path between callers and servers. */
export * from './claim-gate'
export * from './claim-rpc'
export type { Address } from './connection'
export * from './context'
export * from './entry'
export { parseLoad } from './head'
export * from './limits'
export { PROBE_PATH } from './probe'
