/** Limits of the call path that documents cannot set. Times are in ms, sizes in bytes. */

export const MAX_HEAD_BYTES = 16_384

export interface Limits {
  /** Timeout for receiving the request head from a caller. */
  readonly headMs: number
  /** Maximum pause of a caller within a request body, and timeout for the part that is buffered before sending. */
  readonly bodyStallMs: number
  /** Request bodies up to this size are buffered before a server is chosen, so that they can be sent again. */
  readonly bufferBytes: number
  /** Connect timeout: far above the 1 ms of a healthy server, below the 1 s after which TCP retransmits a lost SYN. */
  readonly connectMs: number
  /**
   * Maximum idle time of a connection for calls that must not repeat. Servers close idle connections after 5 s or more,
   * so a shorter limit avoids sending on a connection that is being closed.
   */
  readonly idleReuseMs: number
  /** Idle connections are closed after this time. */
  readonly idleCloseMs: number
  /** A connection is suspected after this time without progress, or a quarter of the remaining time if that is less. */
  readonly silenceMs: number
  /** Interval of the check for stalled bodies and silent connections while calls are in flight. */
  readonly sweepIntervalMs: number
}

export const DEFAULT_LIMITS: Limits = {
  headMs: 10_000,
  bodyStallMs: 10_000,
  bufferBytes: 65_536,
  connectMs: 250,
  idleReuseMs: 4_000,
  idleCloseMs: 30_000,
  silenceMs: 2_000,
  sweepIntervalMs: 50,
}

/** Clocks of the process: `monotonic` for durations, `unix` for times that other processes see. */
export interface Clock {
  readonly monotonic: () => number
  readonly unix: () => number
}

export const SYSTEM_CLOCK: Clock = { monotonic: () => performance.now(), unix: () => Date.now() }
