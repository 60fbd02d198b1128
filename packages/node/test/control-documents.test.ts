import { expect, test } from 'vitest'
import { digestOf, revision } from '@bilberrystall/base'
import { DocumentKeeper, type HeldDocument } from '../src/index'
import { TRIAL } from './control-cluster'

const held = (number: number, digest = `digest ${number}`): HeldDocument => {
  return { environment: TRIAL, revision: revision(number), digest: digestOf(digest), version: 0, text: '' }
}

test('a document is not in force after a restart until a majority confirms that it is the newest', () => {
  const keeper = new DocumentKeeper()
  keeper.offer(held(3))
  expect(keeper.inForce(TRIAL)).toBeUndefined()
  keeper.confirm(TRIAL, revision(4), 100)
  expect(keeper.inForce(TRIAL)).toBeUndefined()
  keeper.offer(held(4))
  expect(keeper.inForce(TRIAL)?.revision).toBe(4)
  expect(keeper.confirmedAt(TRIAL)).toBe(100)
})

test('a revision below the floor, or the floor revision with another digest, is rejected', () => {
  const keeper = new DocumentKeeper()
  expect(keeper.saw({ environment: TRIAL, revision: revision(5), digest: digestOf('digest 5') })).toBe(true)
  expect(keeper.offer(held(4))._unsafeUnwrapErr().code).toBe('revisionBelowFloor')
  expect(keeper.offer(held(5, 'forged'))._unsafeUnwrapErr().code).toBe('revisionBelowFloor')
  expect(keeper.offer(held(5)).isOk()).toBe(true)
  expect(keeper.offer(held(4)).isErr()).toBe(true)
  expect(keeper.saw({ environment: TRIAL, revision: revision(5), digest: digestOf('digest 5') })).toBe(false)
})

test('a document stays in force until a newer confirmed revision arrives', () => {
  const keeper = new DocumentKeeper()
  keeper.offer(held(3))
  keeper.confirm(TRIAL, revision(3), 100)
  keeper.confirm(TRIAL, revision(4), 200)
  expect(keeper.inForce(TRIAL)?.revision).toBe(3)
  expect(keeper.versions()).toEqual([{ environment: TRIAL, revision: 3, digest: 'digest 3' }])
  // The stored document is no longer known to be the newest, so its last confirmation does not advance.
  expect(keeper.confirmedAt(TRIAL)).toBe(100)
  keeper.offer(held(4))
  expect(keeper.confirmedAt(TRIAL)).toBe(200)
})
