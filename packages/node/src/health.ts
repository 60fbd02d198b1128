/** Health of a node as reported to the platform's load balancer. */
import type { Health } from './status-listener'

/** Less than the 11 s within which a change must be in force on every node. */
export const MAX_CONTACT_AGE_MS = 10_000

export interface HealthInput {
  readonly leaving: boolean
  /** Whether a document is in force on this node; always true on nodes without the entry role. */
  readonly documentInForce: boolean
  /** Time since control last confirmed the document as the newest. */
  readonly confirmedAgeMs: number
  /** Time since the last exchange with any other node. */
  readonly lastExchangeAgeMs: number
}

/**
 * An entry without contact to control or any other node responds with 503, so that the balancer sends callers to other
 * entries; calls that still arrive are served. An entry that reaches other nodes but not control stays in use, because
 * its peers are in the same situation.
 */
export function computeHealth(input: HealthInput): Health {
  if (input.leaving) return { state: 'leaving' }
  if (!input.documentInForce) return { state: 'not-ready', reason: 'no confirmed document' }
  if (input.confirmedAgeMs <= MAX_CONTACT_AGE_MS) return { state: 'ready' }
  const seconds = Math.floor(Math.min(input.confirmedAgeMs, Number.MAX_SAFE_INTEGER) / 1000)
  const reason = `no confirmation from control for ${seconds} s`
  return input.lastExchangeAgeMs <= MAX_CONTACT_AGE_MS ? { state: 'stale', reason } : { state: 'isolated', reason }
}
