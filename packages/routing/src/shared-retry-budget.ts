/**
 * Part of one entry in the retries that all entries together may send to a service. In any window these are a share of
 * the calls, which each entry counts for itself, and a fixed number, which entries divide without messages. Both apply
 * to the retries of the last window rather than to a bucket: a bucket that refills within a window allows its content
 * twice there. A change of the document does not touch the counts.
 */
import { rendezvousRank, type ServiceName } from '@bilberrystall/base'
import type { RetryBudget } from './retry-budget'
import { CountWindow } from './sliding-window'

export interface RetrySharing {
  /** Id of this entry. */
  readonly entry: string
  /**
   * Returns the ids of all entries whose retries may count in the current window, also of those that were lost a while
   * ago and may be cut off; the same array while nothing changed. An entry that is not contained has no fixed part.
   */
  readonly entries: () => readonly string[]
  /** Retries per call. */
  readonly share: number
  /** Retries in each window beyond that. */
  readonly fixed: number
  readonly windowMs: number
}

const SLICES = 20

export class SharedRetryBudget implements RetryBudget {
  readonly #service: ServiceName
  readonly #sharing: RetrySharing
  readonly #calls: CountWindow
  readonly #retries: CountWindow
  #reserved = 0
  #part = 0
  /** List from which the part was computed. */
  #entries: readonly string[] | undefined

  constructor(service: ServiceName, sharing: RetrySharing) {
    this.#service = service
    this.#sharing = sharing
    const sliceMs = sharing.windowMs / SLICES
    // A window is up to a slice shorter than its slices: that of the calls within the window, that of the retries beyond.
    this.#calls = new CountWindow({ sliceMs, slices: SLICES })
    this.#retries = new CountWindow({ sliceMs, slices: SLICES + 1 })
  }

  available(now: number): number {
    const earned = this.#sharing.share * this.#calls.count(now)
    return Math.max(0, earned + this.#fixedPart() - this.#retries.count(now) - this.#reserved)
  }

  credit(now: number): void {
    this.#calls.add(now)
  }

  take(now: number): boolean {
    if (this.available(now) < 1) return false
    this.#retries.add(now)
    return true
  }

  reserve(now: number): boolean {
    if (this.available(now) < 1) return false
    this.#reserved += 1
    return true
  }

  release(): void {
    this.#reserved -= 1
  }

  /** The allowance of all entries is not a matter of the document. */
  configure(): void {
    // Nothing to apply.
  }

  #fixedPart(): number {
    const entries = this.#sharing.entries()
    if (entries !== this.#entries) {
      this.#entries = entries
      this.#part = fixedPart(this.#service, this.#sharing)
    }
    return this.#part
  }
}

/**
 * Returns how many of the fixed retries this entry may send in a window. The parts are whole numbers, as most entries of
 * a large fleet could not use a fraction; which entries get one more depends on the service.
 */
export function fixedPart(service: ServiceName, { entry, entries, fixed }: RetrySharing): number {
  const list = entries()
  if (!list.includes(entry)) return 0
  const whole = Math.floor(fixed / list.length)
  const left = Math.floor(fixed) - whole * list.length
  return rendezvousRank(service, entry, list) < left ? whole + 1 : whole
}
