/** Dependencies of a call that the entry provides. */
import type { AttemptId, CodeName, RequestId, ServerId } from '@bilberrystall/base'
import type { Repeat } from './attempt-budget'
import type { AttemptIds } from './ids-of-attempts'
import type { Call } from './call'
import type { CallOptions } from './call-options'
import type { ClaimCoordinator } from './claim-coordinator'
import type { ContextCodec } from './context'
import type { Dialect } from './dialect'
import type { Clock, Limits } from './limits'
import type { KeyCheck } from './key-check'
import type { ConnectionPool } from './connection-pool'
import type { ReachabilityMonitor } from './reachability-monitor'
import type { RelayPeers } from './relay-peers'
import type { RequestGate } from './request-gate'
import type { RouterDriver } from './router-driver'

/** A connection to a server broke while a call was in progress there. */
export interface LostCall {
  readonly request: RequestId
  readonly attempt: AttemptId | undefined
  readonly server: ServerId
}

export interface CallDependencies {
  readonly clock: Clock
  readonly limits: Limits
  readonly codec: ContextCodec
  readonly dialect: Dialect
  readonly attemptIds: AttemptIds
  readonly driver: RouterDriver
  readonly claims: ClaimCoordinator | undefined
  readonly pool: (server: ServerId) => ConnectionPool | undefined
  /** Whether calls query servers for their load before they are sent. */
  readonly queriesLoad: boolean
  /** Returns the path of the health endpoint of a server. */
  readonly healthPath: (server: ServerId) => string
  /** Reports that another process has the address of the server. */
  readonly onMisdirected: (server: ServerId) => void
  /** Returns the id of the server process, sent in the instance header of requests. */
  readonly instance: (server: ServerId) => string | undefined
  readonly gate: RequestGate
  /** Checks the key of a call again before it is sent. */
  readonly keys: KeyCheck
  readonly reachability: ReachabilityMonitor
  readonly relayPeers: RelayPeers
  /** Returns the number of the document in force, which grows with each change. */
  readonly revision: () => number
  /** Returns the monotonic time in ms at which a planned stop began, if one did. */
  readonly stopStartedAt: () => number | undefined
  /** Reports that a call is passed on to another entry. */
  readonly onRelayed: () => void
  /** Reports that a request is sent once more, or would be if the retry budget allowed it. */
  readonly onRepeat: (repeat: Repeat) => void
  readonly onLost: (lost: LostCall) => void
  /** Reports that the result of a call is final. */
  readonly onEnded: (call: Call, result: CodeName | 'complete', options: CallOptions) => void
  /** Reports that the response was handed to the operating system or its connection was closed. */
  readonly onClosed: (call: Call) => void
}
