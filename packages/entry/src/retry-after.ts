/** Values of `retry-after`: those sent to callers with a refusal, and those that servers send. */
import type { CodeName } from '@bilberrystall/base'

/** A server is likely to be free after the duration of a typical call. */
const DEFAULT_RETRY_AFTER_MS = 100
/** Refusals that last longer: until servers have announced themselves or a new one has started. */
const RETRY_AFTER_MS: Partial<Record<CodeName, number>> = { noServer: 500, connectFailed: 300 }
const MS_PER_SECOND = 1000

/** Returns the time in ms after which a caller may send a refused request again. */
export function retryAfterMs(code: CodeName): number {
  return RETRY_AFTER_MS[code] ?? DEFAULT_RETRY_AFTER_MS
}

/** Parses seconds, with or without a fraction, to ms. Other values, such as dates, are ignored. */
export function parseRetryAfter(text: string): number | undefined {
  return /^\s*\d{1,12}(?:\.\d{1,12})?\s*$/.test(text) ? Number(text) * MS_PER_SECOND : undefined
}
