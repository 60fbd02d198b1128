/**
 * Decides whether connections to a server may be used for more than one request. A server that sends bytes which belong
 * to no request may send them at any time, and on a connection that is used again they can meet the next request.
 * Connections that are used once leave no such request. The server pays for them with the time that each new connection
 * takes, so this ends some time after the last such bytes. The time doubles when they return.
 */

/** Late copies of responses follow within seconds. */
const MIN_SUSPENSION_MS = 10_000
const MAX_SUSPENSION_MS = 320_000
/** Time after a suspension in which further bytes double the next one. */
const PROBATION_MS = 60_000

export class ConnectionReuse {
  #suspendedUntil = -Infinity
  #suspensionMs = MIN_SUSPENSION_MS

  /** Records that bytes arrived which belong to no request. */
  onStrayBytes(now: number): void {
    if (this.isAllowed(now)) this.#suspensionMs = this.#nextSuspensionMs(now)
    this.#suspendedUntil = now + this.#suspensionMs
  }

  isAllowed(now: number): boolean {
    return now >= this.#suspendedUntil
  }

  #nextSuspensionMs(now: number): number {
    const isRepeated = now < this.#suspendedUntil + PROBATION_MS
    return isRepeated ? Math.min(2 * this.#suspensionMs, MAX_SUSPENSION_MS) : MIN_SUSPENSION_MS
  }
}
