/** Conditions under which a call of an organisation is admitted, beyond its key being known. */
import type { OrganisationName } from '@bilberrystall/base'

export interface CallAdmission {
  /** Whether the entry can be sure that no key in its document was taken away. */
  readonly areKeysConfirmed: () => boolean
  /** Counts a call of the organisation. Returns undefined if it is admitted, otherwise the time in ms until one may be. */
  readonly takeQuota: (organisation: OrganisationName) => number | undefined
}

/** Admits every call; used without quotas and without strict revocation of keys. */
export const OPEN_ADMISSION: CallAdmission = {
  areKeysConfirmed: () => true,
  takeQuota: () => undefined,
}
