/** Guards against entries that each use a whole bound because they lost sight of each other. */
import { expect, test } from 'vitest'
import { KnownEntries, type KnownEntriesOptions } from '../src/index'

function makeEntries(options: Partial<KnownEntriesOptions> = {}): KnownEntries {
  const entries = new KnownEntries({ self: 'b', startedAt: 0, ...options })
  entries.seen('a')
  entries.seen('c')
  return entries
}

test('an entry counts none until its directory has filled, then itself and the live ones', () => {
  const entries = makeEntries()
  expect(entries.list(2_999)).toEqual([])
  expect(entries.list(3_000)).toEqual(['a', 'b', 'c'])
})

test('an entry that is lost still counts, since it may be cut off, until it has been lost for an hour', () => {
  const entries = makeEntries()
  const list = entries.list(5_000)
  entries.lost('c', false, 5_000)
  expect(entries.list(3_604_999)).toBe(list)
  expect(entries.list(3_605_000)).toEqual(['a', 'b'])
})

test('an entry that left in an orderly way no longer counts, and one that returns does', () => {
  const entries = makeEntries()
  entries.lost('c', true, 5_000)
  expect(entries.list(5_000)).toEqual(['a', 'b'])
  entries.seen('c')
  expect(entries.list(5_001)).toEqual(['a', 'b', 'c'])
})

test('the list remains the same array while entries are lost and return', () => {
  const entries = makeEntries()
  const list = entries.list(5_000)
  entries.lost('a', false, 5_000)
  entries.seen('a')
  expect(entries.list(4_000_000)).toBe(list)
})

test('an entry that left counts for the retention of those that left, also beside one that was lost before', () => {
  const entries = makeEntries({ settleMs: 10_000, leftRetentionMs: 10_000 })
  expect(entries.list(9_999)).toEqual([])
  entries.lost('a', false, 11_000)
  entries.lost('c', true, 12_000)
  expect(entries.list(21_999)).toEqual(['a', 'b', 'c'])
  expect(entries.list(22_000)).toEqual(['a', 'b'])
  expect(entries.list(3_611_000)).toEqual(['b'])
})
