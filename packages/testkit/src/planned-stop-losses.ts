/**
 * Finds the requests that a planned stop broke off: a server began them, and their callers got no whole response of that
 * server before the deadline. Requests that no server began are not lost, as their callers may send them again. Has no
 * side effects.
 */
import type { Exchange } from './pipelining-caller'

/** How much earlier than its deadline a call may end: a timer and a clock read round to a millisecond each. */
const ROUNDING_MS = 2

/**
 * `executions` are per request id, summed over all servers. Servers that respond to requests that they run with 200, or
 * with 500 and the same body, are assumed, so every other response is one of the entry's own.
 */
export function findBrokenOff(
  exchanges: readonly Exchange[],
  executions: ReadonlyMap<string, number>,
): readonly Exchange[] {
  return exchanges.filter((exchange) => {
    if (!isLoss(exchange) || !executions.has(exchange.requestId)) return false
    return exchange.endedAt - exchange.sentAt < exchange.request.deadlineMs - ROUNDING_MS
  })
}

function isLoss({ end, status, isOwn }: Exchange): boolean {
  switch (end) {
    case 'answered':
      return status !== 200 && !isOwn
    case 'malformed':
    case 'unanswered':
    case 'broken-off':
    case 'behind-close':
      return true
    case 'open':
      return false
  }
}

/** Responses with status 200 that are not those to their requests, and bytes that are no responses. */
export function findWrong(exchanges: readonly Exchange[]): readonly Exchange[] {
  return exchanges.filter(({ end, status, isOwn }) => end === 'malformed' || (status === 200 && !isOwn))
}
