/** Limits of the call path that no document sets. Times are in ms, sizes in bytes. */

export const MAX_HEAD_BYTES = 16_384

export interface Limits {
  /** Time for a caller to send the request head. */
  readonly headMs: number
  /** Longest pause of a caller within a request body, and time for the part that is gathered before sending. */
  readonly bodyStallMs: number
  /** Request bodies up to this size are gathered before a server is chosen, so they can be sent again. */
  readonly gatherBytes: number
  /** Far above the 1 ms of a healthy server and below the 1 s after which a lost SYN is sent again. */
  readonly connectMs: number
  /** Servers close idle connections after 5 s or more; a shorter limit avoids sending into a closing one. */
  readonly idleReuseMs: number
  /** Idle connections are closed after this time. */
  readonly idleCloseMs: number
  /** A connection without progress for this time, or a quarter of the deadline if less, is suspected. */
  readonly silenceMs: number
  /** Interval of the check for stalled bodies and silent connections while calls are in flight. */
  readonly sweepMs: number
}

export const DEFAULT_LIMITS: Limits = {
  headMs: 10_000,
  bodyStallMs: 10_000,
  gatherBytes: 65_536,
  connectMs: 250,
  idleReuseMs: 4_000,
  idleCloseMs: 30_000,
  silenceMs: 2_000,
  sweepMs: 50,
}

/** Clocks of the process: `monotonic` for durations, `unix` for times that other processes see. */
export interface Clock {
  readonly monotonic: () => number
  readonly unix: () => number
}

export const SYSTEM_CLOCK: Clock = { monotonic: () => performance.now(), unix: () => Date.now() }
