/** Limits of a service in one entry: its part of what the document and the platform allow all entries together. */
import type { NodeId } from '@bilberrystall/base'
import type { Document, Service } from '@bilberrystall/document'
import type { RetrySharing, Router, RouterOptions, ServiceLimits, WarmUp } from '@bilberrystall/routing'
import type { Adapter } from './adapter'
import type { EntryList } from './entry-list'

/** Fraction of an allowance that is used, because entries disagree on their number while nodes join and leave. */
export const ALLOWANCE_FRACTION = 0.6
/**
 * The same for retries. Entries agree better on those that were live in the last window, but an entry that starts while it
 * is cut off knows only its side.
 */
const RETRY_FRACTION = 0.8

type Allowances = Pick<Adapter, 'retries' | 'coldServers'>

/** Returns with which entries a router shares the limits that apply to all of them together. */
export function entrySharing(
  entry: NodeId,
  entries: EntryList,
  allowances: Allowances | undefined,
): Pick<RouterOptions, 'limitSharing' | 'coldSharing' | 'retrySharing'> {
  return {
    limitSharing: { entry, entries: () => entries.live() },
    coldSharing: { entry, entries: () => entries.known() },
    retrySharing: retrySharing(entry, entries, allowances),
  }
}

function retrySharing(entry: NodeId, entries: EntryList, allowances: Allowances | undefined): RetrySharing | undefined {
  if (allowances?.retries === undefined) return undefined
  const { share, extraRetries, windowMs } = allowances.retries
  return {
    entry,
    entries: () => entries.recent(),
    share: share * RETRY_FRACTION,
    fixed: extraRetries * RETRY_FRACTION,
    windowMs,
  }
}

/** Applies the limits of a document to the router. */
export function configureLimits(
  document: Document,
  router: Router,
  allowances: Allowances | undefined,
  now: number,
): void {
  for (const service of document.services.values())
    router.configure(service.name, serviceLimits(service, allowances), now)
}

function serviceLimits(service: Service, allowances: Allowances | undefined): ServiceLimits {
  const { retryBudget, concurrency } = service
  const warmUp = warmUpOf(service, allowances)
  return { retries: { share: retryBudget }, concurrency, ...(warmUp === undefined ? {} : { warmUp }) }
}

/** Returns undefined if the document names no rate for cold servers, which are then used like others. */
function warmUpOf({ warmUpMs = 0, warmUpRate }: Service, allowances: Allowances | undefined): WarmUp | undefined {
  return warmUpRate === undefined ? undefined : { lengthMs: warmUpMs, rate: warmUpRate, ...allowances?.coldServers }
}
