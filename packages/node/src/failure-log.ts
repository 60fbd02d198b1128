/**
 * Rate-limited log of failed calls, which lets an operator find the cause of a failure by its attempt id. In an
 * overload the first lines are sufficient; a metric counts the omitted ones.
 */
import type { CodeName } from '@bilberrystall/base'
import type { EndedCall, LostCall, ServerCheck } from '@bilberrystall/entry'
import type { Log, LogFields } from './log'

const LINES_PER_SECOND = 20
const BURST_LINES = 60
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
  #tokens = BURST_LINES
  #refilledAt: number

  constructor(options: FailureLogOptions) {
    this.#options = options
    this.#refilledAt = options.now()
  }

  write(result: CodeName, latencyMs: number, { attempt, ...call }: EndedCall): void {
    const id = attempt === undefined ? {} : { attempt }
    this.#write('callFailed', { result, ...id, ...call, ms: Math.round(latencyMs) })
  }

  /** Writes what the check of a server found after its connection broke during a call. */
  writeLost({ request, attempt, server }: LostCall, check: ServerCheck): void {
    const id = attempt === undefined ? {} : { attempt }
    this.#write('lostCallChecked', { server, check, request, ...id })
  }

  #write(code: CodeName, fields: LogFields): void {
    const { log, onOmitted } = this.#options
    if (this.#tryTakeToken()) log.info(code, fields)
    else onOmitted()
  }

  #tryTakeToken(): boolean {
    const now = this.#options.now()
    const refilled = ((now - this.#refilledAt) / MS_PER_SECOND) * LINES_PER_SECOND
    this.#tokens = Math.min(BURST_LINES, this.#tokens + refilled)
    this.#refilledAt = now
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
