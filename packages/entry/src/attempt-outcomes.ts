/**
 * Outcomes of the failed attempts of a call. After an attempt that a server may have run, the call must not be reported as
 * not run.
 */
import { resultCode, type CodeName } from '@bilberrystall/base'

export class AttemptOutcomes {
  #firstUnknown: CodeName | undefined
  #last: CodeName | undefined

  /** Whether no server can have run the call. */
  get isNotRun(): boolean {
    return this.#firstUnknown === undefined
  }

  /** Result code of the last attempt that failed. */
  get last(): CodeName | undefined {
    return this.#last
  }

  /** An attempt has failed. */
  record(code: CodeName): void {
    this.#last = code
    if (resultCode(code).outcome !== 'unknown') return
    this.#firstUnknown ??= code
  }

  /** The call fails because of `cause` while a server may have its request. */
  recordInProgress(cause: CodeName): void {
    this.#firstUnknown ??= resultCode(cause).outcome === 'unknown' ? cause : 'connectionLost'
  }

  /** Returns the code to report for a call that fails because of `cause`. */
  reportedCode(cause: CodeName): CodeName {
    const isNotRun = resultCode(cause).outcome === 'not-run'
    return isNotRun && this.#firstUnknown !== undefined ? this.#firstUnknown : cause
  }
}
