/** Tells the call path which requests must not reach servers; by default all may. */
import type { RequestId } from '@bilberrystall/base'
import type { RequestStanding } from '@bilberrystall/quarantine'

export interface RequestGate {
  /** Whether any request is suspected or quarantined; otherwise requests need not be identified. */
  readonly isActive: () => boolean
  readonly standing: (request: RequestId) => RequestStanding
  /** A server ran the request to its end. */
  readonly completed: (request: RequestId) => void
}

export const OPEN_GATE: RequestGate = {
  isActive: () => false,
  standing: () => ({ kind: 'clear' }),
  completed: () => undefined,
}
