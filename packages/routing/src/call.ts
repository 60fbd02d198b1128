/**
 * Vocabulary of the router: calls, servers, load reports and effects. All times are milliseconds on the one monotonic
 * clock of the entry process that passes `now`.
 */
import type { Branded, CodeName, FailureDomain, ServerId, ServiceName } from '@bilberrystall/base'

/** Unique among the calls of one entry process that have not ended. */
export type CallId = Branded<number, 'CallId'>
export const callId = (value: number): CallId => value as CallId

/** Urgent calls leave the queue before deferrable ones. */
export type Urgency = 'urgent' | 'deferrable'

export interface Call {
  readonly id: CallId
  readonly service: ServiceName
  readonly urgency: Urgency
  /** Absolute time in ms after which a response has no value. */
  readonly deadline: number
  /** Time in ms from its arrival within which a response has its full value. */
  readonly target?: number
  /** Whether the call may run more than once. */
  readonly repeatable: boolean
  /**
   * Whether the shell can send the call again after a refusal, default true. A call whose body is not kept, or that has
   * no attempt left, never asks a full server to refuse it.
   */
  readonly resendable?: boolean
  /** Whether the call is of use only at a server that is free and fast right now; otherwise it is shed at once. */
  readonly onlyIfFree?: boolean
  /** Servers that must not be chosen: the call was sent to them before. */
  readonly tried?: readonly ServerId[]
}

/** Load as reported by a server: `bilberrystall-load: inflight=2;slots=3;queue=0`. */
export interface Load {
  /** Calls that occupy a slot. */
  readonly inflight: number
  readonly slots: number
  /** Calls that wait for a slot. */
  readonly queue: number
  /** Time that work takes at the server right now, relative to the usual time. */
  readonly slowness?: number
}

export type ServerState = 'starting' | 'ready' | 'draining'

export interface Server {
  readonly id: ServerId
  readonly service: ServiceName
  readonly domain: FailureDomain
  readonly slots: number
  readonly state: ServerState
  /** Time in ms at which this start of the server was first seen; a later value begins a new ramp. */
  readonly firstSeen: number
  /** Load carried by the announcement. */
  readonly load?: Load
}

/**
 * End of one exchange with a server.
 *
 * - `ok`: complete response that is no server fault.
 * - `error`: complete response with a 5xx status of the server.
 * - `shed`: the server answered that the request did not run.
 * - `connect-failed`: no connection could be opened; the request did not run.
 * - `lost`: the server broke the exchange after the request was sent.
 * - `timeout`: the deadline passed while the request was at the server.
 * - `unattributed`: the exchange ended for a reason that says nothing about the server.
 */
export type ExchangeOutcome = 'ok' | 'error' | 'shed' | 'connect-failed' | 'lost' | 'timeout' | 'unattributed'

/** What a peer entry or an announcement says about a server. */
export interface Observation {
  readonly server: ServerId
  /** Age in ms of the information at the time it is passed in. */
  readonly age: number
  readonly load?: Load
  /** Whether the peer has ejected the server. */
  readonly ejected?: boolean
}

export type EjectReason = 'failing' | 'slow' | 'stuck'

/** Instructions to the shell, to be carried out in order. */
export type Effect =
  | Dispatch
  /** Ask the servers for their load and report each answer with `answered`. */
  | { readonly kind: 'inquire'; readonly call: CallId; readonly servers: readonly ServerId[] }
  | { readonly kind: 'shed'; readonly call: CallId; readonly code: CodeName }
  | Probe
  | { readonly kind: 'ejected'; readonly server: ServerId; readonly reason: EjectReason }
  | { readonly kind: 'restored'; readonly server: ServerId }

/** Send the call to the server, then report `started` and `finished`. */
export interface Dispatch {
  readonly kind: 'dispatch'
  readonly call: CallId
  readonly server: ServerId
  /**
   * Longest queue the call accepts at the server, sent as `bilberrystall-queue-limit`. A server whose queue would
   * become longer sheds the call as not run. Absent: no limit.
   */
  readonly queueLimit?: number
}

/** Measure the server and report `probed`. The tokens for `limit` ms of slot time are already spent. */
export interface Probe {
  readonly kind: 'probe'
  readonly server: ServerId
  /** Time in ms after which the shell cancels the probe and reports `timeout`. */
  readonly limit: number
}
