/**
 * Types of the router: calls, servers, load reports and effects. All times are milliseconds on the monotonic clock of
 * the entry process that passes `now`.
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
  /** Place among the calls of equal urgency, default 0; lower ones leave the queue first. */
  readonly rank?: number
  /** Whether the call leaves the last free slots of an overloaded service to others, and does not queue at a server. */
  readonly yields?: boolean
  /** Absolute time in ms after which a response has no value. */
  readonly deadline: number
  /** Target time in ms from arrival to response; a later response has less value. */
  readonly target?: number
  /** Whether the call may run more than once. */
  readonly repeatable: boolean
  /**
   * Whether the driver can send the call again after a server shed it, default true. If not (the body is not buffered,
   * or no attempt is left), the call is sent without a queue limit.
   */
  readonly resendable?: boolean
  /** Whether the call may be sent only to a server that is free and fast right now. Otherwise it is shed at once. */
  readonly onlyIfFree?: boolean
  /** Servers that must not be chosen because the call was already sent to them. */
  readonly triedServers?: readonly ServerId[]
}

/** Load as reported by a server: `bilberrystall-load: inflight=2;slots=3;queue=0`. */
export interface Load {
  /** Calls that occupy a slot. */
  readonly inflight: number
  readonly slots: number
  /** Calls that wait for a slot. */
  readonly queue: number
  /** Ratio of the time that work currently takes at the server to the usual time. */
  readonly slowness?: number
}

export type ServerState = 'starting' | 'ready' | 'draining'

export interface Server {
  readonly id: ServerId
  readonly service: ServiceName
  readonly domain: FailureDomain
  readonly slots: number
  readonly state: ServerState
  /** Start time of the server process, which tells processes with the same id apart. */
  readonly start?: number
  /** Time in ms at which this start of the server was first seen; a later value starts a new ramp. */
  readonly firstSeen: number
  /** Remaining time in ms for which the server is cold by its announcement; 0 or absent if it is warm or does not say. */
  readonly coldMs?: number
  /** Load carried by the announcement. */
  readonly load?: Load
}

/**
 * Outcome of one exchange with a server.
 *
 * - `ok`: complete response that is not a server error.
 * - `error`: complete response with a 5xx status of the server.
 * - `shed`: the server answered that it did not run the request.
 * - `connect-failed`: no connection could be opened; the request did not run.
 * - `lost`: the server aborted the exchange after the request was sent.
 * - `timeout`: the deadline passed before the server responded.
 * - `unattributed`: the exchange ended for a reason that says nothing about the server.
 */
export type ExchangeOutcome = 'ok' | 'error' | 'shed' | 'connect-failed' | 'lost' | 'timeout' | 'unattributed'

/** Information about a server from a peer entry or an announcement. */
export interface Observation {
  readonly server: ServerId
  /** Age in ms of the information at the time it is passed in. */
  readonly age: number
  readonly load?: Load
  /** Whether the peer has ejected the server. */
  readonly ejected?: boolean
}

export type EjectReason = 'failing' | 'slow' | 'stuck'

/** Instructions to the driver of the router, to be carried out in order. */
export type Effect =
  | Dispatch
  /** Query the load of the servers and report each answer with `answered`. */
  | { readonly kind: 'query-load'; readonly call: CallId; readonly servers: readonly ServerId[] }
  | Shed
  | Probe
  | { readonly kind: 'ejected'; readonly server: ServerId; readonly reason: EjectReason }
  | { readonly kind: 'restored'; readonly server: ServerId }
  /** The server has begun to name a rate limit, in calls per second from all entries. */
  | { readonly kind: 'limited'; readonly server: ServerId; readonly rate: number }
  /** The server no longer names a rate limit. */
  | { readonly kind: 'unlimited'; readonly server: ServerId }
  /** The server is cold for `coldMs` by what is known now, and its service limits cold servers. */
  | { readonly kind: 'cold'; readonly server: ServerId; readonly coldMs: number }
  /** The server is no longer cold. */
  | { readonly kind: 'warm'; readonly server: ServerId }
  /** The server has said that it leaves. */
  | { readonly kind: 'leaving'; readonly server: ServerId }
  /** The server has asked for a pause. */
  | { readonly kind: 'paused'; readonly server: ServerId }

/** A change in how the calls of this entry use a server. */
export type ServerChange = Extract<
  Effect,
  { kind: 'ejected' | 'restored' | 'limited' | 'unlimited' | 'cold' | 'warm' | 'leaving' | 'paused' }
>

/** What a response of a server says of the server itself. */
export interface ServerStatement {
  /** Whether the server leaves. */
  readonly isLeaving: boolean
  /** Time in ms for which the server wants nothing from this entry. */
  readonly pauseMs: number | undefined
}

/** End the call without sending it. */
export interface Shed {
  readonly kind: 'shed'
  readonly call: CallId
  readonly code: CodeName
  /** Time in ms after which the call can be accepted, if it is known. */
  readonly retryAfterMs?: number
}

/** Send the call to the server, then call `started` and `finished`. */
export interface Dispatch {
  readonly kind: 'dispatch'
  readonly call: CallId
  readonly server: ServerId
  /**
   * Longest queue that the call accepts at the server, sent as `bilberrystall-queue-limit`. A server whose queue would
   * become longer sheds the call without running it. Absent: no limit.
   */
  readonly queueLimit?: number
}

/** Probe the server, then call `probed`. The tokens for `timeout` ms of slot time are already spent. */
export interface Probe {
  readonly kind: 'probe'
  readonly server: ServerId
  /** Time in ms after which the driver cancels the probe and reports `timeout`. */
  readonly timeout: number
}
