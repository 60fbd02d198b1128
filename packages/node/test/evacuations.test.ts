/** Guards against an entry that goes back to an older list of evacuated domains, or trusts one that nobody confirmed. */
import { failureDomain } from '@bilberrystall/base'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { Evacuations, decodeEvacuations, type EvacuationChange } from '../src/evacuations'

const list = (position: number, ...domains: string[]) => ({ position, domains: domains.map(failureDomain) })

function start() {
  const changes: EvacuationChange[] = []
  return { changes, evacuations: new Evacuations((change) => changes.push(change)) }
}

test('whatever the order of the lists is, the newest one is in force', () => {
  const lists = [list(1, 'a'), list(2, 'a', 'b'), list(3, 'b'), list(4)]
  fc.assert(
    fc.property(fc.shuffledSubarray(lists, { minLength: 1 }), (offered) => {
      const { changes, evacuations } = start()
      for (const each of offered) evacuations.offer(each)
      const newest = offered.toSorted((left, right) => right.position - left.position)[0]
      expect([evacuations.position, evacuations.domains]).toEqual([newest?.position, newest?.domains])
      expect(changes.at(-1)?.domains ?? []).toEqual(newest?.domains)
    }),
  )
})

test('what starts and what ends is reported once, and a return between two lists is not', () => {
  const { changes, evacuations } = start()
  for (const each of [
    list(2, 'a', 'b'),
    list(2, 'a', 'b'),
    list(3, 'b', 'c', 'a'),
    list(5, 'a', 'b', 'c'),
    list(6, 'c'),
  ])
    evacuations.offer(each)
  expect(changes.map(({ started, ended }) => ({ started, ended }))).toEqual([
    { started: ['a', 'b'], ended: [] },
    { started: ['c'], ended: [] },
    { started: [], ended: ['a', 'b'] },
  ])
})

// Guards against an entry that serves after a restart with an older list than it had before.
test('only a list that a majority confirmed counts as confirmed, also if it is older than one that is known', () => {
  const { evacuations } = start()
  evacuations.offer(list(3, 'a'))
  expect(evacuations.isConfirmed).toBe(false)
  evacuations.confirm(list(2))
  expect(evacuations.isConfirmed).toBe(true)
  expect(evacuations.domains).toEqual(['a'])
})

test('a message of an earlier build, which names no position, changes nothing', () => {
  const { changes, evacuations } = start()
  evacuations.offer(list(1, 'a'))
  evacuations.offer(decodeEvacuations({ evacuated: [], evacuationPosition: 0n }))
  expect(changes).toHaveLength(1)
  expect(evacuations.domains).toEqual(['a'])
})
