/** Membership of servers and nodes: leases, gossip and the directory that routing uses. */
export * from './announcement-node'
export * from './directory'
export * from './gossip-partners'
export * from './lease'
export { ageDeltas, ageVersions } from './origin'
export type { Versioned, OriginDelta, OriginVersion } from './origin'
export type { DirectorySummary } from './origin-index'
export * from './record'
