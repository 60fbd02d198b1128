/** Builds the request that is sent for a call: to a server, or to another entry that chooses the server. */
import { attemptFields } from './ids-of-attempts'
import { organisationFields } from './authentication'
import type { CallDependencies } from './call-dependencies'
import type { CallOptions } from './call-options'
import type { ExchangeRequest } from './exchange'
import { CONTEXT_HEADER, forwardedFields, QUEUE_LIMIT_HEADER } from './head'
import { encodeRelayRequest } from './relay-protocol'
import type { RequestBody } from './request-body'

export interface RequestSource {
  readonly call: Pick<CallOptions, 'request' | 'head' | 'context' | 'organisation' | 'document' | 'route'>
  readonly body: RequestBody
  readonly dependencies: Pick<CallDependencies, 'attemptIds' | 'codec' | 'dialect' | 'keys' | 'relayPeers' | 'revision'>
}

export interface ServerRequestState {
  readonly attemptsLeft: number
  readonly remainingMs: number
  /** Id of the server process. */
  readonly instance: string | undefined
  readonly queueLimit: number | undefined
}

export function requestForServer(
  source: RequestSource,
  { attemptsLeft, remainingMs, instance, queueLimit }: ServerRequestState,
): Omit<ExchangeRequest, 'body'> {
  const { attemptIds, dialect, codec, keys } = source.dependencies
  const fields = [dialect.deadlineHeader, String(Math.max(1, Math.floor(remainingMs)))]
  if (dialect.propagatesContext) {
    fields.push(CONTEXT_HEADER, codec.sign({ ...source.call.context, attempts: attemptsLeft }))
    if (queueLimit !== undefined) fields.push(QUEUE_LIMIT_HEADER, String(queueLimit))
  }
  if (dialect.instanceHeader !== undefined) fields.push(dialect.instanceHeader, instance ?? '')
  fields.push(...organisationFields(keys.organisationToName(source.call), dialect))
  const request = requestWith(source, fields, source.call.document.requiresKeys)
  const attemptId = attemptIds.next()
  if (attemptId === undefined) return request
  return { ...request, attemptId, fields: [...request.fields, ...attemptFields(attemptId, dialect)] }
}

export function requestForEntry(
  source: RequestSource,
  { attempts, remainingMs }: { readonly attempts: number; readonly remainingMs: number },
): Omit<ExchangeRequest, 'body'> {
  const { codec, relayPeers, revision } = source.dependencies
  const minRevision = Math.max(revision(), relayPeers.revision)
  const context = { ...source.call.context, attempts }
  // The other entry checks the key again, with the document that is in force there.
  return requestWith(source, encodeRelayRequest({ context, leftMs: remainingMs, minRevision }, codec), false)
}

function requestWith(
  { call: { request, head }, body, dependencies }: RequestSource,
  added: string[],
  hidesCredentials: boolean,
): Omit<ExchangeRequest, 'body'> {
  // undici sets content-length itself for a buffered body.
  if (body.buffered === undefined && head.bodyLength !== undefined) {
    added.push('content-length', String(head.bodyLength))
  }
  const fields = forwardedFields(request, { added, dialect: dependencies.dialect, hidesCredentials })
  return { method: head.method, target: head.target, fields, attemptId: head.attemptId }
}
