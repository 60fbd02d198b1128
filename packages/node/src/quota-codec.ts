/** Limits of organisations in a document, and the encoding of quotas in lease requests and responses. */
import { organisationName } from '@bilberrystall/base'
import type { Document } from '@bilberrystall/document'
import type { OrganisationRequest, OrganisationShare, QuotaLimit } from '@bilberrystall/routing'
import type { QuotaDemand, QuotaShare } from '@bilberrystall/rpc'

/** Returns the limits of the organisations that have one. */
export function quotaLimits(document: Document | undefined): readonly QuotaLimit[] {
  const organisations = [...(document?.organisations.values() ?? [])]
  return organisations.flatMap(({ name, rate = 0, burst = 0 }) =>
    rate > 0 ? [{ organisation: name, rate, burst }] : [],
  )
}

export function encodeStatement({
  quotaSequence,
  quotas,
}: {
  readonly quotaSequence: bigint
  readonly quotas: readonly OrganisationRequest[]
}) {
  return { quotaSequence, quotas: [...quotas] }
}

export function decodeDemand({ organisation, ...demand }: QuotaDemand): OrganisationRequest {
  const { demandPerS, heldPerS, heldBurst, tokens, waiting, returned } = demand
  return { organisation: organisationName(organisation), demandPerS, heldPerS, heldBurst, tokens, waiting, returned }
}

export function decodeShare({ organisation, ratePerS, burst, tokens, validForMs }: QuotaShare): OrganisationShare {
  return { organisation: organisationName(organisation), ratePerS, burst, tokens, validForMs }
}
