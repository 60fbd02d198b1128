/** Builds the request that is sent for a call: to a server, or to another entry that chooses the server. */
import type { IncomingMessage } from 'node:http'
import type { CallDependencies } from './call-dependencies'
import type { CallContext } from './context'
import type { ExchangeRequest } from './exchange'
import { CONTEXT_HEADER, forwardedFields, QUEUE_LIMIT_HEADER, type RequestHead } from './head'
import { encodeRelayRequest } from './relay-protocol'
import type { RequestBody } from './request-body'

export interface RequestSource {
  readonly request: IncomingMessage
  readonly head: RequestHead
  readonly context: CallContext
  readonly body: RequestBody
  readonly dependencies: Pick<CallDependencies, 'codec' | 'dialect' | 'relayPeers' | 'revision'>
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
  const { dialect, codec } = source.dependencies
  const fields = [dialect.deadlineHeader, String(Math.max(1, Math.floor(remainingMs)))]
  if (dialect.propagatesContext) {
    fields.push(CONTEXT_HEADER, codec.sign({ ...source.context, attempts: attemptsLeft }))
    if (queueLimit !== undefined) fields.push(QUEUE_LIMIT_HEADER, String(queueLimit))
  }
  if (dialect.instanceHeader !== undefined) fields.push(dialect.instanceHeader, instance ?? '')
  return requestWith(source, fields)
}

export function requestForEntry(
  source: RequestSource,
  { attempts, remainingMs }: { readonly attempts: number; readonly remainingMs: number },
): Omit<ExchangeRequest, 'body'> {
  const { codec, relayPeers, revision } = source.dependencies
  const minRevision = Math.max(revision(), relayPeers.revision)
  const context = { ...source.context, attempts }
  return requestWith(source, encodeRelayRequest({ context, leftMs: remainingMs, minRevision }, codec))
}

function requestWith(
  { request, head, body, dependencies }: RequestSource,
  added: string[],
): Omit<ExchangeRequest, 'body'> {
  // undici sets content-length itself for a buffered body.
  if (body.buffered === undefined && head.bodyLength !== undefined) {
    added.push('content-length', String(head.bodyLength))
  }
  const fields = forwardedFields(request, added, dependencies.dialect)
  return { method: head.method, target: head.target, fields, attemptId: head.attemptId }
}
