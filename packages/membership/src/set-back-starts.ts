/**
 * Recognises processes of servers whose clock was set back before they started. Announcements are ordered by the start
 * that the process states, so such a process seems to be an earlier one than the process that it replaced. It is told
 * from a late announcement of an earlier process by what that one cannot do: it announces itself again, some time later,
 * at the address of the process that seems newer, of which nothing is heard meanwhile. It then gets a start above that
 * of the other one.
 */
import { isLeaving, type Server } from './record'

/** Share of the time after which a server that does not renew its announcement is removed. */
const CONFIRMATION_SHARE = 1 / 12
/** Largest number of servers of which an announcement with an earlier start is remembered. */
const MAX_CANDIDATES = 1_000

interface Candidate {
  readonly start: number
  readonly sequence: number
  readonly since: number
}

export interface SetBackStartsOptions {
  /** Time in ms without renewal after which a server is removed. */
  readonly renewalTimeoutMs: number
}

export class SetBackStarts {
  /** Processes that may have been started with a clock that was set back, by server, oldest first. */
  readonly #candidates = new Map<string, Candidate>()
  readonly #confirmationMs: number

  constructor({ renewalTimeoutMs }: SetBackStartsOptions) {
    this.#confirmationMs = renewalTimeoutMs * CONFIRMATION_SHARE
  }

  /** Returns the announcement with the start by which it is ordered. `known` is the record of the server. */
  identify(key: string, announced: Server, known: Server, now: number): Server {
    if (announced.start >= known.start) {
      this.#candidates.delete(key)
      return announced
    }
    const { start } = announced
    if (known.statedStart === start) return { ...announced, start: known.start, statedStart: start }
    if (!replaces(announced, known) || !this.#isConfirmed(key, announced, now)) return announced
    this.#candidates.delete(key)
    return { ...announced, start: known.start + 1, statedStart: start }
  }

  #isConfirmed(key: string, { start, sequence }: Server, now: number): boolean {
    const candidate = this.#candidates.get(key)
    if (candidate?.start === start && sequence > candidate.sequence)
      return now - candidate.since >= this.#confirmationMs
    if (candidate?.start === start) return false
    this.#candidates.delete(key)
    this.#candidates.set(key, { start, sequence, since: now })
    if (this.#candidates.size > MAX_CANDIDATES) {
      const [oldest] = this.#candidates.keys()
      if (oldest !== undefined) this.#candidates.delete(oldest)
    }
    return false
  }
}

/** Whether the announced process, whose start is earlier, would take the place of the known one. */
function replaces(announced: Server, known: Server): boolean {
  return announced.address === known.address && !isLeaving(known)
}
