/**
 * Rate-limited log of failed calls, which lets an operator find the cause of a failure by its attempt id. In an
 * overload the first lines are sufficient; a metric counts the omitted ones.
 */
import type { CodeName } from '@bilberrystall/base'
import type { EndedCall, LostCall, ServerCheck } from '@bilberrystall/entry'
import { LineBudget } from './line-budget'
import type { Log, LogFields } from './log'

const LINES = { linesPerSecond: 20, burst: 60 }

export interface FailureLogOptions {
  readonly log: Log
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Called for each omitted line. */
  readonly onOmitted: () => void
}

export class FailureLog {
  readonly #options: FailureLogOptions
  readonly #budget: LineBudget

  constructor(options: FailureLogOptions) {
    this.#options = options
    this.#budget = new LineBudget({ ...LINES, now: options.now })
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
    if (this.#budget.tryTake()) log.info(code, fields)
    else onOmitted()
  }
}
