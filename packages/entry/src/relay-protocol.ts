/**
 * Protocol between entries for calls that one passes on to another, because it does not reach the servers: HTTP/1.1 on a
 * listener of its own, with header fields that start with `bilberrystall-` and so reach neither callers nor servers. The
 * time left is sent as a duration, because the clocks of the entries differ.
 */
import { failure, RESULT_CODES, type CodeName, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { CallContext, ContextCodec } from './context'

/** Signed context of the call, with the attempts that are left. */
export const RELAY_HEADER = 'bilberrystall-relay'
const LEFT_HEADER = 'bilberrystall-relay-left-ms'
/** Revision of the document that must be in force at the other entry, and the one that is in responses. */
export const RELAY_REVISION_HEADER = 'bilberrystall-relay-revision'
/** Response header: name of the result code of the call, or `complete`. */
export const RELAY_RESULT_HEADER = 'bilberrystall-relay-result'

const MAX_LEFT_MS = 3_600_000

/** An unknown key is no such failure: the document of the other entry is at least as new as the one here. */
const OTHER_ENTRY_CODES: ReadonlySet<CodeName> = new Set([
  'connectFailed',
  'noServer',
  'notReady',
  'entryLeaving',
  'keyUnconfirmed',
])

/** The relay fields of a request, as received. */
export interface RelayFields {
  readonly context: string
  readonly left: string
  readonly revision: string
}

export interface RelayRequest {
  readonly context: CallContext
  readonly leftMs: number
  readonly minRevision: number
}

export type RelayResult = CodeName | 'complete'

export function encodeRelayRequest({ context, leftMs, minRevision }: RelayRequest, codec: ContextCodec): string[] {
  const left = String(Math.max(1, Math.floor(leftMs)))
  return [RELAY_HEADER, codec.sign(context), LEFT_HEADER, left, RELAY_REVISION_HEADER, String(minRevision)]
}

export function readRelayFields(header: (name: string) => string | undefined): RelayFields | undefined {
  const context = header(RELAY_HEADER)
  if (context === undefined) return undefined
  return { context, left: header(LEFT_HEADER) ?? '', revision: header(RELAY_REVISION_HEADER) ?? '' }
}

export function decodeRelayRequest(
  fields: RelayFields | undefined,
  codec: ContextCodec,
  now: number,
): Result<RelayRequest, Failure> {
  const context = fields === undefined ? undefined : codec.verify(fields.context, now)
  if (fields === undefined || context === undefined) return err(failure('nodeUnauthorized'))
  const leftMs = parseInteger(fields.left)
  const minRevision = parseInteger(fields.revision)
  if (leftMs === undefined || leftMs > MAX_LEFT_MS || minRevision === undefined) {
    return err(failure('malformedHead', 'the relay fields are malformed'))
  }
  return ok({ context, leftMs, minRevision })
}

/** Returns undefined for a response that does not follow the protocol. */
export function decodeRelayResult(text: string): RelayResult | undefined {
  if (text === 'complete') return text
  return Object.hasOwn(RESULT_CODES, text) ? (text as CodeName) : undefined
}

/** Whether the failure of another entry says nothing about the servers, so that a third one may serve the call. */
export function saysNothingOfServers(code: CodeName): boolean {
  return OTHER_ENTRY_CODES.has(code)
}

export function parseInteger(text: string): number | undefined {
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined
}
