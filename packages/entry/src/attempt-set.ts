/** The attempts of a call that are in progress; more than one only for a repeatable call. */
import type { CodeName } from '@bilberrystall/base'
import type { CallAttempt } from './call-attempt'

export class AttemptSet {
  readonly #attempts = new Set<CallAttempt>()

  get size(): number {
    return this.#attempts.size
  }

  /** Whether a byte of one of the requests was written. */
  get isSent(): boolean {
    return this.all.some(({ sent }) => sent)
  }

  /** Result code of a call that reaches its deadline now. */
  get deadlineCode(): CodeName {
    if (!this.isSent) return 'deadlineNotRun'
    return this.all.some(({ silent }) => silent) ? 'connectionSilent' : 'deadlineUnknown'
  }

  get areUnanswered(): boolean {
    return this.all.every(({ unanswered }) => unanswered)
  }

  /** Copy that stays the same while attempts end. */
  get all(): CallAttempt[] {
    return [...this.#attempts]
  }

  add(attempt: CallAttempt): void {
    this.#attempts.add(attempt)
  }

  delete(attempt: CallAttempt): void {
    this.#attempts.delete(attempt)
  }

  others(attempt: CallAttempt): CallAttempt[] {
    return this.all.filter((other) => other !== attempt)
  }

  sweep(now: number): void {
    for (const attempt of this.#attempts) attempt.sweep(now)
  }
}
