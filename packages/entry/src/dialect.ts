/**
 * Header names and formats for the metadata that callers, entries and servers exchange in addition to standard HTTP.
 * The product has a default dialect; a platform adapter provides its own. All header names are in lower case.
 */
import type { Load } from '@bilberrystall/routing'

export interface Dialect {
  /** Header with the remaining time in ms: sent to servers, and accepted from callers if `acceptsCallerDeadline`. */
  readonly deadlineHeader: string
  /** Whether callers may shorten the deadline of a call with `deadlineHeader`. */
  readonly acceptsCallerDeadline: boolean
  /** Response header with which a server reports that it did not run the request. */
  readonly notRunHeader: string
  readonly isNotRun: (value: string) => boolean
  /** Response header with the load of the server. */
  readonly loadHeader: string
  readonly readLoad: (value: string) => Load | undefined
  /**
   * Response header of a server in need with the requests per second that it accepts from all entries together;
   * undefined if not supported.
   */
  readonly rateLimitHeader: string | undefined
  /** Response header with the value 1 of a server that leaves; undefined if not supported. */
  readonly leavingHeader: string | undefined
  /** Header with the id of an attempt, which servers return; undefined if not supported. */
  readonly attemptHeader: string | undefined
  /**
   * - `caller`: callers give each attempt an id, and servers return it in every response.
   * - `entry`: the entry gives each request to a server an id. A server that returned one has to return each of them.
   */
  readonly attemptIds: 'caller' | 'entry'
  /**
   * Request header with the id of the server process; a different process at the address answers 421 and runs nothing.
   */
  readonly instanceHeader: string | undefined
  /** Response header with the id of the server process; undefined if not supported. */
  readonly instanceResponseHeader: string | undefined
  /** Response header that servers add to every successful response; undefined if not supported. */
  readonly signatureHeader: string | undefined
  /** Request header with the name of the caller's organisation, which entries set; undefined if not supported. */
  readonly organisationHeader: string | undefined
  /** Scheme of the `authorization` field with the key of an organisation, in lower case; undefined if not supported. */
  readonly keyScheme: string | undefined
  /** Response header with the remaining time in ms for which the server is cold; undefined if not supported. */
  readonly warmUpHeader: string | undefined
  /** Whether servers propagate the call context and support the queue limit header. */
  readonly propagatesContext: boolean
  /** Path for probes; undefined if the health path of the service in the document is used. */
  readonly probePath: string | undefined
  /** Formats a delay in ms as the value of `retry-after`. */
  readonly retryAfter: (waitMs: number) => string
}

const MS_PER_SECOND = 1000

/** Parses `inflight=2;slots=3;queue=0`; a malformed value is ignored. */
export function parseLoad(text: string): Load | undefined {
  const match = /^\s*inflight=(\d{1,9})\s*;\s*slots=(\d{1,9})\s*;\s*queue=(\d{1,9})\s*$/.exec(text)
  if (match === null) return undefined
  return { inflight: Number(match[1]), slots: Number(match[2]), queue: Number(match[3]) }
}

/** Parses requests per second as a decimal number; a malformed or negative value is ignored. */
export function parseRateLimit(text: string): number | undefined {
  return /^\s*\d{1,9}(?:\.\d{1,9})?\s*$/.test(text) ? Number(text) : undefined
}

export const PROBE_PATH = '/.bilberrystall/probe'

export const DEFAULT_DIALECT: Dialect = {
  deadlineHeader: 'bilberrystall-deadline-ms',
  acceptsCallerDeadline: false,
  notRunHeader: 'bilberrystall-not-run',
  isNotRun: (value) => value.trim() === '1',
  loadHeader: 'bilberrystall-load',
  readLoad: parseLoad,
  rateLimitHeader: 'bilberrystall-rate-limit',
  leavingHeader: 'bilberrystall-leaving',
  attemptHeader: 'bilberrystall-attempt',
  attemptIds: 'entry',
  instanceHeader: undefined,
  instanceResponseHeader: undefined,
  signatureHeader: undefined,
  organisationHeader: 'bilberrystall-organisation',
  keyScheme: 'bearer',
  warmUpHeader: 'bilberrystall-warm-up-ms',
  propagatesContext: true,
  probePath: PROBE_PATH,
  // RFC 9110 does not allow fractions of a second.
  retryAfter: (waitMs) => String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))),
}
