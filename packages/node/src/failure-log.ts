/**
 * Rate-limited log of failed calls, which lets an operator find the cause of a failure by its attempt id. In an
 * overload the first lines are sufficient; a metric counts the omitted ones.
 */
import type { CodeName } from '@bilberrystall/base'
import type { EndedCall } from '@bilberrystall/entry'
import type { Log } from './log'

const LINES_PER_SECOND = 20
const SAVED_LINES = 60
const MS_PER_SECOND = 1000

export interface FailureLogOptions {
  readonly log: Log
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Called for each omitted line. */
  readonly onOmitted: () => void
}

export class FailureLog {
  readonly #options: FailureLogOptions
  #lines = SAVED_LINES
  #filledAt: number

  constructor(options: FailureLogOptions) {
    this.#options = options
    this.#filledAt = options.now()
  }

  write(result: CodeName, latencyMs: number, { route, service, attempt, servers }: EndedCall): void {
    const { log, onOmitted } = this.#options
    if (!this.#mayWrite()) {
      onOmitted()
      return
    }
    const id = attempt === undefined ? {} : { attempt }
    log.info('callFailed', { result, ...id, route, service, servers, ms: Math.round(latencyMs) })
  }

  #mayWrite(): boolean {
    const now = this.#options.now()
    const gained = ((now - this.#filledAt) / MS_PER_SECOND) * LINES_PER_SECOND
    this.#lines = Math.min(SAVED_LINES, this.#lines + gained)
    this.#filledAt = now
    if (this.#lines < 1) return false
    this.#lines -= 1
    return true
  }
}
