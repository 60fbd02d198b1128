/** Guards against a late copy of a response that answers the next request, where callers give no ids to their attempts. */
import { seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { AttemptIds, attemptFields } from '../src/ids-of-attempts'
import { DEFAULT_DIALECT } from '../src/index'
import { respond, sendCall, startEntry, startFakeServer, type ReceivedRequest } from './harness'

const ATTEMPT = /^bilberrystall-attempt: .*$/im

const attemptField = ({ head }: ReceivedRequest): string => ATTEMPT.exec(head)?.[0] ?? ''
const send = (origin: string, body: string) => sendCall(`${origin}/write`, { method: 'POST', body })

test('a copy of a response does not answer the next request if the server returns the ids of attempts', async () => {
  let last = ''
  const server = await startFakeServer((received) => {
    const { socket, body } = received
    const copy = last
    const fields = [`content-length: ${body.length}`, attemptField(received)].filter((field) => field !== '')
    last = `HTTP/1.1 200 OK\r\n${fields.join('\r\n')}\r\n\r\n${body}`
    socket.write(copy + last)
  })
  const { origin, results } = await startEntry([server])
  expect(await send(origin, 'first')).toMatchObject({ status: 200, text: 'first' })
  expect(await send(origin, 'second')).toMatchObject({ status: 502, outcome: 'unknown' })
  expect(results).toEqual(['complete', 'connectionLost'])
})

test('each request to a server has an id of its own, which callers neither set nor see', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'done', [attemptField(received)])
  })
  const { origin } = await startEntry([server])
  for (let index = 0; index < 3; index += 1) {
    const headers = { 'bilberrystall-attempt': 'of the caller' }
    const result = await sendCall(`${origin}/write`, { method: 'POST', body: 'x', headers })
    expect(result.status).toBe(200)
    expect(Object.keys(result.headers)).not.toContain('bilberrystall-attempt')
  }
  const ids = server.received.map((received) => attemptField(received).split(': ')[1])
  expect(new Set(ids).size).toBe(3)
  expect(ids).not.toContain('of the caller')
})

test('a server that returns no ids is served on one connection', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const { origin } = await startEntry([server])
  for (let index = 0; index < 3; index += 1) expect(await send(origin, 'x')).toMatchObject({ status: 200 })
  expect(server.sockets).toHaveLength(1)
})

test.each([
  ['success', '200 OK', [], 502],
  ['refusal', '503 Service Unavailable', ['bilberrystall-not-run: 1'], 502],
  ['failure', '404 Not Found', [], 404],
])('where a server has returned an id, a %s without one', async (_, status, fields, expected) => {
  const reuse: boolean[] = []
  const server = await startFakeServer((received) => {
    if (received.requestIndex === 0) respond(received, 'done', [attemptField(received)])
    else respond(received, 'done', fields, status)
  })
  const { origin } = await startEntry([server], {
    events: { reuseChanged: (_server, isAllowed) => reuse.push(isAllowed) },
  })
  expect(await send(origin, 'x')).toMatchObject({ status: 200 })
  expect(await send(origin, 'x')).toMatchObject({ status: expected })
  expect(reuse).toEqual([])
})

test('the entry gives ids only if callers give none', () => {
  const ids = new AttemptIds(DEFAULT_DIALECT, seededRandom(1))
  expect([ids.next(), ids.next()].map((id) => attemptFields(id, DEFAULT_DIALECT))).toMatchInlineSnapshot(`
    [
      [
        "bilberrystall-attempt",
        "mkorf9-1",
      ],
      [
        "bilberrystall-attempt",
        "mkorf9-2",
      ],
    ]
  `)
  const none = new AttemptIds({ ...DEFAULT_DIALECT, attemptIds: 'caller' }, seededRandom(1)).next()
  expect(attemptFields(none, DEFAULT_DIALECT)).toEqual([])
})
