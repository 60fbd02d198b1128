/** Evacuated failure domains, as control lists them. */
import type { FailureDomain } from '@bilberrystall/base'

export class EvacuatedDomains {
  #domains: ReadonlySet<FailureDomain> = new Set()

  has(domain: FailureDomain): boolean {
    return this.#domains.has(domain)
  }

  /** Replaces the list and returns the domains that are no longer evacuated. */
  replace(domains: readonly FailureDomain[]): readonly FailureDomain[] {
    const before = this.#domains
    this.#domains = new Set(domains)
    return [...before].filter((domain) => !this.#domains.has(domain))
  }
}
