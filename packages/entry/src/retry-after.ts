/** Values of `retry-after`: those sent to callers with a refusal, and those that servers send. */
import { resultCode, type CodeName, type Failure } from '@bilberrystall/base'
import type { Dialect } from './dialect'

/** A server is likely to be free after the duration of a typical call. */
const DEFAULT_RETRY_AFTER_MS = 100
/** Refusals that last longer: until servers have announced themselves or a new one has started. */
const RETRY_AFTER_MS: Partial<Record<CodeName, number>> = { noServer: 500, connectFailed: 300, keyUnconfirmed: 200 }
/**
 * Rejections before routing. Another entry can serve at once what a leaving one refuses; an entry finds control within a
 * second of its start, and leases are renewed every second.
 */
const REJECTION_RETRY_MS: Partial<Record<CodeName, number>> = { entryLeaving: 0, notReady: 1_000, keyUnconfirmed: 200 }
const MS_PER_SECOND = 1000

/** Returns the field that tells a caller whose call failed when to send it again. */
export function failureFields(
  code: CodeName,
  { retryAfter }: Pick<Dialect, 'retryAfter'>,
): Readonly<Record<string, string>> {
  const isRefused = resultCode(code).status === 503 || code === 'keyInProgress'
  return isRefused ? { 'retry-after': retryAfter(RETRY_AFTER_MS[code] ?? DEFAULT_RETRY_AFTER_MS) } : {}
}

/** Returns the field that tells a caller whose call is rejected before it is routed when to send it again, if known. */
export function rejectionFields(
  { code, retryAfterMs: waitMs = REJECTION_RETRY_MS[code] }: Failure,
  { retryAfter }: Pick<Dialect, 'retryAfter'>,
): Readonly<Record<string, string>> {
  return waitMs === undefined ? {} : { 'retry-after': retryAfter(waitMs) }
}

/** Parses seconds, with or without a fraction, to ms. Other values, such as dates, are ignored. */
export function parseRetryAfter(text: string): number | undefined {
  return /^\s*\d{1,12}(?:\.\d{1,12})?\s*$/.test(text) ? Number(text) * MS_PER_SECOND : undefined
}
