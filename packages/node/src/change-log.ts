/**
 * Log of operator requests: the outcome of each change at the node that an operator sent it to, and every attempt at a
 * control node until then. Departures of servers are frequent, so only those without a result are logged.
 */
import { resultCode } from '@bilberrystall/base'
import type { AmendCommand, Command, PromoteCommand, SubmitCommand } from '@bilberrystall/control'
import type { AttemptReport, SubmitOutcome, SubmitReport } from './change-outcome'
import type { Log, LogFields } from './log'

const CHANGE_ID_LENGTH = 12

export function logSettled(log: Log, { command, outcome, ms, attempts }: SubmitReport): void {
  const described = describeCommand(command, outcome)
  if (described === undefined) return
  const fields = { ...described, result: describeOutcome(outcome), ms: Math.round(ms) }
  log.info('changeSettled', { ...fields, attempts: attempts.map(describeAttempt) })
}

/** Returns undefined for commands that are not logged. */
function describeCommand(command: Command, outcome: SubmitOutcome): LogFields | undefined {
  switch (command.kind) {
    case 'submit':
    case 'amend':
      return { ...describeChange(command), ...command.numbering }
    case 'promote':
      return describeChange(command)
    case 'depart':
      return outcome.kind === 'recorded' ? undefined : { server: command.server, start: command.start }
    case 'evacuate':
      return { domain: command.domain, action: command.action }
    case 'node':
    case 'refuse':
    case 'release':
    case 'replica-step':
    case 'roster-propose':
    case 'roster-seal':
    case 'roster-void':
      return undefined
  }
}

function describeChange({ changeId, environment }: SubmitCommand | AmendCommand | PromoteCommand): LogFields {
  return { change: changeId.slice(0, CHANGE_ID_LENGTH), environment }
}

function describeOutcome(outcome: SubmitOutcome): string {
  switch (outcome.kind) {
    case 'change':
      return outcome.result.kind === 'accepted' ? 'accepted' : resultCode(outcome.result.code).name
    case 'recorded':
      return 'recorded'
    case 'unknown':
      return resultCode('changeUnknown').name
    case 'failed':
      return resultCode(outcome.failure.code).name
  }
}

/** For example `n1 0-612 no-response`, with the milliseconds since the request arrived. */
function describeAttempt({ node, startedMs, endedMs, result }: AttemptReport): string {
  return `${node} ${Math.round(startedMs)}-${Math.round(endedMs)} ${result}`
}
