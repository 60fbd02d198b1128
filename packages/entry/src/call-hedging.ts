/**
 * Hedging of one call: waits until the policy of its service allows a hedged attempt, starts it, and reports what became
 * of it. The first attempt continues, since its server may still respond first.
 */
import type { CodeName, ServerId } from '@bilberrystall/base'
import type { Route } from '@bilberrystall/document'
import { hasFullQueue, type HedgeDecision, type HedgeDenial, type ServiceHedging } from '@bilberrystall/routing'
import type { CallAttempt } from './call-attempt'
import type { CallDependencies } from './call-dependencies'
import type { AttemptKind } from './router-call'

/** Resolution of timers. */
const MIN_TIMER_MS = 1

export interface CallHedgingOptions {
  readonly dependencies: CallDependencies
  readonly route: Route
  /** Monotonic ms. */
  readonly acceptedAt: number
  /** Monotonic ms. */
  readonly deadline: number
  /** Whether a second attempt could still provide the response: one is in progress, and no response has begun. */
  readonly canHelp: () => boolean
  /** Whether the request may be sent to one more server, regardless of the budgets. */
  readonly canSend: () => boolean
  /** Submits the hedged attempt to the router. */
  readonly start: () => void
}

/** An attempt for which a server was chosen. */
export interface ChosenAttempt {
  readonly attempt: CallAttempt
  readonly server: ServerId
  readonly kind: AttemptKind
}

/** The attempt that a hedged one is to overtake. */
interface FirstAttempt extends ChosenAttempt {
  readonly sentAt: number
}

export class CallHedging {
  readonly #options: CallHedgingOptions
  readonly #policy: ServiceHedging
  #timer: NodeJS.Timeout | undefined
  #isEnded = false
  #first: FirstAttempt | undefined
  /** Hedged attempt whose result is open. */
  #hedged: CallAttempt | undefined

  constructor(options: CallHedgingOptions) {
    this.#options = options
    this.#policy = options.dependencies.driver.hedging.of(options.route.service)
  }

  /**
   * Called when a server was chosen for an attempt. Returns whether it is sent, for which `mayBeSent` checks what has
   * nothing to do with hedging, last of all the retry budget.
   */
  send(chosen: ChosenAttempt, mayBeSent: () => boolean): boolean {
    if (chosen.kind === 'hedged') return this.#sendHedged(chosen, mayBeSent)
    const isSent = mayBeSent()
    if (isSent && chosen.kind === 'regular') this.#onRegularSent(chosen)
    return isSent
  }

  /** The router found no server for an attempt; without another attempt in progress the call is refused. */
  onShed(kind: AttemptKind): void {
    switch (kind) {
      case 'hedged':
        this.#deny('no-free-server')
        return
      case 'regular':
        this.#policy.refused(this.#now())
        return
      case 'silent':
      case 'unanswered':
    }
  }

  /** A server responded to `winner`. */
  onHead(winner: CallAttempt): void {
    this.#settle(winner === this.#hedged ? 'won' : 'lost')
    const now = this.#now()
    const first = this.#first
    if (first?.attempt === winner) this.#policy.responded(now - first.sentAt, now)
  }

  /** Returns the cause to cancel an attempt with that another one has overtaken. */
  onOvertaken(loser: CallAttempt): CodeName {
    const first = this.#first
    const { driver } = this.#options.dependencies
    // Without a limit the router does not learn of it, as before limits were added.
    if (first?.attempt !== loser || this.#policy.limit === undefined) return 'callerCancelled'
    const now = this.#now()
    const age = now - first.sentAt
    // A request that the server may have discarded says nothing of the latency.
    if (!hasFullQueue(driver.loadReport(first.server))) this.#policy.abandoned(age, now)
    // Reported as a timeout, so that hedging does not hide from the router that the server is slow.
    return age > driver.p95Latency(this.#options.route.service) ? 'deadlineUnknown' : 'callerCancelled'
  }

  /** The call has ended. */
  end(): void {
    this.#isEnded = true
    clearTimeout(this.#timer)
    this.#settle('lost')
  }

  #settle(result: 'won' | 'lost'): void {
    if (this.#hedged === undefined) return
    this.#hedged = undefined
    this.#policy.totals.results[result] += 1
  }

  #sendHedged({ attempt }: ChosenAttempt, mayBeSent: () => boolean): boolean {
    const now = this.#now()
    const obstacle = this.#policy.obstacle(now)
    if (obstacle !== undefined) {
      this.#deny(obstacle)
      return false
    }
    const isSent = mayBeSent()
    if (isSent) {
      this.#settle('lost')
      this.#hedged = attempt
      this.#policy.hedgeSent(now)
    } else if (!this.#isEnded) {
      this.#deny('retry-budget')
    }
    return isSent
  }

  #onRegularSent(chosen: ChosenAttempt): void {
    const now = this.#now()
    if (this.#first === undefined) this.#policy.callSent(now)
    this.#first = { ...chosen, sentAt: now }
    clearTimeout(this.#timer)
    const { dependencies, route, acceptedAt, deadline } = this.#options
    if (!dependencies.queriesLoad || !route.repeatable) return
    const decision = this.#policy.decide({ acceptedAt, sentAt: now, target: route.targetMs, deadline }, now)
    // The attempt is sent right after this, so a hedged one cannot start before.
    this.#apply(decision.kind === 'hedge' ? { kind: 'wait', until: now } : decision, now)
  }

  /** A timer may fire up to 1 ms before `dueAt`. */
  #decide(dueAt: number): void {
    if (this.#first === undefined || !this.#options.canHelp()) return
    const { route, acceptedAt, deadline } = this.#options
    const { sentAt } = this.#first
    const now = Math.max(this.#now(), dueAt)
    this.#apply(this.#policy.decide({ acceptedAt, sentAt, target: route.targetMs, deadline }, now), now)
  }

  #apply(decision: HedgeDecision, now: number): void {
    switch (decision.kind) {
      case 'hedge':
        if (this.#options.canSend()) this.#options.start()
        else this.#deny('not-resendable')
        return
      case 'wait':
        this.#timer = setTimeout(
          () => {
            this.#decide(decision.until)
          },
          Math.max(MIN_TIMER_MS, decision.until - now),
        )
        return
      case 'denied':
        this.#deny(decision.reason)
        return
      case 'never':
    }
  }

  #deny(reason: HedgeDenial): void {
    this.#policy.totals.denials[reason] += 1
  }

  #now(): number {
    return this.#options.dependencies.clock.monotonic()
  }
}
