/** Commands for the tests of the control state machine. */
import { environmentName, nodeId, failureDomain, revision, type Digest } from '@bilberrystall/base'
import {
  applyCommand,
  sha256,
  type ChangeCommandResult,
  type ControlState,
  type PromoteCommand,
  type SubmitCommand,
} from '../src/index'

export const TRIAL_ENVIRONMENT = environmentName('trial')
export const PRODUCTION = environmentName('production')

export function submit(
  changeId: string,
  base: number,
  text = `text of ${changeId}`,
  rest: Partial<SubmitCommand> = {},
): SubmitCommand {
  return {
    kind: 'submit',
    at: 1_000,
    requester: 'asha',
    source: '10.0.0.1',
    changeId,
    environment: TRIAL_ENVIRONMENT,
    baseRevision: revision(base),
    content: { validity: 'valid', text },
    ...rest,
  }
}

export function promote(changeId: string, base: number, sourceRevision: number, digest: Digest): PromoteCommand {
  return {
    kind: 'promote',
    at: 2_000,
    requester: 'asha',
    source: '10.0.0.1',
    changeId,
    environment: PRODUCTION,
    baseRevision: revision(base),
    sourceRevision: revision(sourceRevision),
    digest,
  }
}

export function change(state: ControlState, command: SubmitCommand | PromoteCommand): ChangeCommandResult {
  const { result } = applyCommand(state, command)
  if (result.kind !== 'change') throw new Error(`unexpected result ${result.kind}`)
  return result
}

export const rosterEntry = (name: string) => ({ node: nodeId(name), failureDomain: failureDomain('north') })

export const digestOfText = sha256
