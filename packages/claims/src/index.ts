/** Claims on idempotency keys, which let a request run at most once. */
export * from './claimant'
export * from './claim-table'
export * from './holders'
export * from './key'
export * from './message'
