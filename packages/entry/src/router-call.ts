/** The part of a call that the router sees, and the kinds of its attempts. */
import type { ServerId } from '@bilberrystall/base'
import type { Call as RouterCall } from '@bilberrystall/routing'
import type { CallOptions } from './call-options'

/**
 * - `regular`: the first attempt, and a retry after it ended.
 * - `silent`: beside one whose connection makes no progress.
 * - `unanswered`: beside one whose server may have discarded the request.
 * - `hedged`: beside one that is slow.
 */
export type AttemptKind = 'regular' | 'silent' | 'unanswered' | 'hedged'

export interface RouterCallOptions {
  readonly call: Pick<CallOptions, 'route' | 'context' | 'precedence'>
  readonly kind: AttemptKind
  /** Monotonic ms. */
  readonly deadline: number
  readonly resendable: boolean
  readonly queriesLoad: boolean
  readonly triedServers: readonly ServerId[]
}

export function routerCallOf(options: RouterCallOptions): Omit<RouterCall, 'id'> {
  const { call, kind, deadline, resendable, queriesLoad, triedServers } = options
  const { route, context, precedence } = call
  return {
    service: route.service,
    urgency: context.urgency,
    ...precedence,
    deadline,
    ...(route.targetMs === undefined ? {} : { target: route.targetMs }),
    repeatable: route.repeatable,
    resendable,
    // Without load queries no server is known to be free.
    onlyIfFree: kind === 'hedged' || (kind === 'unanswered' && queriesLoad),
    triedServers: [...triedServers],
  }
}
