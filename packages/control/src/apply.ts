/** Applies committed commands to the state in log order. Equal commands result in equal state on every replica. */
import { resultCode, type ReplicaId } from '@bilberrystall/base'
import type { AuditEvent } from './audit'
import { applyChange, type ChangeCommandResult } from './change'
import type { Command, DepartCommand } from './command'
import { applyEvacuation, type EvacuationResult } from './evacuation'
import { decideRoster, proposeRoster } from './roster'
import {
  MAX_DEPARTURES,
  MAX_NODE_DRAINS,
  MAX_REPLICA_STEPS,
  currentRevision,
  type ControlState,
  type ReplicaAction,
  type ReplicaMember,
  type RosterEpoch,
} from './state'

/** Result of applying a command. */
export type CommandResult =
  | ChangeCommandResult
  | EvacuationResult
  | { readonly kind: 'roster'; readonly epoch?: RosterEpoch; readonly changed: boolean }

/**
 * Updates `state` in place and returns it. Copying the 10,000 recorded results for each command would exceed the target
 * for the restart time when 2,000 changes are replayed.
 */
export function applyCommand(state: ControlState, command: Command): { state: ControlState; result: CommandResult } {
  state.clock = Math.max(state.clock, command.at)
  return { state, result: dispatch(state, command) }
}

function dispatch(state: ControlState, command: Command): CommandResult {
  switch (command.kind) {
    case 'submit':
    case 'amend':
    case 'promote':
      return applyChange(state, command)
    case 'depart':
      return recordDeparture(state, command)
    case 'evacuate':
      return applyEvacuation(state, command)
    case 'refuse':
      return recordRefusedRequest(state, command)
    case 'node':
      return recordNodeRequest(state, command)
    case 'release':
      return recordRelease(state, command)
    case 'replica-step':
      state.replicaIntent = command
      return { kind: 'recorded' }
    case 'roster-propose':
      return { kind: 'roster', epoch: proposeRoster(state, command.entries), changed: true }
    case 'roster-seal':
      return { kind: 'roster', changed: decideRoster(state, command.epoch, 'sealed') }
    case 'roster-void':
      return { kind: 'roster', changed: decideRoster(state, command.epoch, 'void') }
  }
}

function recordRefusedRequest(state: ControlState, command: Extract<Command, { kind: 'refuse' }>): CommandResult {
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
    result: resultCode(command.code).name,
  }
  state.audit.append(event)
  return { kind: 'recorded' }
}

/** Records the departure of a server. A repeated announcement of the same start keeps its position. */
function recordDeparture(state: ControlState, { server, start }: DepartCommand): CommandResult {
  const known = state.departures.get(server)
  if (known !== undefined && known.start >= start) return { kind: 'recorded' }
  state.departurePosition += 1
  state.departures.delete(server)
  state.departures.set(server, { position: state.departurePosition, server, start })
  if (state.departures.size > MAX_DEPARTURES) {
    const [oldest] = state.departures.keys()
    if (oldest !== undefined) state.departures.delete(oldest)
  }
  return { kind: 'recorded' }
}

function recordNodeRequest(state: ControlState, command: Extract<Command, { kind: 'node' }>): CommandResult {
  const { requester, source, node } = command
  const operation = command.action === 'drain' ? 'drain-node' : 'replace-node'
  state.audit.append({ at: state.clock, operation, requester, source, target: node, result: 'ok' })
  if (command.action === 'drain') {
    const others = state.drains.filter((drain) => drain.node !== node)
    const process = command.start === undefined ? {} : { start: command.start }
    state.drains = [...others, { node, at: state.clock, ...process }].slice(-MAX_NODE_DRAINS)
  } else if (state.replicas.some((replica) => replica.node === node) && !state.replacing.includes(node)) {
    state.replacing = [...state.replacing, node]
  }
  return { kind: 'recorded' }
}

/** The release takes effect on the nodes that apply the command; the state keeps who asked for it. */
function recordRelease(state: ControlState, command: Extract<Command, { kind: 'release' }>): CommandResult {
  const { requester, source, request } = command
  state.audit.append({
    at: state.clock,
    operation: 'release-request',
    requester,
    source,
    target: request,
    result: 'ok',
  })
  return { kind: 'recorded' }
}

/**
 * Applies a committed replica set. The recorded steps are derived from the difference of the sets, so a step is
 * recorded exactly if it took effect. The reason comes from the preceding `replica-step` command.
 */
export function applyReplicaSet(state: ControlState, replicas: readonly ReplicaMember[]): void {
  for (const { action, replica } of diffReplicaSets(state.replicas, replicas)) {
    const intent = state.replicaIntent
    const reason = intent?.action === action && intent.replica === replica ? intent.reason : 'no reason recorded'
    const at = state.clock
    state.replicaSteps = [...state.replicaSteps, { at, action, replica, reason }].slice(-MAX_REPLICA_STEPS)
    state.audit.append({
      at,
      operation: `replica-${action}`,
      requester: 'control',
      source: reason,
      target: replica,
      result: 'ok',
    })
  }
  state.replicas = replicas
  state.replicaIntent = undefined
  state.replacing = state.replacing.filter((node) => replicas.some((replica) => replica.node === node))
}

function diffReplicaSets(
  before: readonly ReplicaMember[],
  after: readonly ReplicaMember[],
): { readonly action: ReplicaAction; readonly replica: ReplicaId }[] {
  const steps = after.flatMap((member) => {
    const known = before.find((candidate) => candidate.replica === member.replica)
    if (known?.role === member.role) return []
    return [
      { action: member.role === 'voter' ? ('promote' as const) : ('add-learner' as const), replica: member.replica },
    ]
  })
  const removed = before.filter((member) => !after.some((candidate) => candidate.replica === member.replica))
  return [...steps, ...removed.map(({ replica }) => ({ action: 'remove' as const, replica }))]
}
