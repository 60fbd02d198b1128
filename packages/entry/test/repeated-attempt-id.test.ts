/** Guards against a copy of a response that answers a later request with the same attempt id, which its caller sent twice. */
import { expect, test } from 'vitest'
import { sendCall, startEntry, startFakeServer } from './harness'
import { ATTEMPT_DIALECT, PATIENT_ATTEMPT_DOCUMENT, header } from './support/attempt-dialect'

test('a copy of a response does not answer another request with the same attempt id', async () => {
  const responses = new WeakMap<object, string>()
  const server = await startFakeServer((received) => {
    const { socket, body } = received
    const copy = responses.get(socket) ?? ''
    const fields = [
      `x-attempt: ${header(received, 'x-attempt') ?? ''}`,
      'x-signature: s',
      `content-length: ${body.length}`,
    ]
    const response = `HTTP/1.1 200 OK\r\n${fields.join('\r\n')}\r\n\r\n${body}`
    responses.set(socket, response)
    socket.write(copy + response)
  })
  const { origin } = await startEntry([server], { dialect: ATTEMPT_DIALECT, document: () => PATIENT_ATTEMPT_DOCUMENT })
  const send = (body: string) => sendCall(`${origin}/write`, { method: 'POST', body, headers: { 'x-attempt': 'a' } })
  expect(await send('first')).toMatchObject({ status: 200, text: 'first' })
  expect(await send('second')).toMatchObject({ status: 200, text: 'second' })
})
