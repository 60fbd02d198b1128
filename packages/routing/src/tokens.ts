/**
 * Measuring tokens held by one entry. They expire on the entry's own clock, counted from the sending of the request
 * that obtained them, which is earlier than the grant itself; so an isolated entry stops probing within one window.
 */
import type { ServiceName } from '@bilberrystall/base'
import type { Grant } from './ledger'

interface Holding {
  tokens: number
  expiresAt: number
}

export class MeasuringTokens {
  readonly #holdings = new Map<ServiceName, Holding[]>()

  /** Adds a grant that answers a request sent at `sentAt`. */
  add(grant: Grant, sentAt: number): void {
    if (grant.tokens <= 0) return
    const holdings = this.#holdings.get(grant.service) ?? []
    holdings.push({ tokens: grant.tokens, expiresAt: sentAt + grant.validFor })
    this.#holdings.set(grant.service, holdings)
  }

  /** Ms of slot time that can still be spent. */
  available(service: ServiceName, now: number): number {
    return this.#live(service, now).reduce((sum, holding) => sum + holding.tokens, 0)
  }

  /** Spends `cost` ms of slot time that ends within the window; false when no grant covers it. */
  take(service: ServiceName, cost: number, now: number): boolean {
    const holding = this.#live(service, now).find((held) => held.tokens >= cost && now + cost <= held.expiresAt)
    if (holding === undefined) return false
    holding.tokens -= cost
    return true
  }

  #live(service: ServiceName, now: number): readonly Holding[] {
    const holdings = this.#holdings.get(service)
    if (holdings === undefined) return []
    const live = holdings.filter((holding) => holding.expiresAt > now && holding.tokens > 0)
    if (live.length < holdings.length) this.#holdings.set(service, live)
    return live
  }
}
