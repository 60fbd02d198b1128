/**
 * Guards against replicas that differ during an upgrade: a log that an earlier leader wrote without the checks of today
 * is applied with the result that the earlier builds have.
 */
import { environmentName, revision, toDigest } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { applyCommand, decodeCommand, emptyState, encodeSnapshot, sha256 } from '../src/index'

const text = (path: string, service = 'slots') =>
  `[document]\ntitle = test\n[service.slots]\n[route.a]\nservice = ${service}\npath = ${path}\n`
const ORIGIN = { requester: 'asha', source: '10.0.0.1', baseRevision: revision(0) }
const TRIAL = environmentName('trial')
const PRODUCTION = environmentName('production')
const STAGING = environmentName('staging')

const submit = (changeId: string, environment: string, content: string, rest: object = {}) => ({
  kind: 'submit',
  ...ORIGIN,
  changeId,
  environment,
  content: { validity: 'valid', text: content },
  ...rest,
})
const patch = (version: number, base: number, changed: string) => ({
  kind: 'amend',
  ...ORIGIN,
  changeId: `v${version}`,
  environment: PRODUCTION,
  numbering: { version, base },
  changed,
  removed: { service: [], route: [] },
})
const promote = (changeId: string, baseRevision: number, sourceRevision: number, content: string) => ({
  kind: 'promote',
  ...ORIGIN,
  changeId,
  environment: STAGING,
  baseRevision: revision(baseRevision),
  sourceRevision: revision(sourceRevision),
  digest: sha256(content),
})

const ODD_PATH = text('/a\ud800')
const ODD_SERVICE = text('/a', 'constructor')
const ENTRIES: readonly (readonly [command: object, result: string])[] = [
  [submit('s1', TRIAL, ODD_PATH), 'accepted'],
  [submit('s2', TRIAL, ODD_SERVICE, { baseRevision: revision(1) }), 'accepted'],
  [promote('p1', 0, 1, ODD_PATH), 'accepted'],
  [promote('p2', 1, 2, ODD_SERVICE), 'accepted'],
  [promote('p3', 1, 2, ODD_SERVICE), 'revisionConflict'],
  [submit('v7', PRODUCTION, text('/a'), { numbering: { version: 7, base: 0 } }), 'accepted'],
  [patch(9, 7, '[route.a]\nservice = constructor\n'), 'accepted'],
  [patch(9, 7, '[route.a]\nservice = constructor\n'), 'accepted'],
  [patch(10, 9, '[route.a]\nservice = nobody\n'), 'documentInvalid'],
  [patch(11, 9, '[route.a]\nservice = slots\npath = "/a\\ud800"\n'), 'accepted'],
  [patch(12, 9, '[route.b]\nservice = slots\npath = /b\n'), 'revisionConflict'],
]
/** Of the snapshot that the builds e09bbab and ac4d74a write after these entries. */
const SNAPSHOT_DIGEST = toDigest('7e03ad254163ba567c337a60b51f865b72485ab939ee456fc3b73eea5f32c62c')

test('a log written without the checks of today is applied as by earlier builds', () => {
  const state = emptyState()
  const results = ENTRIES.map(([command], at) => {
    const bytes = Buffer.concat([Buffer.of(1), Buffer.from(JSON.stringify({ at, ...command }))])
    const { result } = applyCommand(state, decodeCommand(bytes)._unsafeUnwrap())
    if (result.kind !== 'change') return result.kind
    return result.result.kind === 'accepted' ? 'accepted' : result.result.code
  })
  expect(results).toEqual(ENTRIES.map(([, result]) => result))
  expect(sha256(Buffer.from(encodeSnapshot(state)).toString('latin1'))).toBe(SNAPSHOT_DIGEST)
})
