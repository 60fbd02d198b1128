/** Health of a node as the platform's balancer sees it. */
import type { Health } from './status-listener'

/** Below the 11 s within which a change is in force everywhere. */
export const CONTACT_LIMIT_MS = 10_000

export interface HealthInput {
  readonly leaving: boolean
  /** Whether a document is in force here; always true on nodes without the entry role. */
  readonly documentInForce: boolean
  /** Time since control confirmed the document as the newest. */
  readonly confirmedAgeMs: number
  /** Time since the last exchange with any other node. */
  readonly heardAgeMs: number
}

/**
 * An entry that hears nobody answers 503, so that the balancer sends callers to other entries; calls that still arrive
 * are served. With peers but without control it stays in use, because its peers are in the same position.
 */
export function healthOf(input: HealthInput): Health {
  if (input.leaving) return { state: 'leaving' }
  if (!input.documentInForce) return { state: 'not-ready', reason: 'no confirmed document' }
  if (input.confirmedAgeMs <= CONTACT_LIMIT_MS) return { state: 'ready' }
  const seconds = Math.floor(Math.min(input.confirmedAgeMs, Number.MAX_SAFE_INTEGER) / 1000)
  const reason = `no confirmation from control for ${seconds} s`
  return input.heardAgeMs <= CONTACT_LIMIT_MS ? { state: 'stale', reason } : { state: 'isolated', reason }
}
