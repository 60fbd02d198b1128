/** Guards against work that each small chunk of a server causes: a write to the caller of its own. */
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, test } from 'vitest'
import { startEntry, startFakeServer, waitUntil } from './harness'
import { connectCaller, get } from './support/raw-caller'

const CHUNKS = 4_000
/** Longer than the time for which a response of unknown length is buffered. */
const PAUSE_MS = 100

test('chunks of one byte that arrive together are passed on together, unchanged and in order', async () => {
  const body = Array.from({ length: CHUNKS }, (_, index) => String.fromCharCode(97 + (index % 26))).join('')
  const server = await startFakeServer(({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n-\r\n')
    const chunks = Array.from(body, (byte) => `1\r\n${byte}\r\n`).join('')
    void sleep(PAUSE_MS).then(() => socket.write(`${chunks}0\r\n\r\n`))
  })
  const { entry, results } = await startEntry([server])
  const caller = connectCaller(entry.port)
  caller.send(get('/read'))
  await waitUntil(() => caller.text().endsWith('0\r\n\r\n'))
  const chunked = caller.text().slice(caller.text().indexOf('\r\n\r\n') + 4)
  const chunks = chunked.split('\r\n').filter((_, index) => index % 2 === 1)
  expect(chunks.join('')).toBe(`-${body}`)
  expect(chunks.length).toBeLessThan(CHUNKS / 10)
  expect(results).toEqual(['complete'])
})
