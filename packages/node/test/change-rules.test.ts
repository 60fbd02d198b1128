/**
 * Guards against rules that hold for some orders only: documents that an older build accepted, and that a submission
 * could not bring into force today, are in the log of trial.
 */
import { environmentName, nodeId, revision } from '@bilberrystall/base'
import {
  applyCommand,
  currentRevision,
  emptyState,
  sha256,
  type Command,
  type PromoteCommand,
  type SubmitCommand,
} from '@bilberrystall/control'
import { checkDocument } from '@bilberrystall/document'
import { RpcClients, TrafficCounter } from '@bilberrystall/rpc'
import { expect, test } from 'vitest'
import { ChangeSubmitter, type SubmitOutcome } from '../src/index'

const TRIAL = environmentName('trial')
const PRODUCTION = environmentName('production')
const ORIGIN = { at: 1, requester: 'asha', source: '10.0.0.1', baseRevision: revision(0) }
const text = (path: string, service = 'slots') =>
  `[document]\ntitle = test\n[service.slots]\n[route.a]\nservice = ${service}\npath = ${path}\n`

function submitTo(state = emptyState()): { state: typeof state; submit: (command: Command) => Promise<SubmitOutcome> } {
  const submitter = new ChangeSubmitter({
    host: {
      status: () => ({ role: 'leader', leader: undefined, replicas: [{ role: 'voter' }] }) as never,
      state,
      propose: (command) => Promise.resolve({ kind: 'applied', applied: applyCommand(state, command).result }),
    },
    node: nodeId('n1'),
    clients: new RpcClients({ nodeKey: 'node key', traffic: new TrafficCounter() }),
    addressOf: () => undefined,
    controlNodes: () => [],
    checkDocument,
    wallClock: () => 2,
  })
  return { state, submit: (command) => submitter.submit(command) }
}

const submission = (content: string): SubmitCommand => ({
  kind: 'submit',
  ...ORIGIN,
  changeId: 's1',
  environment: TRIAL,
  content: { validity: 'valid', text: content },
})

const promotion = (content: string, rest: Partial<PromoteCommand> = {}): PromoteCommand => ({
  kind: 'promote',
  ...ORIGIN,
  changeId: 'p1',
  environment: PRODUCTION,
  sourceRevision: revision(1),
  digest: sha256(content),
  ...rest,
})

test.each([
  ['half of a surrogate pair', text('/a\ud800'), 'path'],
  ['a service that no section names', text('/a', 'constructor'), 'service'],
])('a document of trial with %s is not promoted', async (_, content, key) => {
  const { state, submit } = submitTo()
  // As an older leader proposed it, without the check.
  expect(applyCommand(state, submission(content)).result).toMatchObject({ result: { kind: 'accepted' } })
  const refused = { kind: 'refused', code: 'documentInvalid', faults: [{ section: 'route.a', key }] }
  expect(await submit(promotion(content))).toMatchObject({ kind: 'change', result: refused, repeated: false })
  expect(await submit(promotion(content))).toMatchObject({ kind: 'change', result: refused, repeated: true })
  expect(currentRevision(state, PRODUCTION)).toBe(0)
})

test('a promotion is refused for its base, its source or its environment before its document', async () => {
  const content = text('/a\ud800')
  const { state, submit } = submitTo()
  applyCommand(state, submission(content))
  const codeOf = async (rest: Partial<PromoteCommand>) => {
    const outcome = await submit(promotion(content, { changeId: JSON.stringify(rest).replace(/\W/g, ''), ...rest }))
    return outcome.kind === 'change' && outcome.result.kind === 'refused' ? outcome.result.code : outcome.kind
  }
  expect(await codeOf({ baseRevision: revision(3) })).toBe('revisionConflict')
  expect(await codeOf({ sourceRevision: revision(2) })).toBe('notInTrial')
  expect(await codeOf({ digest: sha256('another') })).toBe('notInTrial')
  expect(await codeOf({ environment: TRIAL, baseRevision: revision(1) })).toBe('requestInvalid')
})

test('a repeated promotion that an older leader had accepted gets its recorded result', async () => {
  const content = text('/a\ud800')
  const { state, submit } = submitTo()
  applyCommand(state, submission(content))
  applyCommand(state, promotion(content))
  expect(await submit(promotion(content))).toMatchObject({ result: { kind: 'accepted', revision: 1 }, repeated: true })
})

test('a proper document of trial is promoted', async () => {
  const content = text('/a')
  const { state, submit } = submitTo()
  expect(await submit(submission(content))).toMatchObject({ result: { kind: 'accepted' } })
  expect(await submit(promotion(content))).toMatchObject({ result: { kind: 'accepted', revision: 1 } })
  expect(currentRevision(state, PRODUCTION)).toBe(1)
})
