/**
 * Outcomes of operator requests, and how a node encodes them for the node that forwarded the request.
 */
import { RESULT_CODES, failure, nodeId, type CodeName, type Failure, type NodeId } from '@bilberrystall/base'
import type { ChangeResult, Command } from '@bilberrystall/control'
import type { SubmitFailed, SubmitResponse } from '@bilberrystall/rpc'

/** Commands whose effect the entries must know. They can be applied repeatedly with the same effect. */
export type AcknowledgedCommand = Extract<Command, { kind: 'submit' | 'amend' | 'promote' | 'depart' | 'evacuate' }>

export function isAcknowledgedCommand(command: Command): command is AcknowledgedCommand {
  return ['submit', 'amend', 'promote', 'depart', 'evacuate'].includes(command.kind)
}

export type SubmitOutcome =
  | { readonly kind: 'change'; readonly result: ChangeResult; readonly repeated: boolean }
  | { readonly kind: 'recorded' }
  /** The request may have taken effect; submitting the same change again returns its result. */
  | { readonly kind: 'unknown' }
  /** The request took no effect. */
  | { readonly kind: 'failed'; readonly failure: Failure }

/** Why a node did not settle a request. */
const RETRY_REASONS = [
  'not-leader',
  'too-few-voters',
  'changes-not-applied',
  'not-committed',
  'not-proposed',
  'no-response',
  'address-unknown',
  'abandoned',
] as const

export type RetryReason = (typeof RETRY_REASONS)[number]

/** The request is not settled at a node; `leader` and `address` are empty if it does not know another leader. */
export interface NotLeader {
  readonly kind: 'not-leader'
  readonly reason: RetryReason
  readonly leader: string
  readonly address: string
}

export interface Retry {
  readonly kind: 'retry'
  readonly reason: RetryReason
  /** Whether the request may have taken effect. */
  readonly sent: boolean
  readonly leader: NodeId | undefined
}

export type AttemptOutcome = SubmitOutcome | Retry

/** An attempt of a request at one node, with times in milliseconds since the request arrived. */
export interface AttemptReport {
  readonly node: NodeId
  readonly startedMs: number
  readonly endedMs: number
  readonly result: RetryReason | 'settled' | 'unknown' | 'pending'
}

export interface SubmitReport {
  readonly command: Command
  readonly outcome: SubmitOutcome
  readonly ms: number
  readonly attempts: readonly AttemptReport[]
}

export function retry(
  reason: RetryReason,
  { sent = false, leader }: Partial<Pick<Retry, 'sent' | 'leader'>> = {},
): Retry {
  return { kind: 'retry', reason, sent, leader }
}

const CODE_NAMES = new Map(Object.entries(RESULT_CODES).map(([name, code]) => [code.number, name as CodeName]))

function codeName(number: number): CodeName {
  return CODE_NAMES.get(number) ?? 'internal'
}

export function decodeSubmitResponse({ outcome }: SubmitResponse): AttemptOutcome {
  switch (outcome.case) {
    case 'accepted': {
      const { revision, digest, repeated } = outcome.value
      const result = { kind: 'accepted', revision: Number(revision), digest } as ChangeResult
      return { kind: 'change', result, repeated }
    }
    case 'refused': {
      const { code, message, currentRevision, faults, repeated } = outcome.value
      const base = { kind: 'refused', code: codeName(code), message, currentRevision: Number(currentRevision) }
      const plainFaults = faults.map(({ section, key, reason }) => ({ section, key, reason }))
      const result = (faults.length === 0 ? base : { ...base, faults: plainFaults }) as ChangeResult
      return { kind: 'change', result, repeated }
    }
    case 'recorded':
      return { kind: 'recorded' }
    case 'failed': {
      const { unknown, code, message, leader } = outcome.value
      if (unknown) return { kind: 'unknown' }
      const name = codeName(code)
      if (name !== 'notLeader') return { kind: 'failed', failure: failure(name, message) }
      // Earlier builds state no reason.
      const reason = RETRY_REASONS.find((known) => known === message) ?? 'not-leader'
      return retry(reason, { leader: leader === '' ? undefined : nodeId(leader) })
    }
    case undefined:
      return retry('no-response', { sent: true })
  }
}

/** Encodes the response to the node that forwarded a request. */
export function encodeSubmitResponse(outcome: SubmitOutcome | NotLeader) {
  switch (outcome.kind) {
    case 'change': {
      const { result, repeated } = outcome
      if (result.kind === 'accepted') {
        const value = { revision: BigInt(result.revision), digest: result.digest, repeated }
        return { outcome: { case: 'accepted' as const, value } }
      }
      const { message, currentRevision, faults = [] } = result
      const code = RESULT_CODES[result.code].number
      const value = { code, message, currentRevision: BigInt(currentRevision), faults: [...faults], repeated }
      return { outcome: { case: 'refused' as const, value } }
    }
    case 'recorded':
      return { outcome: { case: 'recorded' as const, value: {} } }
    case 'unknown':
      return encodeFailure(failure('changeUnknown'), { unknown: true })
    case 'failed':
      return encodeFailure(outcome.failure, {})
    case 'not-leader':
      return encodeFailure(failure('notLeader', outcome.reason), {
        leader: outcome.leader,
        leaderAddress: outcome.address,
      })
  }
}

function encodeFailure(
  cause: Failure,
  { leader = '', leaderAddress = '', unknown = false }: Partial<Omit<SubmitFailed, 'code' | 'message'>>,
) {
  const { number } = RESULT_CODES[cause.code]
  const value = { code: number, message: cause.message, leader, leaderAddress, unknown }
  return { outcome: { case: 'failed' as const, value } }
}
