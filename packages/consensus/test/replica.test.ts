/** Checks individual rules that the seeded schedules exercise too rarely. */
import { logIndex, term } from '@bilberrystall/base'
import { describe, expect, it } from 'vitest'
import { checkStored, type Output } from '../src/index'
import { B, C, Driver, info, messagesOf, noOp, SELF, setEntry, storedOf } from './support/driver'

const THREE = [info('a'), info('b'), info('c')]
const command = new Uint8Array(8)

function kinds(outputs: readonly Output[]): readonly string[] {
  return outputs.map((output) => output.kind)
}

describe('start', () => {
  it('a bootstrapped replica becomes leader without peers once its ballot is synced', () => {
    const driver = new Driver({ bootstrap: true })
    expect(kinds(driver.step({ kind: 'tick' }))).toEqual(['persist', 'role'])
    expect(driver.replica.status().role).toBe('candidate')
    driver.sync()
    expect(driver.replica.status()).toMatchObject({ role: 'leader', term: 2, commit: 2, applied: 2 })
    const outputs = driver.run({ kind: 'propose', proposal: 1, command })
    expect(kinds(outputs)).toEqual(['persist', 'accepted', 'apply'])
  })

  it('a candidate with a slow disk waits for the sync of its own vote instead of starting further elections', () => {
    const driver = new Driver({ bootstrap: true, limits: { startupVoteDelay: 0, firstElection: 250 } })
    driver.step({ kind: 'tick' })
    for (let tick = 0; tick < 40; tick += 1) {
      driver.now += 50
      driver.step({ kind: 'tick' })
    }
    driver.sync()
    expect(driver.replica.status()).toMatchObject({ role: 'leader', term: 2 })
  })

  it('bootstrap is ignored if stored state exists', () => {
    const driver = new Driver({ bootstrap: true, stored: storedOf(THREE) })
    expect(driver.replica.status().replicas).toEqual(THREE)
  })

  it('an empty replica outside the replica set starts no election and writes nothing', () => {
    const driver = new Driver()
    for (let tick = 0; tick < 100; tick += 1) expect(driver.tick(100)).toEqual([])
    expect(driver.replica.status().role).toBe('idle')
  })

  it('a stored log that conflicts with the installed snapshot is discarded', () => {
    const snapshot = { index: logIndex(2), term: term(3), replicas: THREE, data: command }
    const stored = { ...storedOf(THREE, noOp(2, 1), setEntry(3, 1, [info('a')])), snapshot }
    expect(new Driver({ stored }).replica.status()).toMatchObject({ lastIndex: 2, commit: 2, replicas: THREE })
    const fitting = { ...storedOf(THREE, noOp(2, 3), noOp(3, 3)), snapshot }
    expect(new Driver({ stored: fitting }).replica.status()).toMatchObject({ lastIndex: 3, commit: 2 })
  })

  it('stored entries with a gap are rejected', () => {
    expect(checkStored({ entries: [noOp(1, 1), noOp(3, 1)] }).isErr()).toBe(true)
    expect(checkStored({ entries: [noOp(2, 1)] }).isErr()).toBe(true)
    expect(checkStored({ entries: [noOp(1, 1), noOp(2, 1)] }).isOk()).toBe(true)
  })
})

describe('reads without a known leader', () => {
  const read = { kind: 'read', read: 1, mode: 'quorum' } as const

  it('wait for the next elected leader and are requested from it once', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    expect(driver.run(read)).toEqual([])
    const elected = driver.run(driver.append({ term: term(2), previousIndex: logIndex(1), previousTerm: term(1) }))
    const asked = messagesOf(elected, 'read-request')
    expect(asked).toMatchObject([{ to: B }])
    expect(messagesOf(driver.tick(50), 'read-request')).toEqual([])
    const answer = { from: B, term: term(2), read: asked[0]?.read ?? 0, confirmed: true, index: logIndex(0) }
    expect(kinds(driver.receive('read-response', answer))).toEqual(['read-ready'])
  })

  it('are requested again from the next leader', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.run(read)
    const place = { previousIndex: logIndex(1), previousTerm: term(1) }
    driver.run(driver.append({ term: term(2), ...place }))
    const next = driver.run(driver.append({ term: term(3), from: C, ...place }))
    expect(messagesOf(next, 'read-request')).toMatchObject([{ to: C }])
  })

  it('are confirmed by this replica when it wins the election', () => {
    const driver = new Driver({ stored: storedOf(THREE), limits: { readTimeout: 5_000 } })
    driver.run(read)
    driver.becomeLeader()
    const { lastIndex } = driver.replica.status()
    driver.acknowledge(B, lastIndex)
    expect(kinds(driver.acknowledge(B, lastIndex, 1))).toContain('read-ready')
  })

  it('fail after the read timeout', () => {
    const driver = new Driver({ stored: storedOf(THREE), limits: { readTimeout: 1_000 } })
    driver.run(read)
    expect(kinds(driver.tick(999))).not.toContain('read-failed')
    expect(kinds(driver.tick(2))).toContain('read-failed')
  })

  it('fail at once outside the replica set, where a leader may never become known', () => {
    expect(kinds(new Driver().run(read))).toEqual(['read-failed'])
  })
})

describe('elections', () => {
  const request = { from: C, term: term(2), lastIndex: logIndex(9), lastTerm: term(1) }

  it('a vote is sent only after it is synced', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.now += 700
    const before = driver.step(driver.input('vote', { ...request, transfer: false }))
    expect(kinds(before)).toEqual(['persist', 'role'])
    expect(messagesOf(driver.sync(), 'vote-response')).toMatchObject([{ to: C, granted: true }])
  })

  it('a voter in contact with its leader refuses pre-votes and ignores vote requests', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.now += 5_000
    driver.run(driver.append({ term: term(1) }))
    driver.now += 500
    expect(messagesOf(driver.receive('pre-vote', request), 'pre-vote-response')).toMatchObject([{ granted: false }])
    expect(driver.receive('vote', { ...request, transfer: false })).toEqual([])
    expect(driver.replica.status().term).toBe(1)
  })

  it('a restarted voter grants no pre-vote for one election timeout, since it may have renewed a lease before', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.now += 500
    expect(messagesOf(driver.receive('pre-vote', request), 'pre-vote-response')).toMatchObject([{ granted: false }])
  })

  it('a candidate with a shorter log gets no vote', () => {
    const driver = new Driver({ stored: storedOf(THREE, noOp(2, 1)) })
    driver.now += 700
    const outputs = driver.receive('vote', { ...request, lastIndex: logIndex(1), transfer: false })
    expect(messagesOf(outputs, 'vote-response')).toMatchObject([{ granted: false }])
  })

  it('a leader that was suspended steps down before it handles an input', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.becomeLeader()
    driver.acknowledge(B, 2)
    driver.now += 1_000
    const outputs = driver.run({ kind: 'read', read: 1, mode: 'lease' })
    expect(outputs.find((output) => output.kind === 'read-failed')).toMatchObject({ failure: { code: 'notLeader' } })
    expect(driver.replica.status().role).toBe('follower')
  })

  it('a leader whose disk does not sync for 2 s steps down although followers respond', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.becomeLeader()
    driver.acknowledge(B, 2)
    driver.step({ kind: 'propose', proposal: 1, command })
    for (let passed = 0; passed <= 2_100; passed += 100) {
      driver.now += 100
      driver.step({ kind: 'tick' })
      const { role, term: current } = driver.replica.status()
      if (role !== 'leader') break
      const body = { from: B, term: current, accepted: true, match: logIndex(3), hint: logIndex(3), round: 0 }
      driver.step(driver.input('append-response', { ...body, sentAt: driver.now }))
    }
    expect(driver.replica.status().role).not.toBe('leader')
  })
})

describe('replication', () => {
  it('does not acknowledge entries of an earlier leader to a new leader', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    const old = { previousIndex: logIndex(1), previousTerm: term(1), entries: [noOp(2, 1), noOp(3, 1)] }
    expect(messagesOf(driver.run(driver.append({ term: term(1), ...old })), 'append-response')).toMatchObject([
      { match: 3 },
    ])
    const heartbeat = { from: C, previousIndex: logIndex(1), previousTerm: term(1) }
    const answer = messagesOf(driver.run(driver.append({ term: term(2), ...heartbeat })), 'append-response')
    expect(answer.at(-1)).toMatchObject({ accepted: true, match: 1 })
  })

  it('entries that are replaced before their write is synced do not count as synced', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    const position = { previousIndex: logIndex(1), previousTerm: term(1) }
    driver.step(driver.append({ term: term(1), ...position, entries: [noOp(2, 1), noOp(3, 1), noOp(4, 1)] }))
    driver.step(driver.append({ term: term(2), from: C, ...position }))
    const ballot = driver.unsyncedPersists.at(-1) ?? 0
    driver.step(driver.append({ term: term(2), from: C, ...position, entries: [noOp(2, 2), noOp(3, 2)] }))
    const outputs = driver.step({ kind: 'persisted', persist: ballot })
    for (const answer of messagesOf(outputs, 'append-response')) expect(answer.match).toBe(1)
    expect(messagesOf(driver.sync(), 'append-response').at(-1)).toMatchObject({ match: 3 })
  })

  it('a replica set is reverted when its entry is truncated', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    const position = { previousIndex: logIndex(1), previousTerm: term(1) }
    const set = setEntry(2, 1, [...THREE, info('d', 'learner')])
    driver.run(driver.append({ term: term(1), ...position, entries: [set] }))
    expect(driver.replica.status().replicas).toHaveLength(4)
    driver.run(driver.append({ term: term(2), from: C, ...position, entries: [noOp(2, 2)] }))
    expect(driver.replica.status().replicas).toEqual(THREE)
  })

  it('a message to another replica id is ignored', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    const input = driver.append({ term: term(5) })
    if (input.kind !== 'message') return
    expect(driver.run({ kind: 'message', message: { ...input.message, to: C } })).toEqual([])
  })

  it('a follower that never responds receives a limited number of batches', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.becomeLeader()
    driver.acknowledge(B, 2)
    let batches = 0
    for (let proposal = 1; proposal <= 100; proposal += 1) {
      const outputs = driver.run({ kind: 'propose', proposal, command })
      batches += messagesOf(outputs, 'append').filter((message) => message.entries.length > 0).length
    }
    // 8 batches in flight to b and one probe to c.
    expect(batches).toBeLessThanOrEqual(9)
  })

  it('proposals that exceed the limit of unapplied bytes are rejected', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.becomeLeader()
    const large = new Uint8Array(512 * 1024)
    const refused = [1, 2, 3, 4].flatMap((proposal) =>
      driver
        .run({ kind: 'propose', proposal, command: large })
        .flatMap((output) => (output.kind === 'rejected' ? [[output.proposal, output.failure.code]] : [])),
    )
    // Three commands of 512 KiB and the overhead of their entries fit into the limit of 2 MiB.
    expect(refused).toEqual([[4, 'logBacklog']])
  })
})

describe('leadership transfer', () => {
  it('starts once the target has the whole log, rejects proposals meanwhile and gives up at the deadline', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.becomeLeader()
    expect(messagesOf(driver.run({ kind: 'transfer', target: B }), 'transfer')).toEqual([])
    expect(messagesOf(driver.acknowledge(B, 2), 'transfer')).toMatchObject([{ to: B }])
    const [rejected] = driver.run({ kind: 'propose', proposal: 1, command })
    expect(rejected).toMatchObject({ kind: 'rejected', leader: B })
    for (let passed = 0; passed < 1_200; passed += 100) {
      driver.acknowledge(B, 2)
      driver.now += 100
    }
    expect(kinds(driver.run({ kind: 'tick' }))).toContain('transfer-failed')
    expect(driver.replica.status().role).toBe('leader')
  })

  it('the target starts an election at once and tells voters to ignore the old leader', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.run(driver.append({ term: term(1) }))
    const outputs = driver.receive('transfer', { from: B, term: term(1) })
    expect(messagesOf(outputs, 'vote')).toMatchObject([{ transfer: true }, { transfer: true }])
    expect(messagesOf(outputs, 'vote').map((vote) => vote.to)).not.toContain(SELF)
  })
})
