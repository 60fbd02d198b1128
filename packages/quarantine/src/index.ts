/** Quarantine of requests that crash the servers that run them. */
export * from './crash-report'
export * from './crash-reports'
export * from './request-quarantine'
