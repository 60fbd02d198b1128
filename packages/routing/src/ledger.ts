/**
 * Ledger of the measuring budget, kept by the control leader. The budget limits the slot time that entries spend on
 * probes, in whole ms per service and window. The sum of grants in a window never exceeds the budget. A grant states
 * how much of the window is left, so that tokens cannot outlive it.
 */
import type { NodeId, ServiceName } from '@bilberrystall/base'

export interface Grant {
  readonly service: ServiceName
  /** Slot time in ms that the entry may spend on probes. */
  readonly tokens: number
  /** Time in ms until the tokens expire, counted by the entry from the time at which it sent its request. */
  readonly validFor: number
}

export interface LedgerLimits {
  /** Length of a window in ms, default 10,000. */
  readonly window?: number
  /** Time in ms without contact to a majority after which the leader stops granting, default 1,000. */
  readonly leadershipTimeout?: number
}

interface Account {
  budget: number
  granted: number
  readonly servedEntries: Set<NodeId>
}

export class MeasuringLedger {
  readonly #window: number
  readonly #leadershipTimeout: number
  readonly #accounts = new Map<ServiceName, Account>()
  #firstWindowAt = Number.POSITIVE_INFINITY
  #windowNumber = -1
  #confirmedAt = Number.NEGATIVE_INFINITY

  constructor(limits: LedgerLimits = {}) {
    this.#window = limits.window ?? 10_000
    this.#leadershipTimeout = limits.leadershipTimeout ?? 1000
  }

  /**
   * Called when this node becomes leader. Grants of the previous leader are valid for up to one window, and it may have
   * granted until its leadership timed out, so nothing is granted for one window plus that timeout.
   */
  becomeLeader(now: number): void {
    this.#firstWindowAt = now + this.#window + this.#leadershipTimeout
    this.#windowNumber = -1
    this.#confirmedAt = now
    for (const account of this.#accounts.values()) this.#reset(account)
  }

  /** Called when a majority has confirmed the leadership by answering a request that was sent at `sentAt`. */
  confirmed(sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, sentAt)
  }

  /** Called when this node is no longer leader. */
  stepDown(): void {
    this.#firstWindowAt = Number.POSITIVE_INFINITY
    this.#confirmedAt = Number.NEGATIVE_INFINITY
  }

  /** Sets the budget in ms of slot time per window. A lower budget does not revoke earlier grants. */
  setBudget(service: ServiceName, budget: number): void {
    const wholeBudget = Math.max(0, Math.floor(budget))
    const account = this.#accounts.get(service)
    if (account === undefined) {
      this.#accounts.set(service, { budget: wholeBudget, granted: 0, servedEntries: new Set() })
    } else {
      account.budget = wholeBudget
    }
  }

  /**
   * Grants up to `wanted` ms to an entry: an equal share of the remaining budget among the entries that were not served
   * in this window. `unit` is the cost of one probe in ms; a grant is a multiple of it.
   */
  request(
    request: { entry: NodeId; service: ServiceName; wanted: number; unit: number; liveEntries: number },
    now: number,
  ): Grant {
    const noGrant = { service: request.service, tokens: 0, validFor: 0 }
    if (now < this.#firstWindowAt || now - this.#confirmedAt > this.#leadershipTimeout) return noGrant
    this.#advanceWindow(now)
    const account = this.#accounts.get(request.service)
    if (account === undefined || request.unit <= 0) return noGrant
    const remaining = account.budget - account.granted
    const unservedEntries = Math.max(1, request.liveEntries - account.servedEntries.size)
    const share = Math.floor(Math.min(request.wanted, remaining / unservedEntries) / request.unit) * request.unit
    const tokens = share > 0 ? share : this.#singleProbe(request, remaining)
    account.servedEntries.add(request.entry)
    account.granted += tokens
    return { service: request.service, tokens, validFor: this.#windowEnd() - now }
  }

  /** Returns the slot time in ms that was granted for the service in the window of `now`. */
  granted(service: ServiceName, now: number): number {
    this.#advanceWindow(now)
    return this.#accounts.get(service)?.granted ?? 0
  }

  /** Grants one probe if an equal share is less than one probe, so that the first entries to ask are served. */
  #singleProbe(request: { wanted: number; unit: number }, remaining: number): number {
    return remaining >= request.unit && request.wanted >= request.unit ? request.unit : 0
  }

  #windowEnd(): number {
    return this.#firstWindowAt + (this.#windowNumber + 1) * this.#window
  }

  #advanceWindow(now: number): void {
    if (now < this.#firstWindowAt) return
    const windowNumber = Math.floor((now - this.#firstWindowAt) / this.#window)
    if (windowNumber <= this.#windowNumber) return
    this.#windowNumber = windowNumber
    for (const account of this.#accounts.values()) this.#reset(account)
  }

  #reset(account: Account): void {
    account.granted = 0
    account.servedEntries.clear()
  }
}
