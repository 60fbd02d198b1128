/**
 * Measuring tokens of one entry, which pay for probes. They expire by the entry's own clock, counted from the time at
 * which the request was sent, which is earlier than the grant. An isolated entry therefore stops probing within one
 * window.
 */
import type { ServiceName } from '@bilberrystall/base'
import type { Grant } from './ledger'

interface HeldGrant {
  tokens: number
  expiresAt: number
}

export class MeasuringTokens {
  readonly #grants = new Map<ServiceName, HeldGrant[]>()

  /** Adds the grant for a request that was sent at `sentAt`. */
  add(grant: Grant, sentAt: number): void {
    if (grant.tokens <= 0) return
    const grants = this.#grants.get(grant.service) ?? []
    grants.push({ tokens: grant.tokens, expiresAt: sentAt + grant.validFor })
    this.#grants.set(grant.service, grants)
  }

  /** Returns the slot time in ms that can still be spent. */
  available(service: ServiceName, now: number): number {
    return this.#unexpired(service, now).reduce((sum, heldGrant) => sum + heldGrant.tokens, 0)
  }

  /** Spends `cost` ms of slot time that ends before the grant expires; false if no single grant covers it. */
  take(service: ServiceName, cost: number, now: number): boolean {
    const heldGrant = this.#unexpired(service, now).find((held) => held.tokens >= cost && now + cost <= held.expiresAt)
    if (heldGrant === undefined) return false
    heldGrant.tokens -= cost
    return true
  }

  #unexpired(service: ServiceName, now: number): readonly HeldGrant[] {
    const grants = this.#grants.get(service)
    if (grants === undefined) return []
    const unexpired = grants.filter((heldGrant) => heldGrant.expiresAt > now && heldGrant.tokens > 0)
    if (unexpired.length < grants.length) this.#grants.set(service, unexpired)
    return unexpired
  }
}
