import { expect, test } from 'vitest'
import { computeHealth } from '../src/health'

const serving = { leaving: false, documentInForce: true, confirmedAgeMs: 0, lastExchangeAgeMs: 0 }

test('only an entry that is leaving, has no document or has lost all contact is reported as unhealthy', () => {
  expect([
    computeHealth(serving).state,
    computeHealth({ ...serving, lastExchangeAgeMs: Infinity }).state,
    computeHealth({ ...serving, confirmedAgeMs: 10_001 }).state,
    computeHealth({ ...serving, confirmedAgeMs: 10_001, lastExchangeAgeMs: 10_001 }).state,
    computeHealth({ ...serving, documentInForce: false }).state,
    computeHealth({ ...serving, leaving: true }).state,
  ]).toEqual(['ready', 'ready', 'stale', 'isolated', 'not-ready', 'leaving'])
})
