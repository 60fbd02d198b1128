/** Converts claim messages to and from their wire format. */
import { attemptId, idempotencyKey } from '@bilberrystall/base'
import type { Ending, HolderReply, KeyUse } from '@bilberrystall/claims'
import {
  ClaimResult,
  RecordResult,
  type ClaimResponse,
  type Ending as WireEnding,
  type KeyUse as WireUse,
} from '@bilberrystall/rpc'
import { create } from '@bufbuild/protobuf'
import { ClaimResponseSchema, EndingSchema } from '@bilberrystall/rpc'

export function keyUseFromWire(use: WireUse): KeyUse {
  const { fingerprint, scope, retentionMs } = use
  return { key: idempotencyKey(use.key), attempt: attemptId(use.attempt), fingerprint, scope, retentionMs }
}

export function endingToWire(ending: Ending): WireEnding {
  if (ending.kind === 'unknown') return create(EndingSchema, { ending: { case: 'unknown', value: {} } })
  const { status, contentType = '', body } = ending
  const response = body === undefined ? { status, contentType } : { status, contentType, body: new Uint8Array(body) }
  return create(EndingSchema, { ending: { case: 'response', value: response } })
}

export function endingFromWire(wire: WireEnding | undefined): Ending {
  if (wire?.ending.case !== 'response') return { kind: 'unknown' }
  const { status, contentType, body } = wire.ending.value
  const type = contentType === '' ? {} : { contentType }
  return { kind: 'response', status, ...type, ...(body === undefined ? {} : { body }) }
}

const CLAIM_RESULTS = {
  granted: ClaimResult.GRANTED,
  held: ClaimResult.HELD,
  abandoned: ClaimResult.ABANDONED,
  ended: ClaimResult.ENDED,
  released: ClaimResult.RELEASED,
  abstained: ClaimResult.ABSTAINED,
  expired: ClaimResult.EXPIRED,
  full: ClaimResult.FULL,
  recorded: ClaimResult.UNSPECIFIED,
  unreachable: ClaimResult.UNSPECIFIED,
} as const satisfies Record<HolderReply['kind'], ClaimResult>

export function claimReplyToWire(reply: HolderReply): ClaimResponse {
  const sameRequest = 'sameRequest' in reply && reply.sameRequest
  const ending = reply.kind === 'ended' ? { ending: endingToWire(reply.ending) } : {}
  return create(ClaimResponseSchema, { result: CLAIM_RESULTS[reply.kind], sameRequest, ...ending })
}

/** Results that this version does not know are treated as abstained. */
export function claimReplyFromWire(wire: ClaimResponse): HolderReply {
  const { sameRequest } = wire
  switch (wire.result) {
    case ClaimResult.GRANTED:
      return { kind: 'granted' }
    case ClaimResult.HELD:
      return { kind: 'held', sameRequest }
    case ClaimResult.ABANDONED:
      return { kind: 'abandoned', sameRequest }
    case ClaimResult.ENDED:
      return { kind: 'ended', sameRequest, ending: endingFromWire(wire.ending) }
    case ClaimResult.RELEASED:
      return { kind: 'released' }
    case ClaimResult.ABSTAINED:
    case ClaimResult.UNSPECIFIED:
      return { kind: 'abstained' }
    case ClaimResult.EXPIRED:
      return { kind: 'expired' }
    case ClaimResult.FULL:
      return { kind: 'full' }
    default:
      return { kind: 'abstained' }
  }
}

export function recordReplyToWire(reply: HolderReply): RecordResult {
  if (reply.kind === 'recorded') return RecordResult.RECORDED
  return reply.kind === 'expired' ? RecordResult.EXPIRED : RecordResult.FULL
}

export function recordReplyFromWire(result: RecordResult): HolderReply {
  if (result === RecordResult.RECORDED) return { kind: 'recorded' }
  return { kind: result === RecordResult.EXPIRED ? 'expired' : 'full' }
}
