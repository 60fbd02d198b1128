/** Checks changes of the replica set, linearizable reads and snapshots at a single replica. */
import { logIndex, nodeId, replicaId, term } from '@bilberrystall/base'
import { describe, expect, it } from 'vitest'
import type { Output, ReplicaSetChange, SnapshotPosition } from '../src/index'
import { B, C, Driver, info, messagesOf, SELF, storedOf } from './support/driver'

const THREE = [info('a'), info('b'), info('c')]
const D = replicaId('d')
const ADD_LEARNER: ReplicaSetChange = { kind: 'add-learner', replica: D, node: nodeId('node-d') }
const command = new Uint8Array(8)

/** Results of proposals: `accepted`, or the code of the rejection. */
function proposalResults(outputs: readonly Output[]): readonly string[] {
  return outputs.flatMap((output) => {
    if (output.kind === 'accepted') return ['accepted']
    return output.kind === 'rejected' ? [output.failure.code] : []
  })
}

function outcome(driver: Driver, change: ReplicaSetChange): string {
  return proposalResults(driver.run({ kind: 'change-replica-set', proposal: 1, change }))[0] ?? 'none'
}

function leaderOf(replicas = THREE): Driver {
  const driver = new Driver({ stored: storedOf(replicas) })
  driver.becomeLeader()
  return driver
}

function readyReads(outputs: readonly Output[]): readonly Output[] {
  return outputs.filter((output) => output.kind === 'read-ready')
}

describe('changes of the replica set', () => {
  it('require a committed entry of the current term and a committed previous change', () => {
    const driver = leaderOf()
    expect(outcome(driver, ADD_LEARNER)).toBe('replicaSetBusy')
    driver.acknowledge(B, 2)
    expect(outcome(driver, ADD_LEARNER)).toBe('accepted')
    expect(outcome(driver, { kind: 'remove', replica: C })).toBe('replicaSetBusy')
    driver.acknowledge(B, 3)
    expect(outcome(driver, { kind: 'remove', replica: C })).toBe('accepted')
  })

  it('promote a learner only once it has every committed entry', () => {
    const driver = leaderOf([...THREE, info('d', 'learner')])
    driver.acknowledge(B, 2)
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('replicaBehind')
    driver.acknowledge(D, 1)
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('none')
    expect(outcome(driver, { kind: 'remove', replica: C })).toBe('replicaSetBusy')
    expect(proposalResults(driver.acknowledge(D, 1))).toEqual([])
    expect(driver.replica.status().replicas).toContainEqual(info('d', 'learner'))
    expect(proposalResults(driver.acknowledge(D, 2))).toEqual(['accepted'])
    expect(driver.replica.status().replicas).toContainEqual(info('d', 'voter'))
  })

  it('reject a promotion after 1 s if the learner stays behind, and when the leader steps down', () => {
    const driver = leaderOf([...THREE, info('d', 'learner')])
    driver.acknowledge(B, 2)
    driver.acknowledge(D, 1)
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('none')
    driver.now += 900
    driver.acknowledge(B, 2)
    expect(proposalResults(driver.tick(100))).toEqual(['replicaBehind'])
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('replicaBehind')
    driver.acknowledge(D, 1)
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('none')
    expect(proposalResults(driver.run(driver.append({ term: term(9) })))).toEqual(['notLeader'])
  })

  it('are rejected if they do not fit the current set', () => {
    const driver = new Driver({ bootstrap: true })
    driver.tick(0)
    expect(outcome(driver, { kind: 'remove', replica: SELF })).toBe('replicaSetInvalid')
    expect(outcome(driver, { kind: 'promote', replica: D })).toBe('replicaSetInvalid')
    expect(outcome(driver, { kind: 'add-learner', replica: SELF, node: nodeId('x') })).toBe('replicaSetInvalid')
  })

  it('let a leader that removes itself lead until the removal is committed', () => {
    const driver = leaderOf()
    driver.acknowledge(B, 2)
    expect(outcome(driver, { kind: 'remove', replica: SELF })).toBe('accepted')
    driver.acknowledge(B, 3)
    expect(driver.replica.status().role).toBe('leader')
    driver.acknowledge(C, 3)
    expect(driver.replica.status()).toMatchObject({ role: 'idle', commit: 3 })
  })

  it('send a removed replica the entry of its removal, and nothing after it has acknowledged it', () => {
    const driver = leaderOf()
    driver.acknowledge(B, 2)
    driver.acknowledge(C, 2)
    const outputs = driver.run({ kind: 'change-replica-set', proposal: 1, change: { kind: 'remove', replica: C } })
    expect(messagesOf(outputs, 'append').map((message) => message.to)).toContain(C)
    driver.acknowledge(C, 3)
    expect(driver.replica.status().commit).toBe(2)
    driver.acknowledge(B, 3)
    expect(messagesOf(driver.tick(100), 'append').map((message) => message.to)).toEqual([B])
  })

  it('stop sending to a removed replica that does not respond', () => {
    const driver = leaderOf()
    driver.acknowledge(B, 2)
    driver.run({ kind: 'change-replica-set', proposal: 1, change: { kind: 'remove', replica: C } })
    for (let passed = 0; passed < 5_000; passed += 500) {
      driver.acknowledge(B, 3)
      driver.tick(500)
    }
    driver.acknowledge(B, 3)
    expect(messagesOf(driver.tick(100), 'append').map((message) => message.to)).toEqual([B])
  })

  it('do not count a learner for commits, reads or the lease', () => {
    const driver = leaderOf([...THREE, info('d', 'learner')])
    driver.acknowledge(D, 2)
    expect(driver.replica.status()).toMatchObject({ commit: 0, lease: false })
    driver.acknowledge(B, 2)
    driver.now += 600
    driver.run({ kind: 'read', read: 1 })
    expect(readyReads(driver.acknowledge(D, 2, 1))).toEqual([])
    expect(driver.replica.status().lease).toBe(false)
    expect(readyReads(driver.acknowledge(C, 2, 1))).toMatchObject([{ read: 1, index: 2 }])
  })
})

describe('linearizable reads', () => {
  it('need a round that started after the read and a committed entry of the current term', () => {
    const driver = leaderOf()
    const asked = driver.run({ kind: 'read', read: 1 })
    expect(messagesOf(asked, 'append').map((message) => message.round)).toEqual([1, 1])
    expect(readyReads(driver.acknowledge(B, 1, 1))).toEqual([])
    expect(readyReads(driver.acknowledge(B, 2, 0))).toMatchObject([{ read: 1 }])
    driver.run({ kind: 'read', read: 2 })
    expect(readyReads(driver.acknowledge(B, 2, 1))).toEqual([])
    expect(readyReads(driver.acknowledge(B, 2, 2))).toMatchObject([{ read: 2 }])
  })

  it('are confirmed by the lease at once, but not after a transfer was requested', () => {
    const driver = leaderOf()
    driver.acknowledge(B, 2)
    expect(readyReads(driver.run({ kind: 'read', read: 1, mode: 'lease' }))).toHaveLength(1)
    driver.run({ kind: 'transfer', target: B })
    driver.acknowledge(B, 2)
    expect(readyReads(driver.run({ kind: 'read', read: 2, mode: 'lease' }))).toEqual([])
  })

  it('wait at a follower until the confirmed index is applied', () => {
    const driver = new Driver({ stored: storedOf(THREE) })
    driver.run(driver.append({ term: term(1) }))
    const [request] = messagesOf(driver.run({ kind: 'read', read: 5 }), 'read-request')
    const confirmed = { from: B, term: term(1), read: request?.read ?? 0, confirmed: true, index: logIndex(1) }
    expect(readyReads(driver.receive('read-response', confirmed))).toEqual([])
    const commit = { previousIndex: logIndex(1), previousTerm: term(1), commit: logIndex(1) }
    expect(readyReads(driver.run(driver.append({ term: term(1), ...commit })))).toMatchObject([{ read: 5, index: 1 }])
  })

  it('use different numbers in each process, so that a late response cannot match a read of a later process', () => {
    const numbers = [1, 2].map((seed) => {
      const driver = new Driver({ stored: storedOf(THREE), seed })
      driver.run(driver.append({ term: term(1) }))
      return messagesOf(driver.run({ kind: 'read', read: 5 }), 'read-request')[0]?.read
    })
    expect(numbers[0]).not.toBe(numbers[1])
  })

  it('fail within 1 s without a majority', () => {
    const driver = leaderOf()
    driver.acknowledge(B, 2)
    driver.run({ kind: 'read', read: 1 })
    expect(driver.tick(1_000).find((output) => output.kind === 'read-failed')).toMatchObject({ read: 1 })
  })
})

function snapshotRequest(outputs: readonly Output[]): SnapshotPosition {
  const request = outputs.find((output) => output.kind === 'take-snapshot')
  return request?.position ?? expect.unreachable('no snapshot was requested')
}

describe('snapshots', () => {
  it('limit the log to 1,000 entries and to 4 MiB plus the entry that exceeds it', () => {
    const driver = new Driver({ bootstrap: true })
    driver.tick(0)
    for (let proposal = 1; proposal <= 3_000; proposal += 1) {
      const size = proposal > 2_900 ? 256 * 1024 : 8
      for (const output of driver.run({ kind: 'propose', proposal, command: new Uint8Array(size) })) {
        if (output.kind !== 'take-snapshot') continue
        driver.run({ kind: 'snapshot-taken', snapshot: { ...output.position, data: command } })
      }
      const { logEntries, logBytes } = driver.replica.status()
      expect(logEntries).toBeLessThanOrEqual(1_000)
      expect(logBytes).toBeLessThanOrEqual(4 * 1024 * 1024 + 256 * 1024 + 32)
    }
  })

  it('are taken often, so that a restart replays few entries, and less often if they are large', () => {
    const driver = new Driver({ bootstrap: true })
    driver.run({ kind: 'tick' })
    const taken: number[] = []
    let size = 0
    for (let proposal = 1; proposal <= 100; proposal += 1) {
      for (const output of driver.run({ kind: 'propose', proposal, command })) {
        if (output.kind !== 'take-snapshot') continue
        taken.push(output.position.index)
        if (taken.length === 3) size = 1024 * 1024
        driver.run({ kind: 'snapshot-taken', snapshot: { ...output.position, data: new Uint8Array(size) } })
      }
    }
    expect(taken).toEqual([4, 8, 12, 20, 28, 36, 44, 52, 60, 68, 76, 84, 92, 100])
  })

  it('contain the replica set at their position, not a later uncommitted one', () => {
    const driver = new Driver({ stored: storedOf(THREE), limits: { logEntries: 4, keptEntries: 1 } })
    driver.becomeLeader()
    driver.acknowledge(B, 2)
    expect(outcome(driver, ADD_LEARNER)).toBe('accepted')
    const asked = [...driver.run({ kind: 'propose', proposal: 2, command }), ...driver.acknowledge(B, 2)]
    const request = asked.find((output) => output.kind === 'take-snapshot')
    expect(request).toMatchObject({ position: { index: 2, replicas: THREE } })
  })

  it('are received in chunks, acknowledged once synced, and replace the state and the replica set', () => {
    const driver = new Driver()
    const position = { index: logIndex(7), term: term(1), replicas: THREE }
    const chunk = { from: B, term: term(1), position, size: 4, round: 0, sentAt: 0 }
    const part = (offset: number): Uint8Array => new Uint8Array([offset, offset + 1])
    const first = driver.receive('snapshot-chunk', { ...chunk, offset: 0, data: part(0) })
    expect(messagesOf(first, 'snapshot-response')).toMatchObject([{ offset: 2, installed: false }])
    driver.receive('snapshot-chunk', { ...chunk, offset: 0, data: part(0) })
    const last = driver.step(driver.input('snapshot-chunk', { ...chunk, offset: 2, data: part(2) }))
    expect(messagesOf(last, 'snapshot-response')).toMatchObject([{ installed: false }])
    expect(last.some((output) => output.kind === 'restore')).toBe(false)
    const synced = driver.sync()
    const restored = synced.find((output) => output.kind === 'restore')
    expect(restored).toMatchObject({ snapshot: { data: new Uint8Array([0, 1, 2, 3]) } })
    expect(messagesOf(synced, 'snapshot-response')).toMatchObject([{ installed: true }])
    expect(driver.replica.status()).toMatchObject({ commit: 7, applied: 7, replicas: THREE, role: 'follower' })
  })

  it('are sent chunk by chunk, and a repeated response does not repeat the chunk', () => {
    const limits = { logEntries: 4, keptEntries: 1, chunkBytes: 4 }
    const driver = new Driver({ stored: storedOf(THREE), limits })
    driver.becomeLeader()
    for (let proposal = 1; proposal <= 6; proposal += 1) driver.run({ kind: 'propose', proposal, command })
    const shortened = snapshotRequest(driver.acknowledge(B, 8))
    driver.run({ kind: 'snapshot-taken', snapshot: { ...shortened, data: new Uint8Array(12) } })
    const current = driver.replica.status().term
    const rejection = { from: C, term: current, accepted: false, match: logIndex(1), hint: logIndex(1), round: 0 }
    // The data of the stored snapshot is not kept in memory, so a new one is requested from the host.
    const position = snapshotRequest(driver.receive('append-response', { ...rejection, sentAt: driver.now }))
    const started = driver.run({ kind: 'snapshot-taken', snapshot: { ...position, data: new Uint8Array(12) } })
    expect(messagesOf(started, 'snapshot-chunk')).toMatchObject([{ offset: 0, size: 12 }])
    const response = { from: C, term: current, index: position.index, installed: false, round: 0 }
    const answer = (offset: number): readonly number[] =>
      messagesOf(
        driver.receive('snapshot-response', { ...response, offset, sentAt: driver.now }),
        'snapshot-chunk',
      ).map((message) => message.offset)
    expect([answer(4), answer(4), answer(8), answer(4), answer(8)]).toEqual([[4], [], [8], [], [8]])
    expect(messagesOf(driver.tick(300), 'snapshot-chunk')).toMatchObject([{ offset: 8 }])
  })

  it('are not sent to a follower that has stopped responding', () => {
    const driver = new Driver({ stored: storedOf(THREE), limits: { logEntries: 4, keptEntries: 1, chunkBytes: 4 } })
    driver.becomeLeader()
    driver.acknowledge(C, 1)
    for (let proposal = 1; proposal <= 6; proposal += 1) driver.run({ kind: 'propose', proposal, command })
    const position = snapshotRequest(driver.acknowledge(B, 8))
    driver.run({ kind: 'snapshot-taken', snapshot: { ...position, data: new Uint8Array(12) } })
    for (let passed = 0; passed < 3_000; passed += 100) {
      const outputs = [...driver.acknowledge(B, 8), ...driver.tick(100)]
      if (passed < 1_000) continue
      expect(messagesOf(outputs, 'snapshot-chunk')).toEqual([])
      expect(outputs.some((output) => output.kind === 'take-snapshot')).toBe(false)
    }
  })

  it('are ignored if a chunk exceeds the size limit or is out of bounds', () => {
    const driver = new Driver()
    const position = { index: logIndex(7), term: term(1), replicas: THREE }
    const chunk = { from: B, term: term(1), position, offset: 0, data: command, round: 0, sentAt: 0 }
    for (const size of [2 ** 40, 4, Number.NaN]) {
      const outputs = driver.receive('snapshot-chunk', { ...chunk, size })
      expect(messagesOf(outputs, 'snapshot-response')).toEqual([])
    }
  })
})
