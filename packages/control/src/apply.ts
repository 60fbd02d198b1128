/** Applies committed commands to the state, in log order. The same commands give the same state on every replica. */
import type { AuditEvent } from './audit'
import { applyChange, type ChangeApplied } from './change'
import type { Command } from './command'
import { decideRoster, proposeRoster } from './roster'
import { REPLICA_STEPS_KEPT, currentRevision, type ControlState, type RosterEpoch } from './state'

export type Applied =
  | ChangeApplied
  | { readonly kind: 'recorded' }
  | { readonly kind: 'roster'; readonly epoch?: RosterEpoch; readonly changed: boolean }

/**
 * Updates `state` in place and returns it: copying 10,000 kept results per command would cost more than the restart
 * target allows for 2,000 changes.
 */
export function applyCommand(state: ControlState, command: Command): { state: ControlState; result: Applied } {
  state.clock = Math.max(state.clock, command.at)
  return { state, result: dispatch(state, command) }
}

function dispatch(state: ControlState, command: Command): Applied {
  switch (command.kind) {
    case 'submit':
    case 'promote':
      return applyChange(state, command)
    case 'refuse':
      return recordRefusal(state, command)
    case 'node':
      return recordNodeRequest(state, command)
    case 'replica-step':
      return recordReplicaStep(state, command)
    case 'roster-propose':
      return { kind: 'roster', epoch: proposeRoster(state, command.entries), changed: true }
    case 'roster-seal':
      return { kind: 'roster', changed: decideRoster(state, command.epoch, 'sealed') }
    case 'roster-void':
      return { kind: 'roster', changed: decideRoster(state, command.epoch, 'void') }
  }
}

function recordRefusal(state: ControlState, command: Extract<Command, { kind: 'refuse' }>): Applied {
  const event: AuditEvent = {
    at: state.clock,
    operation: 'refuse',
    requester: command.requester,
    source: command.source,
    ...(command.changeId === undefined ? {} : { changeId: command.changeId }),
    ...(command.environment === undefined
      ? {}
      : { environment: command.environment, revision: currentRevision(state, command.environment) }),
    ...(command.digest === undefined ? {} : { digest: command.digest }),
    result: command.code,
  }
  state.audit.append(event)
  return { kind: 'recorded' }
}

function recordNodeRequest(state: ControlState, command: Extract<Command, { kind: 'node' }>): Applied {
  const { requester, source, node } = command
  const operation = command.action === 'drain' ? 'drain-node' : 'replace-node'
  state.audit.append({ at: state.clock, operation, requester, source, target: node, result: 'ok' })
  return { kind: 'recorded' }
}

function recordReplicaStep(state: ControlState, command: Extract<Command, { kind: 'replica-step' }>): Applied {
  const { action, replica, reason } = command
  const at = state.clock
  state.replicaSteps = [...state.replicaSteps, { at, action, replica, reason }].slice(-REPLICA_STEPS_KEPT)
  state.audit.append({
    at,
    operation: `replica-${action}`,
    requester: 'self-repair',
    source: reason,
    target: replica,
    result: 'ok',
  })
  return { kind: 'recorded' }
}
