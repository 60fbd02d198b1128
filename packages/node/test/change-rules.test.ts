/**
 * Guards against rules that hold for some orders only: documents that an older build accepted, and that a submission
 * could not bring into force today, are in the log of trial.
 */
import { environmentName, nodeId, revision, serverId } from '@bilberrystall/base'
import {
  applyCommand,
  currentRevision,
  currentVersion,
  emptyState,
  sha256,
  type AmendCommand,
  type Command,
  type CommandResult,
  type ControlState,
  type PromoteCommand,
  type SubmitCommand,
} from '@bilberrystall/control'
import { checkDocument } from '@bilberrystall/document'
import { RpcClients, TrafficCounter } from '@bilberrystall/rpc'
import { expect, test } from 'vitest'
import { ChangeSubmitter, type ProposalHost, type SubmitOutcome } from '../src/index'

const TRIAL = environmentName('trial')
const PRODUCTION = environmentName('production')
const ORIGIN = { at: 1, requester: 'asha', source: '10.0.0.1', baseRevision: revision(0) }
const APPLY_DELAY_MS = 30
const text = (path: string, service = 'slots') =>
  `[document]\ntitle = test\n[service.slots]\n[route.a]\nservice = ${service}\npath = ${path}\n`

const LEADER = { role: 'leader', leader: undefined, replicas: [{ role: 'voter' }] }

function submitterOf(host: ProposalHost): ChangeSubmitter {
  return new ChangeSubmitter({
    host,
    node: nodeId('n1'),
    clients: new RpcClients({ nodeKey: 'node key', traffic: new TrafficCounter() }),
    addressOf: () => undefined,
    controlNodes: () => [],
    checkDocument,
    wallClock: () => 2,
  })
}

function submitTo(state = emptyState()): { state: typeof state; submit: (command: Command) => Promise<SubmitOutcome> } {
  const submitter = submitterOf({
    status: () => ({ ...LEADER, term: 1, applied: 0, lastIndex: 0 }) as never,
    state,
    propose: (command) => Promise.resolve({ kind: 'applied', applied: applyCommand(state, command).result }),
  })
  return { state, submit: (command) => submitter.submit(command) }
}

/** A log of the leader whose entries are applied in order, some time after they were proposed. */
class DelayedLog {
  readonly state: ControlState = emptyState()
  readonly #submitter: ChangeSubmitter
  readonly #entries: (() => void)[] = []
  #applied = 0

  constructor() {
    this.#submitter = submitterOf({
      status: () => ({ ...LEADER, term: 1, applied: this.#applied, lastIndex: this.#entries.length }) as never,
      state: this.state,
      propose: (command) =>
        new Promise((resolve) => {
          this.append(command, (applied) => {
            resolve({ kind: 'applied', applied })
          })
        }),
    })
  }

  get length(): number {
    return this.#entries.length
  }

  get applied(): number {
    return this.#applied
  }

  /** Appends a command as the leader of an earlier term did. */
  append(command: Command, onApplied: (result: CommandResult) => void = () => undefined): void {
    this.#entries.push(() => {
      onApplied(applyCommand(this.state, command).result)
    })
    setTimeout(() => {
      this.#entries[this.#applied]?.()
      this.#applied += 1
    }, APPLY_DELAY_MS)
  }

  submit(command: Command): Promise<SubmitOutcome> {
    return this.#submitter.submit(command)
  }
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

const order = (version: number, base: number, path = '/a'): SubmitCommand => ({
  ...submission(text(path)),
  changeId: `v${version}`,
  environment: PRODUCTION,
  numbering: { version, base },
})

const patch = (version: number, base: number, keys: string): AmendCommand => ({
  kind: 'amend',
  ...ORIGIN,
  changeId: `v${version}`,
  environment: PRODUCTION,
  numbering: { version, base },
  changed: `[route.a]\n${keys}\n`,
  removed: { service: [], route: [] },
})

const ODD_ROUTES = [
  ['a service that no section names', 'service = constructor', 'service'],
  ['half of a surrogate pair', 'service = slots\npath = "/a\\ud800"', 'path'],
] as const

/** Guards against a patch that is acknowledged unchecked because the document it is based on is not applied yet. */
test.each(ODD_ROUTES)('a patch with %s is refused while its base is still in the log', async (_, keys, key) => {
  const log = new DelayedLog()
  const base = log.submit(order(7, 0))
  const patched = log.submit(patch(9, 7, keys))
  expect(await base).toMatchObject({ result: { kind: 'accepted' } })
  const refused = { kind: 'refused', code: 'documentInvalid', faults: [{ section: 'route.a', key }] }
  expect(await patched).toMatchObject({ kind: 'change', result: refused })
  expect(currentVersion(log.state, PRODUCTION)).toBe(7)
})

/** Guards against a patch that a new leader checks before it has applied what it took over. */
test('a patch whose base the leader of an earlier term left in the log is checked', async () => {
  const log = new DelayedLog()
  log.append(order(7, 0))
  const patched = await log.submit(patch(9, 7, 'service = constructor'))
  expect(patched).toMatchObject({ result: { kind: 'refused', code: 'documentInvalid' } })
  expect(currentVersion(log.state, PRODUCTION)).toBe(7)
})

/** Guards against a promotion that is acknowledged unchecked because its source or its base is not applied yet. */
test.each([
  ['its source', () => [submission(text('/a', 'constructor'))], {}],
  [
    'its base',
    () => [submission(text('/a', 'constructor')), { ...order(7, 0), numbering: undefined }],
    { baseRevision: revision(1) },
  ],
])('a promotion is checked while %s is still in the log', async (_, entries, rest) => {
  const log = new DelayedLog()
  for (const entry of entries()) log.append(entry as SubmitCommand)
  const before = entries().length - 1
  const promoted = await log.submit(promotion(text('/a', 'constructor'), rest))
  expect(promoted).toMatchObject({ result: { kind: 'refused', code: 'documentInvalid' } })
  expect(currentRevision(log.state, PRODUCTION)).toBe(before)
})

test('patches that follow each other in the log are accepted, and a repeated one gets its first result', async () => {
  const log = new DelayedLog()
  const outcomes = await Promise.all([
    log.submit(order(7, 0)),
    log.submit(patch(9, 7, 'service = slots\npath = /b')),
    log.submit(patch(9, 7, 'service = slots\npath = /b')),
    log.submit(patch(10, 9, 'service = slots\npath = /c')),
  ])
  expect(outcomes).toMatchObject([
    { result: { kind: 'accepted', revision: 1 }, repeated: false },
    { result: { kind: 'accepted', revision: 2 }, repeated: false },
    { result: { kind: 'accepted', revision: 2 }, repeated: true },
    { result: { kind: 'accepted', revision: 3 }, repeated: false },
  ])
  expect(currentVersion(log.state, PRODUCTION)).toBe(10)
})

// Guards against a log that grows with each announcement that a leaving server repeats.
test('a departure that is recorded is acknowledged again without another entry of the log', async () => {
  const state = emptyState()
  const proposed: Command[] = []
  const submitter = submitterOf({
    status: () => ({ ...LEADER, term: 1, applied: 0, lastIndex: 0 }) as never,
    state,
    propose: (command) => {
      proposed.push(command)
      return Promise.resolve({ kind: 'applied', applied: applyCommand(state, command).result })
    },
  })
  const departure = (start: number): Command => ({ kind: 'depart', ...ORIGIN, server: serverId('s1'), start })
  for (const start of [7, 7, 8]) expect((await submitter.submit(departure(start))).kind).toBe('recorded')
  expect(proposed).toHaveLength(2)
})

// Guards against an accepted change that is never acknowledged, as each attempt of the operator waits for the log again.
test('a versioned change that was accepted is acknowledged again before the log has recorded the repetition', async () => {
  const log = new DelayedLog()
  const numbered: Command = {
    kind: 'submit',
    ...ORIGIN,
    changeId: 'c1',
    environment: PRODUCTION,
    numbering: { version: 7, base: 0 },
    content: { validity: 'valid', text: text('/') },
  }
  expect(await log.submit(numbered)).toMatchObject({ result: { kind: 'accepted' }, repeated: false })
  const entries = log.length
  expect(await log.submit(numbered)).toMatchObject({ result: { kind: 'accepted' }, repeated: true })
  expect({ proposed: log.length, applied: log.applied }).toEqual({ proposed: entries + 1, applied: entries })
})
