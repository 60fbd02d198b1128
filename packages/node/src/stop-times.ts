/** Divides the time of a planned stop between the balancer, which has to notice it, and the calls in flight. */
import type { EntrySettings } from './settings'

/** Time that a node needs to close its resources after its last call has ended. */
const CLOSE_MARGIN_MS = 500

export type StopTimes = Pick<EntrySettings, 'balancerGraceMs' | 'stopLimitMs'>

/** Limits the times so that they end before the platform kills the process, `killAfterMs` after the stop began. */
export function limitStopTimes({ balancerGraceMs, stopLimitMs }: StopTimes, killAfterMs: number): StopTimes {
  const availableMs = Math.max(0, killAfterMs - CLOSE_MARGIN_MS)
  const graceMs = Math.min(balancerGraceMs, availableMs / 2)
  return { balancerGraceMs: graceMs, stopLimitMs: Math.min(stopLimitMs, availableMs - graceMs) }
}
