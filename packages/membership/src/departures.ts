/**
 * Processes of servers that have left by a decision of control. Earlier starts of the server count as left as well, as
 * an announcement may arrive late, but only for a time: a server whose clock was set back starts again with an earlier
 * one.
 */
import type { ServerId } from '@bilberrystall/base'
import { LEAVING_RETENTION_MS } from './lease'
import type { Server } from './record'

/** Largest number of stored departures, far more than servers leave within one server lease. */
const MAX_DEPARTURES = 4_000

export class Departures {
  /** Start of the newest departed process by server, oldest departure first. */
  readonly #starts = new Map<ServerId, number>()
  /** Servers whose earlier starts count as left, with the time of the departure, oldest first. */
  readonly #recent = new Map<ServerId, number>()

  /** Returns false if this process or one with a later start is known to have left. */
  add(server: ServerId, start: number, now: number): boolean {
    const known = this.#starts.get(server)
    if (known !== undefined && known >= start) return false
    this.#starts.delete(server)
    this.#starts.set(server, start)
    this.#recent.delete(server)
    this.#recent.set(server, now)
    if (this.#starts.size > MAX_DEPARTURES) {
      const [oldest] = this.#starts.keys()
      if (oldest !== undefined) this.#remove(oldest)
    }
    return true
  }

  /** Whether this process of the server is known to have left. */
  hasLeft(server: ServerId, start: number): boolean {
    return this.#starts.get(server) === start
  }

  /** Whether the server gets no new calls although it announced itself. */
  include({ server, start, state }: Server): boolean {
    if (state !== 'starting' && state !== 'ready') return false
    const departed = this.#starts.get(server)
    return departed !== undefined && (start === departed || (start < departed && this.#recent.has(server)))
  }

  /** Start of a departed process for which the announcement of an earlier start is too old; undefined if there is none. */
  startAfter(announced: Server): number | undefined {
    const departed = this.#starts.get(announced.server)
    return departed !== announced.start && this.include(announced) ? departed : undefined
  }

  /** Returns the servers whose earlier starts no longer count as left. */
  expire(now: number): readonly ServerId[] {
    const expired: ServerId[] = []
    for (const [server, departedAt] of this.#recent) {
      if (now - departedAt < LEAVING_RETENTION_MS) break
      expired.push(server)
    }
    for (const server of expired) this.#recent.delete(server)
    return expired
  }

  #remove(server: ServerId): void {
    this.#starts.delete(server)
    this.#recent.delete(server)
  }
}
