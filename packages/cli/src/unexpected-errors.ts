/**
 * Keeps a node running after an error that no handler caught. Such an error ends the work of one message or call, and
 * ending the process would cut off all the others. A node that fails again and again is stopped in order instead.
 */

const WINDOW_MS = 10_000
const MAX_ERRORS_PER_WINDOW = 20

export interface UnexpectedErrorsOptions {
  readonly now: () => number
  readonly onError: (cause: unknown) => void
  /** Called once, when there were more errors within ten seconds than a node should survive. */
  readonly onTooMany: () => void
}

export class UnexpectedErrors {
  readonly #options: UnexpectedErrorsOptions
  readonly #times: number[] = []
  #hasReportedTooMany = false

  constructor(options: UnexpectedErrorsOptions) {
    this.#options = options
  }

  record(cause: unknown): void {
    const { now, onError, onTooMany } = this.#options
    const at = now()
    while ((this.#times[0] ?? at) < at - WINDOW_MS) this.#times.shift()
    this.#times.push(at)
    if (this.#times.length <= MAX_ERRORS_PER_WINDOW) {
      onError(cause)
      return
    }
    this.#times.shift()
    if (this.#hasReportedTooMany) return
    this.#hasReportedTooMany = true
    onTooMany()
  }

  /** Registers the handlers of the process. */
  install(): void {
    const record = (cause: unknown): void => {
      this.record(cause)
    }
    process.on('uncaughtException', record)
    process.on('unhandledRejection', record)
  }
}
