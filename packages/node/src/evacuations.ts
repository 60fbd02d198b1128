/**
 * Evacuated failure domains as an entry knows them. Lists come from polls, from notifications and from the log of a
 * replica on the same node, in any order; the one with the highest position is in force, and an entry without contact to
 * control keeps it. An entry uses no document before a majority has confirmed a list, because before a restart it may
 * have had a newer one than it hears of first.
 */
import { failureDomain, type FailureDomain } from '@bilberrystall/base'

export interface EvacuationList {
  /** Number of starts and ends of evacuations that the list includes. */
  readonly position: number
  /** All evacuated failure domains. */
  readonly domains: readonly FailureDomain[]
}

export interface EvacuationChange {
  /** All evacuated failure domains. */
  readonly domains: readonly FailureDomain[]
  readonly started: readonly FailureDomain[]
  readonly ended: readonly FailureDomain[]
}

export class Evacuations {
  readonly #onChange: (change: EvacuationChange) => void
  #list: EvacuationList = { position: 0, domains: [] }
  #isConfirmed = false

  constructor(onChange: (change: EvacuationChange) => void = () => undefined) {
    this.#onChange = onChange
  }

  get position(): number {
    return this.#list.position
  }

  get domains(): readonly FailureDomain[] {
    return this.#list.domains
  }

  /** Whether a majority confirmed a list after this process started. */
  get isConfirmed(): boolean {
    return this.#isConfirmed
  }

  /** Applies the list if it is newer than the one in force, before it returns. */
  offer(list: EvacuationList): void {
    if (list.position <= this.#list.position) return
    const before = this.#list.domains
    this.#list = list
    const { domains } = list
    const started = domains.filter((domain) => !before.includes(domain))
    const ended = before.filter((domain) => !domains.includes(domain))
    if (started.length > 0 || ended.length > 0) this.#onChange({ domains, started, ended })
  }

  /** Applies a list that a majority confirmed. */
  confirm(list: EvacuationList): void {
    this.offer(list)
    this.#isConfirmed = true
  }
}

/** Decodes the list of a message. Builds without evacuations send position 0. */
export function decodeEvacuations(message: {
  readonly evacuated: readonly string[]
  readonly evacuationPosition: bigint
}): EvacuationList {
  return { position: Number(message.evacuationPosition), domains: message.evacuated.map(failureDomain) }
}
