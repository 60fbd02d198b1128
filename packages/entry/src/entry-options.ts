/** Options and events of an entry, and the servers that it is told about. */
import type { CodeName, NodeId, RandomSource, ServerId } from '@bilberrystall/base'
import type { Document } from '@bilberrystall/document'
import type { HedgingPolicies, Router, Server, ServerChange } from '@bilberrystall/routing'
import type { Repeat } from './attempt-budget'
import type { CallAdmission } from './call-admission'
import type { EndedCall } from './call-options'
import type { LostCall } from './call-dependencies'
import type { ClaimCoordinator } from './claim-coordinator'
import type { Address } from './connection'
import type { Dialect } from './dialect'
import type { Clock, Limits } from './limits'
import type { RelayPeer } from './relay-peers'
import type { RequestGate } from './request-gate'
import type { RefusedResponse } from './response-refusal'
import type { ServerCheck } from './server-check'

/** An announced server with its address and connection limit. */
export interface EntryServer extends Server {
  readonly address: Address
  /** Maximum number of connections that the server accepts from all entries together. */
  readonly connectionLimit: number
  /** Id of the server process, sent in the instance header of requests. */
  readonly instance: string
  /** Start of the server process in Unix ms. */
  readonly start: number
}

export interface EntryEvents {
  /** A call ended; `call` is present unless the result is `complete` or the call was rejected before routing. */
  readonly callEnded?: (result: CodeName | 'complete', latencyMs: number, call?: EndedCall) => void
  /** The use of a server changed. */
  readonly serverChanged?: (change: ServerChange) => void
  /** A call was passed on to another entry. */
  readonly callRelayed?: () => void
  /** A request is sent once more, or would be if the retry budget allowed it. */
  readonly callRepeated?: (repeat: Repeat) => void
  /** This entry lost its way to all servers, or reaches one again. */
  readonly reachabilityChanged?: (isCutOff: boolean) => void
  /** A connection broke while a call was in progress; `start` is that of the server process, `check` its state now. */
  readonly callLost?: (lost: LostCall, start: number, check: ServerCheck) => void
  /** The end of this entry cuts off connections of callers, with the number of responses that were in progress. */
  readonly connectionsCut?: (cut: { readonly connections: number; readonly responses: number }) => void
  /** Connections to a server were retired because they made no progress. */
  readonly silentRetired?: (server: ServerId, count: number) => void
  /** A response of a server, or bytes that belong to no request, were not accepted. */
  readonly responseRefused?: (server: ServerId, refused: RefusedResponse) => void
  /**
   * Connections to a server are used once, because bytes arrived that belong to no request, or for several requests again.
   */
  readonly reuseChanged?: (server: ServerId, isAllowed: boolean) => void
}

export interface EntryOptions {
  readonly host: string
  readonly port: number
  readonly node: NodeId
  readonly nodeKey: string
  readonly router: Router
  /** Limits on hedged attempts; absent: no service has one. */
  readonly hedging?: HedgingPolicies
  readonly random: RandomSource
  readonly dialect?: Dialect
  /** Returns the document in force, or undefined until control has confirmed one. */
  readonly document: () => Document | undefined
  /** Returns the number of live entries, including this one. */
  readonly liveEntries: () => number
  readonly claims?: ClaimCoordinator
  /** Returns the number of the document in force, which grows with each change. */
  readonly revision?: () => number
  /** Listen address for calls of other entries; absent: none are accepted. */
  readonly relayListen?: Address
  /** Returns the entries that accept calls of this one while it reaches no server. */
  readonly relayPeers?: () => readonly RelayPeer[]
  /** Withholds requests from servers that they would crash. */
  readonly gate?: RequestGate
  /** Admits calls of organisations; absent: all are admitted. */
  readonly admission?: CallAdmission
  readonly events?: EntryEvents
  readonly limits?: Partial<Limits>
  readonly clock?: Clock
}
