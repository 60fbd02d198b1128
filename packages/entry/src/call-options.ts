/** Options of a call, and the data of an ended one. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AttemptId, RequestId, ServerId } from '@bilberrystall/base'
import type { Document, Organisation, Route } from '@bilberrystall/document'
import type { Precedence } from './call-priorities'
import type { CallerConnection } from './caller-connection'
import type { CallDependencies } from './call-dependencies'
import type { CallContext } from './context'
import type { RequestHead } from './head'

export interface CallOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly connection: CallerConnection
  /** Number of requests in progress before this one on its connection. */
  readonly behind: number
  readonly head: RequestHead
  readonly document: Document
  readonly route: Route
  /** Organisation of the caller; undefined on public routes, and if the document requires no keys. */
  readonly organisation: Organisation | undefined
  /** Context of this call, including its own hop. */
  readonly context: CallContext
  /** Place of the call among the others of its service. */
  readonly precedence: Precedence
  /** Whether another entry passed the call on, which has claimed its idempotency key. */
  readonly isRelayed: boolean
}

/** Data of an ended call for the log. */
export interface EndedCall {
  readonly route: string
  readonly service: string
  /** Attempt id sent by the caller. */
  readonly attempt: AttemptId | undefined
  readonly request: RequestId
  /** Servers to which the call was sent, in order. */
  readonly servers: readonly ServerId[]
  /** Number of requests that were in progress before this one on its connection when it was accepted. */
  readonly behind: number
  /** Ms from the start of a planned stop to the acceptance of the call, negative if it was accepted before. */
  readonly acceptedInStopMs?: number
}

/** Describes an ended call; `acceptedAt` in monotonic ms. */
export function describeCall(
  { route, head, behind }: CallOptions,
  { stopStartedAt }: Pick<CallDependencies, 'stopStartedAt'>,
  { acceptedAt, request, servers }: Pick<EndedCall, 'request' | 'servers'> & { readonly acceptedAt: number },
): EndedCall {
  const stopAt = stopStartedAt()
  return {
    route: route.name,
    service: route.service,
    attempt: head.attemptId,
    request,
    servers,
    behind,
    ...(stopAt === undefined ? {} : { acceptedInStopMs: Math.round(acceptedAt - stopAt) }),
  }
}
