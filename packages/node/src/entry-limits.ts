/** Limits of a service in one entry: its part of what the document and the platform allow all entries together. */
import type { NodeId } from '@bilberrystall/base'
import type { Document, Service } from '@bilberrystall/document'
import type { RetryLimits, Router, RouterOptions, ServiceLimits, WarmUp } from '@bilberrystall/routing'
import type { Adapter } from './adapter'
import type { EntryList } from './entry-list'

const MS_PER_SECOND = 1000
/** Fraction of an allowance that is used, because entries disagree on their number while nodes join and leave. */
export const ALLOWANCE_FRACTION = 0.6

type Allowances = Pick<Adapter, 'retries' | 'coldServers'>

/** Returns with which entries a router shares the limits that apply to all of them together. */
export function entrySharing(entry: NodeId, entries: EntryList): Pick<RouterOptions, 'limitSharing' | 'coldSharing'> {
  return {
    limitSharing: { entry, entries: () => entries.live() },
    coldSharing: { entry, entries: () => entries.known() },
  }
}

export interface LimitConfiguration {
  readonly router: Router
  readonly allowances: Allowances | undefined
  readonly entries: EntryList
}

/** Applies the limits of a document to the router. */
export function configureLimits(document: Document, configuration: LimitConfiguration, now: number): void {
  const { router, allowances, entries } = configuration
  for (const service of document.services.values()) {
    router.configure(service.name, serviceLimits(service, allowances, entries.live().length), now)
  }
}

function serviceLimits(service: Service, allowances: Allowances | undefined, liveEntries: number): ServiceLimits {
  const { retryBudget, concurrency } = service
  const warmUp = warmUpOf(service, allowances)
  return {
    retries: retryLimits(retryBudget, allowances, liveEntries),
    concurrency,
    ...(warmUp === undefined ? {} : { warmUp }),
  }
}

/** The platform's allowance applies to all entries together, so its fixed part is divided among them. */
function retryLimits(retryBudget: number, allowances: Allowances | undefined, liveEntries: number): RetryLimits {
  const allowance = allowances?.retries
  if (allowance === undefined) return { share: retryBudget }
  const fixedRetries = (allowance.extraRetries * ALLOWANCE_FRACTION) / liveEntries
  const minimum = (fixedRetries * MS_PER_SECOND) / allowance.windowMs
  return { share: allowance.share * ALLOWANCE_FRACTION, minimum, burst: Math.max(1, fixedRetries) }
}

/** Returns undefined if the document names no rate for cold servers, which are then used like others. */
function warmUpOf({ warmUpMs = 0, warmUpRate }: Service, allowances: Allowances | undefined): WarmUp | undefined {
  return warmUpRate === undefined ? undefined : { lengthMs: warmUpMs, rate: warmUpRate, ...allowances?.coldServers }
}
