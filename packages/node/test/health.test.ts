import { expect, test } from 'vitest'
import { healthOf } from '../src/health'

const serving = { leaving: false, documentInForce: true, confirmedAgeMs: 0, heardAgeMs: 0 }

test('only an entry that is leaving, has no document or has lost all contact is reported as unhealthy', () => {
  expect([
    healthOf(serving).state,
    healthOf({ ...serving, heardAgeMs: Infinity }).state,
    healthOf({ ...serving, confirmedAgeMs: 10_001 }).state,
    healthOf({ ...serving, confirmedAgeMs: 10_001, heardAgeMs: 10_001 }).state,
    healthOf({ ...serving, documentInForce: false }).state,
    healthOf({ ...serving, leaving: true }).state,
  ]).toEqual(['ready', 'ready', 'stale', 'isolated', 'not-ready', 'leaving'])
})
