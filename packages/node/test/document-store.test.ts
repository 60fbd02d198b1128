import { expect, test } from 'vitest'
import { toDigest, revision } from '@bilberrystall/base'
import { DocumentStore, type PublishedDocument } from '../src/index'
import { TRIAL_ENVIRONMENT } from './control-cluster'

const createDocument = (number: number, digest = `digest ${number}`): PublishedDocument => {
  const identity = { environment: TRIAL_ENVIRONMENT, revision: revision(number), digest: toDigest(digest) }
  return { ...identity, version: 0, text: '', source: 'replica' }
}

test('a document is not in force after a restart until a majority confirms that it is the newest', () => {
  const documentStore = new DocumentStore()
  documentStore.offer(createDocument(3))
  expect(documentStore.inForce(TRIAL_ENVIRONMENT)).toBeUndefined()
  documentStore.confirm(TRIAL_ENVIRONMENT, revision(4), 100)
  expect(documentStore.inForce(TRIAL_ENVIRONMENT)).toBeUndefined()
  documentStore.offer(createDocument(4))
  expect(documentStore.inForce(TRIAL_ENVIRONMENT)?.revision).toBe(4)
  expect(documentStore.confirmedAt(TRIAL_ENVIRONMENT)).toBe(100)
})

test('a revision below the floor, or the floor revision with another digest, is rejected', () => {
  const documentStore = new DocumentStore()
  expect(
    documentStore.observeVersion({
      environment: TRIAL_ENVIRONMENT,
      revision: revision(5),
      digest: toDigest('digest 5'),
    }),
  ).toBe(true)
  expect(documentStore.offer(createDocument(4))._unsafeUnwrapErr().code).toBe('revisionBelowFloor')
  expect(documentStore.offer(createDocument(5, 'forged'))._unsafeUnwrapErr().code).toBe('revisionBelowFloor')
  expect(documentStore.offer(createDocument(5)).isOk()).toBe(true)
  expect(documentStore.offer(createDocument(4)).isErr()).toBe(true)
  expect(
    documentStore.observeVersion({
      environment: TRIAL_ENVIRONMENT,
      revision: revision(5),
      digest: toDigest('digest 5'),
    }),
  ).toBe(false)
})

test('a document stays in force until a newer confirmed revision arrives', () => {
  const documentStore = new DocumentStore()
  documentStore.offer(createDocument(3))
  documentStore.confirm(TRIAL_ENVIRONMENT, revision(3), 100)
  documentStore.confirm(TRIAL_ENVIRONMENT, revision(4), 200)
  expect(documentStore.inForce(TRIAL_ENVIRONMENT)?.revision).toBe(3)
  expect(documentStore.versions()).toEqual([{ environment: TRIAL_ENVIRONMENT, revision: 3, digest: 'digest 3' }])
  // The stored document is no longer known to be the newest, so its last confirmation does not advance.
  expect(documentStore.confirmedAt(TRIAL_ENVIRONMENT)).toBe(100)
  documentStore.offer(createDocument(4))
  expect(documentStore.confirmedAt(TRIAL_ENVIRONMENT)).toBe(200)
})
