/** Protocol between the system's own processes: generated services, server and client with the node key. */
export * from './client'
export * from './gen/bilberrystall/v1/claims_pb'
export * from './gen/bilberrystall/v1/gossip_pb'
export * from './gen/bilberrystall/v1/storage_pb'
export * from './node-key'
export * from './server'
export * from './traffic'
