/**
 * Tells an entry that has lost its way to the servers from one that meets some failing servers: calls fail at several
 * servers in a row while no new connection to any server gets a response. Responses on connections that were opened
 * before the first failure do not count, because in a partition established connections may outlive new ones.
 */
import type { ServerId } from '@bilberrystall/base'

/** Number of failures in a row, at as many servers if there are that many. */
const SUSPICIOUS_FAILURES = 3

export class Reachability {
  readonly #failed = new Set<ServerId>()
  #failingSince = Number.POSITIVE_INFINITY
  #failures = 0
  #isSuspected = false
  #isCutOff = false

  /** Whether no server can be reached. */
  get isCutOff(): boolean {
    return this.#isCutOff
  }

  hasFailed(server: ServerId): boolean {
    return this.#failed.has(server)
  }

  /** Records that a server did not respond. `known` is the number of servers in use. */
  failed(server: ServerId, known: number, now: number): void {
    if (this.#failed.size === 0) this.#failingSince = now
    this.#failed.add(server)
    this.#failures += 1
    const servers = Math.min(SUSPICIOUS_FAILURES, known)
    this.#isSuspected = this.#failures >= SUSPICIOUS_FAILURES && this.#failed.size >= servers
  }

  /** Whether probes have to find out if the entry is cut off. */
  get isSuspected(): boolean {
    return this.#isSuspected && !this.#isCutOff
  }

  /** Records a response on a connection that was opened at `openedAt`. */
  responded(openedAt: number): void {
    if (openedAt >= this.#failingSince) this.#reset()
  }

  /** Records the result of a round of probes on new connections. */
  probed(hasResponse: boolean): void {
    if (hasResponse) this.#reset()
    else this.#isCutOff = true
  }

  #reset(): void {
    this.#failed.clear()
    this.#failures = 0
    this.#failingSince = Number.POSITIVE_INFINITY
    this.#isSuspected = false
    this.#isCutOff = false
  }
}
