/**
 * Guards against responses of servers that stop the event loop of the entry: a failed assertion in a library made
 * Node.js parse the whole bundle, which took seconds. Guards as well against a status that no HTTP response has, which a
 * caller would take for an answer. Runs the entry as it is bundled for each way to run it.
 */
import { afterAll, beforeAll, describe, expect, test } from 'vitest'
import { BUNDLE, SERVICE_BUNDLE } from '../../../scripts/bundle'
import { BundledEntry, MAX_TURN_MS } from './support/bundled-entry'

const BUNDLES = { binary: BUNDLE, service: SERVICE_BUNDLE }
/** Status lines, some with further header fields, and the status that the caller gets. */
const RESPONSES: readonly (readonly [start: string, status: number])[] = [
  ['HTTP/1.1 000 OK', 502],
  ['HTTP/1.1 001 OK', 502],
  ['HTTP/1.1 099 OK', 502],
  ['HTTP/1.1 100 Continue', 502],
  ['HTTP/1.1 101 Switching Protocols', 502],
  ['HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other', 502],
  ['HTTP/1.1 600 Odd', 502],
  ['HTTP/1.1 700 Odd', 502],
  ['HTTP/1.1 999 Odd', 502],
  ['HTTP/1.1 1000 Odd', 502],
  ['HTTP/9.9 200 OK', 502],
  ['bytes that are no response', 502],
  ['HTTP/1.1 200 OK\r\ncontent-length: 1', 502],
  ['HTTP/1.1 200 OK\r\ntransfer-encoding: chunked', 502],
]

describe.each(Object.entries(BUNDLES))('the %s bundle', (_, options) => {
  let entry: BundledEntry

  beforeAll(async () => {
    entry = await BundledEntry.build(options)
  })
  afterAll(() => {
    entry.remove()
  })

  test.each(RESPONSES)('goes on within one turn after the response %j', async (start, expected) => {
    const { statuses, longestTurnMs } = await entry.run(1, (socket) => {
      socket.write(`${start}\r\ncontent-length: 2\r\n\r\nok`)
    })
    expect(statuses).toEqual([expected])
    expect(longestTurnMs).toBeLessThan(MAX_TURN_MS)
  })
})
