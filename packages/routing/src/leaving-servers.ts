/**
 * Processes of servers that said in a response that they leave. The statement holds for the process, whatever its later
 * announcements say: these may have been sent before it and come late. It survives the removal of the record, which a
 * delayed announcement can bring back, and ends with the next process under the same id.
 */
import type { ServerId } from '@bilberrystall/base'
import type { Server } from './call'

/** Bounds memory: the oldest statements beyond this number are dropped, long after those servers have ended. */
const MAX_STATEMENTS = 4_000

export class LeavingServers {
  readonly #starts = new Map<ServerId, number | undefined>()

  add({ id, start }: Server): void {
    this.#starts.delete(id)
    this.#starts.set(id, start)
    const [oldest] = this.#starts.keys()
    if (this.#starts.size > MAX_STATEMENTS && oldest !== undefined) this.#starts.delete(oldest)
  }

  has({ id, start }: Server): boolean {
    if (!this.#starts.has(id)) return false
    if (this.#starts.get(id) === start) return true
    this.#starts.delete(id)
    return false
  }
}
