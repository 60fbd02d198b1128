/** Server selection, load estimation, outlier ejection, queues, admission, retry budgets and the measuring budget. */
export * from './call'
export type { LoadQueryResult } from './load-query'
export * from './ledger'
export { callInterval, type LimitedServer, type LimitSharing } from './rate-limit'
export * from './retry-budget'
export * from './router'
export * from './tokens'
export * from './tuning'
