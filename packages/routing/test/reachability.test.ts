/** Guards against taking a few failing servers for a partition, and a partition for failing servers. */
import { expect, test } from 'vitest'
import { Reachability } from '../src/index'
import { serverIdAt } from './driver'

const KNOWN = 10

function failAt(reachability: Reachability, servers: readonly number[], now: number): void {
  for (const server of servers) reachability.failed(serverIdAt(server), KNOWN, now)
}

test('failures at three servers in a row raise a suspicion, failures at one server do not', () => {
  const reachability = new Reachability()
  failAt(reachability, [1, 1, 1, 2], 100)
  expect(reachability.isSuspected).toBe(false)
  failAt(reachability, [3], 110)
  expect(reachability.isSuspected).toBe(true)
  expect(reachability.isCutOff).toBe(false)
})

test('only a response on a connection that is newer than the first failure ends a suspicion', () => {
  const reachability = new Reachability()
  failAt(reachability, [1, 2, 3], 100)
  reachability.responded(99)
  expect(reachability.isSuspected).toBe(true)
  reachability.responded(100)
  expect(reachability.isSuspected).toBe(false)
})

test('the entry is cut off when probes confirm the suspicion, until one gets a response', () => {
  const reachability = new Reachability()
  failAt(reachability, [1, 2, 3], 100)
  reachability.probed(false)
  expect(reachability.isCutOff).toBe(true)
  reachability.probed(true)
  expect(reachability.isCutOff).toBe(false)
  expect(reachability.isSuspected).toBe(false)
})

test('a single server is suspected after three failures in a row', () => {
  const reachability = new Reachability()
  for (const expected of [false, false, true]) {
    reachability.failed(serverIdAt(1), 1, 0)
    expect(reachability.isSuspected).toBe(expected)
  }
})
