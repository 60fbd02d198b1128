/** Delays the start of a call until control has decided on the quota of its organisation. */
import type { PendingQuota } from '@bilberrystall/routing'
import type { Call } from './call'
import type { Dialect } from './dialect'

export function startAdmitted(
  call: Pick<Call, 'start' | 'refuse'>,
  quota: PendingQuota | undefined,
  dialect: Pick<Dialect, 'retryAfter'>,
): void {
  if (quota === undefined) {
    call.start()
    return
  }
  quota.onSettled((settled) => {
    if (settled.kind === 'admitted') call.start()
    else call.refuse('quotaExceeded', { 'retry-after': dialect.retryAfter(settled.retryAfterMs) })
  })
}
