/** Attempts that a call may still make, bounded by its own limit, its deadline and the retry budget of its service. */
import type { ServiceName } from '@bilberrystall/base'
import type { Route } from '@bilberrystall/document'
import type { CallDependencies } from './call-dependencies'
import type { RequestBody } from './request-body'
import type { AttemptKind } from './router-call'

/** Further servers tried after refused connections, beside the retries that the budget allows. */
const MAX_RECONNECTS = 2

/**
 * Why a request is sent once more:
 * - `retry`: the attempt before ended, and nothing may have run or the call may run twice.
 * - `reconnect`: a server could not be connected to.
 * - `relay`: an attempt was sent, and another entry is to repeat it.
 * - the others: beside an attempt in progress, see `AttemptKind`.
 */
export type RepeatKind = 'retry' | 'reconnect' | 'relay' | Exclude<AttemptKind, 'regular'>

export interface Repeat {
  readonly service: ServiceName
  readonly kind: RepeatKind
  /** Whether the retry budget of the service was used for it, or did not allow it. */
  readonly budget: 'used' | 'exhausted' | 'not-needed'
}

export interface AttemptBudgetOptions {
  readonly attempts: number
  readonly body: RequestBody
  readonly route: Route
  readonly dependencies: Pick<CallDependencies, 'driver' | 'onRepeat'>
  /** Returns the time in ms until the deadline of the call. */
  readonly remaining: () => number
}

export class AttemptBudget {
  readonly #options: AttemptBudgetOptions
  #left: number
  #reconnectsLeft = MAX_RECONNECTS

  constructor(options: AttemptBudgetOptions) {
    this.#options = options
    this.#left = options.attempts
  }

  get left(): number {
    return this.#left
  }

  take(): void {
    this.#left -= 1
  }

  /**
   * Takes the attempts that another entry may make. A repeatable call keeps one, in case that entry is lost. Without
   * `mayHaveRun` the attempts so far ran nowhere, so one is left in any case.
   */
  grant(mayHaveRun: boolean): number {
    const available = mayHaveRun ? this.#left : Math.max(1, this.#left)
    const granted = this.#options.route.repeatable && available > 1 ? available - 1 : available
    this.#left = available - granted
    return granted
  }

  /** Adds attempts that the other entry did not make. */
  giveBack(granted: number): void {
    this.#left += granted
  }

  /** Whether the request can be sent once more, regardless of the retry budget of its service. */
  get canSend(): boolean {
    const { body, remaining } = this.#options
    return this.#left > 0 && body.buffered !== undefined && remaining() > 0
  }

  /** Takes a retry from the budget of the service. */
  mayRetry(kind: RepeatKind): boolean {
    if (!this.canSend) return false
    const { dependencies, route } = this.#options
    const { driver, onRepeat } = dependencies
    const isAllowed = driver.mayRetry(route.service)
    onRepeat({ service: route.service, kind, budget: isAllowed ? 'used' : 'exhausted' })
    return isAllowed
  }

  /** A server that could not be connected to received nothing, so trying another one adds no load that a budget limits. */
  mayReconnect(): boolean {
    const { body, remaining, route, dependencies } = this.#options
    if (this.#reconnectsLeft === 0 || !body.canSend || remaining() <= 0) return false
    this.#reconnectsLeft -= 1
    this.#left += 1
    dependencies.onRepeat({ service: route.service, kind: 'reconnect', budget: 'not-needed' })
    return true
  }
}
