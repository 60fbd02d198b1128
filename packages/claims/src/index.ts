/** At-most-once claims on idempotency keys. */
export * from './claimant'
export * from './holder-table'
export * from './holders'
export * from './key'
export * from './message'
