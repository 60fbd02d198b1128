/**
 * Measuring budget of the control leader. Tokens are whole ms of slot time per service and window. The sum granted in a
 * window never exceeds the budget, and a grant states how much of the window is left, so that tokens cannot outlive it.
 */
import type { NodeId, ServiceName } from '@bilberrystall/base'

export interface Grant {
  readonly service: ServiceName
  /** Ms of slot time the entry may spend on probes. */
  readonly tokens: number
  /** Ms until the tokens expire, counted by the entry from the sending of its request. */
  readonly validFor: number
}

export interface LedgerLimits {
  /** Length of a window in ms, default 10,000. */
  readonly window?: number
  /** Longest time in ms without contact to a majority during which the leader still grants, default 1,000. */
  readonly leadership?: number
}

interface Account {
  budget: number
  granted: number
  readonly servedEntries: Set<NodeId>
}

export class MeasuringLedger {
  readonly #window: number
  readonly #leadership: number
  readonly #accounts = new Map<ServiceName, Account>()
  #firstWindow = Number.POSITIVE_INFINITY
  #windowNumber = -1
  #confirmedAt = Number.NEGATIVE_INFINITY

  constructor(limits: LedgerLimits = {}) {
    this.#window = limits.window ?? 10_000
    this.#leadership = limits.leadership ?? 1000
  }

  /**
   * This node became leader. Grants of the previous leader live for up to one window, and it may have granted until
   * its leadership lapsed, so nothing is granted for a whole window plus that time.
   */
  lead(now: number): void {
    this.#firstWindow = now + this.#window + this.#leadership
    this.#windowNumber = -1
    this.#confirmedAt = now
    for (const account of this.#accounts.values()) this.#reset(account)
  }

  /** A majority confirmed the leadership of a request sent at `sentAt`. */
  confirmed(sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
  }

  /** This node is no longer leader. */
  stepDown(): void {
    this.#firstWindow = Number.POSITIVE_INFINITY
    this.#confirmedAt = Number.NEGATIVE_INFINITY
  }

  /** Sets the budget in ms of slot time per window. A lower budget applies to what is granted from now on. */
  setBudget(service: ServiceName, budget: number): void {
    const whole = Math.max(0, Math.floor(budget))
    const account = this.#accounts.get(service)
    if (account === undefined) {
      this.#accounts.set(service, { budget: whole, granted: 0, servedEntries: new Set() })
    } else {
      account.budget = whole
    }
  }

  /**
   * Grants up to `wanted` ms to an entry: an equal share of what is left among the entries not served in this window.
   * `unit` is the cost of one probe; a grant is a multiple of it.
   */
  request(
    ask: { entry: NodeId; service: ServiceName; wanted: number; unit: number; liveEntries: number },
    now: number,
  ): Grant {
    const none = { service: ask.service, tokens: 0, validFor: 0 }
    if (now < this.#firstWindow || now - this.#confirmedAt > this.#leadership) return none
    this.#roll(now)
    const account = this.#accounts.get(ask.service)
    if (account === undefined || ask.unit <= 0) return none
    const left = account.budget - account.granted
    const waiting = Math.max(1, ask.liveEntries - account.servedEntries.size)
    const share = Math.floor(Math.min(ask.wanted, left / waiting) / ask.unit) * ask.unit
    const tokens = share > 0 ? share : this.#smallest(ask, left)
    account.servedEntries.add(ask.entry)
    account.granted += tokens
    return { service: ask.service, tokens, validFor: this.#windowEnd() - now }
  }

  /** Ms granted for the service in the window of `now`. */
  granted(service: ServiceName, now: number): number {
    this.#roll(now)
    return this.#accounts.get(service)?.granted ?? 0
  }

  /** One probe when an equal share is less than one: the first entries to ask are served. */
  #smallest(ask: { wanted: number; unit: number }, left: number): number {
    return left >= ask.unit && ask.wanted >= ask.unit ? ask.unit : 0
  }

  #windowEnd(): number {
    return this.#firstWindow + (this.#windowNumber + 1) * this.#window
  }

  #roll(now: number): void {
    if (now < this.#firstWindow) return
    const number = Math.floor((now - this.#firstWindow) / this.#window)
    if (number <= this.#windowNumber) return
    this.#windowNumber = number
    for (const account of this.#accounts.values()) this.#reset(account)
  }

  #reset(account: Account): void {
    account.granted = 0
    account.servedEntries.clear()
  }
}
