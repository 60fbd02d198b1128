/**
 * Evacuations of failure domains, in log order: the last order for a domain is in force. An order that changes nothing
 * keeps the position, so entries that have the list need no message. An order is applied once, although its attempts at
 * several control nodes may all be committed: a late one would otherwise take back an opposite order that was given in
 * between.
 */
import { resultCode, type CodeName } from '@bilberrystall/base'
import type { EvacuateCommand } from './command'
import { MAX_EVACUATIONS, MAX_EVACUATION_ORDERS, type ControlState } from './state'

export type EvacuationResult = { readonly kind: 'recorded' } | { readonly kind: 'refused'; readonly code: CodeName }

export function applyEvacuation(state: ControlState, command: EvacuateCommand): EvacuationResult {
  const { action, domain, order } = command
  const isEvacuated = state.evacuations.has(domain)
  const isChange = !state.evacuationOrders.includes(order) && isEvacuated !== (action === 'start')
  if (isChange && action === 'start' && state.evacuations.size >= MAX_EVACUATIONS) {
    record(state, command, 'evacuationLimit', false)
    return { kind: 'refused', code: 'evacuationLimit' }
  }
  state.evacuationOrders = [...state.evacuationOrders.filter((known) => known !== order), order].slice(
    -MAX_EVACUATION_ORDERS,
  )
  if (isChange) {
    state.evacuationPosition += 1
    if (action === 'end') state.evacuations.delete(domain)
    else state.evacuations.set(domain, { domain, at: state.clock, requester: command.requester })
  }
  record(state, command, 'ok', !isChange)
  return { kind: 'recorded' }
}

function record(state: ControlState, command: EvacuateCommand, code: CodeName, isRepeated: boolean): void {
  const { action, domain, requester, source } = command
  state.audit.append({
    at: state.clock,
    operation: `evacuate-${action}`,
    requester,
    source,
    target: domain,
    result: resultCode(code).name,
    ...(isRepeated ? { repeated: true } : {}),
  })
}
