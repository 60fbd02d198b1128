/** Conditions under which a call of an organisation is admitted, beyond its key being known. */
import type { OrganisationName } from '@bilberrystall/base'
import type { QuotaDecision } from '@bilberrystall/routing'

export interface CallAdmission {
  /** Whether the entry can be sure that no key in its document was taken away. */
  readonly areKeysConfirmed: () => boolean
  /** Counts a call of the organisation and decides on it, or asks control, which settles the decision soon. */
  readonly takeQuota: (organisation: OrganisationName) => QuotaDecision
}

/** Admits every call; used without quotas and without strict revocation of keys. */
export const OPEN_ADMISSION: CallAdmission = {
  areKeysConfirmed: () => true,
  takeQuota: () => ({ kind: 'admitted' }),
}
