/**
 * Guards against taking an extra copy of a response, or a part of it, for a part of the response to the next request on
 * its connection.
 */
import { expect, test } from 'vitest'
import { generateCases, NONE_FAILING, playCases, summarise } from './support/stray-cases'
import { startStutteringServer, type Schedule } from './support/stuttering-server'

/** Schedules in which the first extra bytes arrive before the next request is sent, or while it is. */
const EARLY_SCHEDULES: readonly Schedule[] = ['attached', 'idle', 'idle-split']
const SCHEDULES: readonly Schedule[] = [...EARLY_SCHEDULES, 'joined', 'ahead', 'split']

/** Guards against extra bytes that the HTTP parser keeps until the next request is sent. */
test('the start of a copy that arrives while its connection is idle does not reach a caller', async () => {
  const server = await startStutteringServer()
  const results = await playCases(server, generateCases('head', EARLY_SCHEDULES, 1))
  expect(summarise(results)).toEqual(NONE_FAILING)
})

/** Guards against accepting a response that names another attempt. */
test('a copy with its whole head does not reach a caller', async () => {
  const server = await startStutteringServer()
  const results = await playCases(server, generateCases('body', SCHEDULES, 1))
  expect(summarise(results)).toEqual(NONE_FAILING)
})
