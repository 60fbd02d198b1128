/**
 * Identity of this process among all processes that its node has had. An incarnation begins with the wall clock, which
 * may be set back between two processes, so a process that hears of another one with an incarnation that is not lower
 * raises its own above that. Each process draws the counter of its first change at random, which tells two processes of
 * equal incarnation apart.
 */
import { NODE_LEASE_MS } from './lease'
import type { OriginVersion } from './origin'

/**
 * A heartbeat of a predecessor may seem newer than the start of this process by up to this time, because ages do not
 * contain the time in transit.
 */
const HEARTBEAT_ERROR_MS = 2_000
/** Incarnations are raised by up to this number, so that a process hardly gets one that an earlier process has had. */
const RAISE_RANGE = 1_000

/**
 * What follows from a version of the own origin that a peer knows:
 *
 * - `own`: the peer knows this process or an earlier one, which this process replaces.
 * - `raised`: this process raised its incarnation, because the other one had ended.
 * - `yields`: the other process is live and started later. Peers use its records.
 */
export type IdentityCheck = 'own' | 'raised' | 'yields'

export interface ProcessIdentityOptions {
  readonly incarnation: number
  readonly firstCounter: number
  readonly now: number
}

export class ProcessIdentity {
  readonly #incarnations: number[]
  readonly #firstCounter: number
  readonly #startedAt: number
  #incarnation: number

  constructor({ incarnation, firstCounter, now }: ProcessIdentityOptions) {
    this.#incarnations = [incarnation]
    this.#incarnation = incarnation
    this.#firstCounter = firstCounter
    this.#startedAt = now
  }

  get incarnation(): number {
    return this.#incarnation
  }

  /** All incarnations of this process, the current one last. */
  get incarnations(): readonly number[] {
    return this.#incarnations
  }

  /** `counter` is the current one of this process. */
  check({ incarnation, counter: known, ageMs }: OriginVersion, counter: number, now: number): IdentityCheck {
    if (incarnation < this.#incarnation) return 'own'
    if (incarnation === this.#incarnation && known >= this.#firstCounter && known <= counter) return 'own'
    // Of two live processes the one that started last keeps the higher incarnation, so they do not outbid each other.
    const isLive = ageMs < NODE_LEASE_MS && now - ageMs > this.#startedAt + HEARTBEAT_ERROR_MS
    if (isLive) return 'yields'
    this.#incarnation = incarnation + 1 + (this.#firstCounter % RAISE_RANGE)
    this.#incarnations.push(this.#incarnation)
    return 'raised'
  }
}
