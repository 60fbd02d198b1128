/** Write-ahead log and snapshot files. */
export * from './file-system'
export * from './lock'
export * from './log'
export { setAsideLog } from './set-aside'
export type { LogRecord, StoredBallot, StoredEntry } from './record'
export type { StoredSnapshot } from './snapshot-file'
