import { failureDomain, nodeId } from '@bilberrystall/base'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { acceptKey, chooseHolders, createKey, parseKey, rosterAt } from '../src/index'

const NOW = 1_800_000_000_123

const roster = (count: number, domains: number) =>
  Array.from({ length: count }, (_, index) => ({
    node: nodeId(`entry-${index}`),
    domain: failureDomain(`domain-${index % domains}`),
  }))

const keys = fc.uint8Array({ minLength: 10, maxLength: 10 }).map((random) => createKey(NOW, random))

test('the loss of one of three failure domains leaves a majority of holders', () => {
  fc.assert(
    fc.property(keys, (key) => {
      const entries = roster(11, 3)
      const holders = chooseHolders(key, entries)
      const lost = ['domain-0', 'domain-1', 'domain-2'].map(
        (domain) => entries.filter((entry) => entry.domain === domain && holders.includes(entry.node)).length,
      )
      return new Set(holders).size === 5 && Math.max(...lost) === 2
    }),
    { seed: 1 },
  )
})

test('holders do not depend on the order of the roster', () => {
  fc.assert(
    fc.property(keys, fc.integer({ min: 1, max: 12 }), (key, count) => {
      const entries = roster(count, 4)
      expect(chooseHolders(key, entries.toReversed())).toEqual(chooseHolders(key, entries))
      expect(chooseHolders(key, entries)).toHaveLength(Math.min(5, count))
    }),
    { seed: 1 },
  )
})

test('the roster in force at the key time is used, not the newest', () => {
  const history = [100, 200].map((effectiveFrom, index) => ({ epoch: index + 1, effectiveFrom, entries: [] }))
  expect([99, 100, 199, 200].map((time) => rosterAt(history, time)?.epoch)).toEqual([undefined, 1, 1, 2])
})

test('a created key contains its time, and keys outside the accepted time range are rejected', () => {
  const key = createKey(NOW, new Uint8Array(10).fill(255))
  expect(parseKey(key.toUpperCase())._unsafeUnwrap()).toEqual({ key, time: NOW })
  const code = (text: string, now: number) =>
    acceptKey(text, now, 60_000).match(
      () => 'ok',
      (cause) => cause.code,
    )
  expect(code(key, NOW - 30_000)).toBe('ok')
  expect(code(key, NOW - 30_001)).toBe('keyAhead')
  expect(code(key, NOW + 59_999)).toBe('ok')
  expect(code(key, NOW + 60_000)).toBe('keyExpired')
  expect(code('0198c0de-0000-4000-8000-000000000000', NOW)).toBe('keyMalformed')
})
