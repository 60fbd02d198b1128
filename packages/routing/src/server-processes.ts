/**
 * Server processes that this entry has seen, with what it knows of their warmth. A process that is new while the entry
 * serves has just started and counts as cold until it says otherwise. A process whose record was removed and returns, as
 * after a network partition, is not new.
 */
import type { ServerId } from '@bilberrystall/base'
import type { Server } from './call'
import { ServerWarmth } from './cold-limits'

/** Bounds memory: the processes that were updated longest ago are dropped. */
const MAX_PROCESSES = 4_000
/** Time in ms from the first server on in which this entry learns of the servers that ran before it. */
const START_MS = 5_000

interface SeenProcess {
  readonly start: number | undefined
  readonly warmth: ServerWarmth
}

export class ServerProcesses {
  readonly #seen = new Map<ServerId, SeenProcess>()
  #startedAt: number | undefined

  /** Returns what is known of the process of the server, and whether it is new while this entry serves. */
  see({ id, start }: Server, now: number): { readonly warmth: ServerWarmth; readonly isNew: boolean } {
    this.#startedAt ??= now
    const known = this.#seen.get(id)
    const isKnown = known !== undefined && known.start === start
    const process = isKnown ? known : { start, warmth: new ServerWarmth() }
    this.#seen.delete(id)
    this.#seen.set(id, process)
    const [oldest] = this.#seen.keys()
    if (this.#seen.size > MAX_PROCESSES && oldest !== undefined) this.#seen.delete(oldest)
    return { warmth: process.warmth, isNew: !isKnown && now - this.#startedAt >= START_MS }
  }
}
