/** Branded identifiers. A brand distinguishes ids of different kinds at compile time, without cost at run time. */
declare const brand: unique symbol

export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name }

export type NodeId = Branded<string, 'NodeId'>
export type ServerId = Branded<string, 'ServerId'>
export type ServiceName = Branded<string, 'ServiceName'>
/** An organisation that shares the system with others. */
export type OrganisationName = Branded<string, 'OrganisationName'>
export type Environment = Branded<string, 'Environment'>
export type FailureDomain = Branded<string, 'FailureDomain'>
export type ChangeId = Branded<string, 'ChangeId'>
/** Node name and disk id: a replica whose disk was replaced or emptied is a new replica. */
export type ReplicaId = Branded<string, 'ReplicaId'>
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>
/** Identifies requests that are the same to a server: equal method, host, path, query, caller and body. */
export type RequestId = Branded<string, 'RequestId'>
export type AttemptId = Branded<string, 'AttemptId'>
/** SHA-256 in lower-case hexadecimal. */
export type Digest = Branded<string, 'Digest'>
export type Revision = Branded<number, 'Revision'>
export type Term = Branded<number, 'Term'>
export type LogIndex = Branded<number, 'LogIndex'>

export const nodeId = (value: string): NodeId => value as NodeId
export const serverId = (value: string): ServerId => value as ServerId
export const serviceName = (value: string): ServiceName => value as ServiceName
export const organisationName = (value: string): OrganisationName => value as OrganisationName
export const environmentName = (value: string): Environment => value as Environment
export const failureDomain = (value: string): FailureDomain => value as FailureDomain
export const changeId = (value: string): ChangeId => value as ChangeId
export const replicaId = (value: string): ReplicaId => value as ReplicaId
export const idempotencyKey = (value: string): IdempotencyKey => value as IdempotencyKey
export const requestId = (value: string): RequestId => value as RequestId
export const attemptId = (value: string): AttemptId => value as AttemptId
export const toDigest = (value: string): Digest => value as Digest
export const revision = (value: number): Revision => value as Revision
export const term = (value: number): Term => value as Term
export const logIndex = (value: number): LogIndex => value as LogIndex
