/** Fuzzes `step` with well-typed messages that contain arbitrary values: it must never throw. */
import { nodeId, replicaId, seededRandom } from '@bilberrystall/base'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Input } from '../src/index'
import { Driver, info, noOp, SELF, storedOf } from './support/driver'

const replica = fc.constantFrom(SELF, replicaId('b'), replicaId('c'), replicaId('d'))
const anyInteger = fc.oneof(fc.integer({ min: 0, max: 6 }), fc.integer(), fc.constantFrom(2 ** 53, -1))
const anyBytes = fc.uint8Array({ maxLength: 8 })
const member = fc.record({
  replica,
  node: fc.constantFrom(nodeId('n'), nodeId('m')),
  role: fc.constantFrom('voter', 'learner'),
})
const members = fc.array(member, { maxLength: 4 })
const position = { index: anyInteger, term: anyInteger }
const entry = fc.oneof(
  fc.record({ kind: fc.constant('no-op'), ...position }),
  fc.record({ kind: fc.constant('command'), ...position, command: anyBytes }),
  fc.record({ kind: fc.constant('replica-set'), ...position, replicas: members }),
)
const envelope = { from: replica, to: fc.constant(SELF), term: anyInteger }
const probe = { round: anyInteger, sentAt: anyInteger }
const anyBoolean = fc.boolean()
const last = { lastIndex: anyInteger, lastTerm: anyInteger }

/** Appends that continue a short log, so that some of the appends are accepted. */
const positionAndTerms = fc.tuple(
  fc.integer({ min: 0, max: 4 }),
  fc.array(fc.integer({ min: 0, max: 3 }), { maxLength: 4 }),
)
const consecutiveAppend = fc
  .tuple(positionAndTerms, replica, anyInteger)
  .map(([[previousIndex, terms], from, commit]) => ({
    kind: 'append' as const,
    from,
    to: SELF,
    term: 3,
    previousIndex,
    previousTerm: 1,
    commit,
    round: 0,
    sentAt: 0,
    entries: terms.map((entryTerm, offset) => noOp(previousIndex + 1 + offset, entryTerm)),
  }))

const chunk = fc.record({
  kind: fc.constant('snapshot-chunk'),
  ...envelope,
  ...probe,
  position: fc.record({ ...position, replicas: members }),
  size: anyInteger,
  offset: anyInteger,
  data: anyBytes,
})

const message = fc.oneof(
  fc.record({ kind: fc.constant('pre-vote'), ...envelope, ...last }),
  fc.record({ kind: fc.constant('pre-vote-response'), ...envelope, granted: anyBoolean }),
  fc.record({ kind: fc.constant('vote'), ...envelope, ...last, transfer: anyBoolean }),
  fc.record({ kind: fc.constant('vote-response'), ...envelope, granted: anyBoolean }),
  fc.record({
    kind: fc.constant('append'),
    ...envelope,
    ...probe,
    previousIndex: anyInteger,
    previousTerm: anyInteger,
    entries: fc.array(entry, { maxLength: 4 }),
    commit: anyInteger,
  }),
  consecutiveAppend,
  fc.record({
    kind: fc.constant('append-response'),
    ...envelope,
    ...probe,
    accepted: anyBoolean,
    match: anyInteger,
    hint: anyInteger,
  }),
  chunk,
  fc.record({
    kind: fc.constant('snapshot-response'),
    ...envelope,
    ...probe,
    index: anyInteger,
    offset: anyInteger,
    installed: anyBoolean,
  }),
  fc.record({ kind: fc.constant('transfer'), ...envelope }),
  fc.record({ kind: fc.constant('read-request'), ...envelope, read: anyInteger }),
  fc.record({
    kind: fc.constant('read-response'),
    ...envelope,
    read: anyInteger,
    confirmed: anyBoolean,
    index: anyInteger,
  }),
)

const input = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('message'), message }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'tick' }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('propose'), proposal: anyInteger, command: anyBytes }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('persisted'), persist: anyInteger }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('read'), read: anyInteger }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('transfer'), target: replica }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('snapshot-taken'),
      snapshot: fc.record({ ...position, replicas: members, data: anyBytes }),
    }),
  },
)

describe('step', () => {
  it('never throws and never decreases the commit index, whatever it receives', () => {
    const steps = fc.array(fc.tuple(input, fc.integer({ min: 0, max: 700 }), anyBoolean), { maxLength: 40 })
    const property = fc.property(steps, fc.integer({ min: 1, max: 99 }), anyBoolean, (inputs, seed, leads) => {
      const driver = new Driver({ stored: storedOf([info('a'), info('b'), info('c')]), seed })
      if (leads) driver.becomeLeader()
      let commit = 0
      for (const [made, passed, syncs] of inputs) {
        driver.now += passed
        if (syncs) driver.run(made as Input)
        else driver.step(made as Input)
        const status = driver.replica.status()
        expect(status.commit).toBeGreaterThanOrEqual(commit)
        commit = status.commit
      }
    })
    fc.assert(property, { numRuns: 2_000, seed: Math.floor(seededRandom(5)() * 2 ** 31) })
  })
})
