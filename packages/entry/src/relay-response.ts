/** Header fields of the response to an entry that passed a call on. */
import { resultCode } from '@bilberrystall/base'
import type { CallDependencies } from './call-dependencies'
import type { RequestHead } from './head'
import { RELAY_RESULT_HEADER, RELAY_REVISION_HEADER, type RelayResult } from './relay-protocol'

export function relayResponseFields(
  result: RelayResult,
  { attemptId }: Pick<RequestHead, 'attemptId'>,
  { dialect, revision }: Pick<CallDependencies, 'dialect' | 'revision'>,
): readonly string[] {
  const fields = [RELAY_RESULT_HEADER, result, RELAY_REVISION_HEADER, String(revision())]
  if (result === 'complete') return fields
  // The response of a server contains the attempt id, the own responses of an entry do not.
  if (dialect.attemptHeader !== undefined && attemptId !== undefined) fields.push(dialect.attemptHeader, attemptId)
  if (resultCode(result).outcome === 'not-run') fields.push(dialect.notRunHeader, '1')
  return fields
}
