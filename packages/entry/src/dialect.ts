/**
 * Names and formats by which callers, entries and servers exchange what HTTP itself does not carry. The product has its
 * own; an adapter to a platform brings the platform's. All header names are in lower case.
 */
import type { Load } from '@bilberrystall/routing'

export interface Dialect {
  /** Time in ms that is left: from callers where they may state it, and to servers. */
  readonly deadlineHeader: string
  /** Whether a caller may shorten the time of its call by that header. */
  readonly callerStatesDeadline: boolean
  /** Response header of a server that did not run the request. */
  readonly notRunHeader: string
  readonly isNotRun: (value: string) => boolean
  /** Response header with the load of the server. */
  readonly loadHeader: string
  readonly readLoad: (value: string) => Load | undefined
  /** Id that a caller gives to each of its attempts and that servers return; undefined where there is none. */
  readonly attemptHeader: string | undefined
  /** Request header that names the server process; another one at the same address answers 421 and runs nothing. */
  readonly instanceHeader: string | undefined
  /** Response header in which a server process names itself; undefined where servers do not. */
  readonly instanceAnswerHeader: string | undefined
  /** Response header that every success of a server carries; undefined where servers mark nothing. */
  readonly signatureHeader: string | undefined
  /** Whether servers pass on the context of a call and know a limit on their queue. */
  readonly carriesContext: boolean
  /** Path of a probe; undefined where the document gives one for each service. */
  readonly probePath: string | undefined
  /** Value of `retry-after` for a time in ms. */
  readonly retryAfter: (waitMs: number) => string
}

const MS_PER_SECOND = 1000

/** Reads `inflight=2;slots=3;queue=0`; a report that is not well formed is ignored. */
export function parseLoad(text: string): Load | undefined {
  const match = /^\s*inflight=(\d{1,9})\s*;\s*slots=(\d{1,9})\s*;\s*queue=(\d{1,9})\s*$/.exec(text)
  if (match === null) return undefined
  return { inflight: Number(match[1]), slots: Number(match[2]), queue: Number(match[3]) }
}

export const PROBE_PATH = '/.bilberrystall/probe'

export const OWN_DIALECT: Dialect = {
  deadlineHeader: 'bilberrystall-deadline-ms',
  callerStatesDeadline: false,
  notRunHeader: 'bilberrystall-not-run',
  isNotRun: (value) => value.trim() === '1',
  loadHeader: 'bilberrystall-load',
  readLoad: parseLoad,
  attemptHeader: undefined,
  instanceHeader: undefined,
  instanceAnswerHeader: undefined,
  signatureHeader: undefined,
  carriesContext: true,
  probePath: PROBE_PATH,
  // Whole seconds are the standard form.
  retryAfter: (waitMs) => String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))),
}
