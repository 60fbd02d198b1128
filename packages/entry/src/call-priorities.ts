/**
 * Priority of calls at this entry: first that of the organisation, then that of the route. Under overload of a service,
 * an organisation that uses more than its part is placed behind the others; one that was served too rarely is not
 * deferred. A document without organisations leaves only the priority of the route.
 */
import { resultCode, type CodeName, type OrganisationName, type ServiceName } from '@bilberrystall/base'
import type { Document, Organisation, Route } from '@bilberrystall/document'
import { OrganisationFairness, type Call as RouterCall, type Router } from '@bilberrystall/routing'
import { RoutePriorities } from './route-priorities'

/** Routes have priorities from 0 to 1000. */
const ROUTE_PRIORITIES = 1001
/** Rank behind every organisation and route. */
const LAST_RANK = ROUTE_PRIORITIES * ROUTE_PRIORITIES
/** Time in ms for which a refusal shows that the service is overloaded. */
const RECENT_REFUSAL_MS = 1_000
const REFUSALS: ReadonlySet<CodeName | 'complete'> = new Set(['overloaded', 'serverShed', 'deadlineNotRun'])
const SERVER_ERROR = 500

/** Place of a call among the others of its service. */
export type Precedence = Pick<RouterCall, 'rank' | 'yields'>

export interface Placement {
  readonly isDeferrable: boolean
  readonly precedence: Precedence
}

interface PlacedCall {
  readonly route: Route
  /** Undefined on public routes, and if the document requires no keys. */
  readonly organisation: Organisation | undefined
}

export interface EndedPlacedCall extends PlacedCall {
  /** Whether another entry passed the call on, which counts it. */
  readonly isRelayed: boolean
}

export interface CallPrioritiesOptions {
  readonly router: Pick<Router, 'gauges'>
  /** Monotonic ms. */
  readonly now: () => number
}

const NO_PRECEDENCE: Precedence = {}

export class CallPriorities {
  readonly #options: CallPrioritiesOptions
  readonly #routes = new RoutePriorities()
  readonly #fairness = new OrganisationFairness()
  #refusedAt = new Map<ServiceName, number>()
  #services: ReadonlySet<ServiceName> = new Set()
  #highestPriority = 0

  constructor(options: CallPrioritiesOptions) {
    this.#options = options
  }

  configure(document: Document): void {
    const { organisations, services } = document
    this.#routes.configure(document)
    this.#fairness.configure(organisations.keys())
    this.#services = new Set(services.keys())
    this.#refusedAt = new Map([...this.#refusedAt].filter(([service]) => services.has(service)))
    this.#highestPriority = Math.min(...[...organisations.values()].map(priorityOf))
  }

  /** Places a call of a caller. `isNestedDeferrable`: it belongs to a call that is deferrable. */
  place(call: PlacedCall, isNestedDeferrable: boolean): Placement {
    const { route, organisation } = call
    const isRouteDeferrable = isNestedDeferrable || this.#routes.isDeferrable(route)
    if (this.#fairness.size === 0) return { isDeferrable: isRouteDeferrable, precedence: NO_PRECEDENCE }
    const now = this.#options.now()
    const standing = organisation === undefined ? 'usual' : this.#fairness.standing(organisation.name, now)
    switch (standing) {
      case 'underserved':
        return { isDeferrable: isNestedDeferrable, precedence: { rank: 0, yields: false } }
      case 'excessive':
        if (this.#isOverloaded(route.service, now)) {
          return { isDeferrable: true, precedence: { rank: LAST_RANK, yields: true } }
        }
        break
      case 'usual':
        break
    }
    const isLower = organisation !== undefined && priorityOf(organisation) > this.#highestPriority
    return {
      isDeferrable: isRouteDeferrable || isLower,
      precedence: { rank: rankOf(call), yields: isLower && this.#isOverloaded(route.service, now) },
    }
  }

  /** Places a call that another entry passed on, which has decided whether it is deferrable. */
  placeRelayed(call: PlacedCall): Precedence {
    return this.#fairness.size === 0 ? NO_PRECEDENCE : { rank: rankOf(call), yields: false }
  }

  /** Counts a call of a caller that was admitted. */
  admitted(organisation: OrganisationName | undefined): void {
    if (organisation !== undefined) this.#fairness.arrived(organisation, this.#options.now())
  }

  /** Records the result of a call. A failure that its caller has caused says nothing about fairness. */
  ended({ route, organisation, isRelayed }: EndedPlacedCall, result: CodeName | 'complete'): void {
    if (this.#fairness.size === 0) return
    const now = this.#options.now()
    if (REFUSALS.has(result) && this.#services.has(route.service)) this.#refusedAt.set(route.service, now)
    if (organisation === undefined || isRelayed) return
    if (result === 'complete') this.#fairness.ended(organisation.name, true, now)
    else if (resultCode(result).status >= SERVER_ERROR) this.#fairness.ended(organisation.name, false, now)
  }

  /** Whether calls of the service wait, or were refused a short time ago. */
  #isOverloaded(service: ServiceName, now: number): boolean {
    const refusedAt = this.#refusedAt.get(service)
    if (refusedAt !== undefined && now - refusedAt < RECENT_REFUSAL_MS) return true
    return this.#options.router.gauges(service).waiting > 0
  }
}

/** Organisations without a priority have the highest, as routes do. */
function priorityOf({ priority }: Organisation): number {
  return priority ?? 0
}

function rankOf({ route, organisation }: PlacedCall): number {
  const organisationPriority = organisation === undefined ? 0 : priorityOf(organisation)
  return organisationPriority * ROUTE_PRIORITIES + route.priority
}
