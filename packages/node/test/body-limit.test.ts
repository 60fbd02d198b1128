import { Readable } from 'node:stream'
import { request } from 'undici'
import { Hono } from 'hono'
import { afterAll, afterEach, beforeAll, expect, test, vi } from 'vitest'
import { limitBody } from '../src/body-limit'
import { listen, type Listener } from '../src/listener'

const MAX_BYTES = 100
let listener: Listener

beforeAll(async () => {
  const app = new Hono()
  const limit = limitBody({ maxBytes: MAX_BYTES, onExceeded: (context) => context.text('too large', 413) })
  app.post('/', limit, async (context) => context.text(String((await context.req.text()).length)))
  listener = (await listen(app, '127.0.0.1:0'))._unsafeUnwrap()
})

afterAll(() => listener.close())

afterEach(() => {
  vi.restoreAllMocks()
})

async function post(body: string | Readable): Promise<{ status: number; text: string }> {
  const response = await request(`http://127.0.0.1:${listener.port}/`, { method: 'POST', body })
  return { status: response.statusCode, text: await response.body.text() }
}

test.each([
  ['a stated length', (text: string) => text],
  ['chunks', (text: string) => Readable.from([text.slice(0, 60), text.slice(60)])],
])('a body with %s is passed on up to the limit and refused beyond it', async (_, bodyOf) => {
  expect(await post(bodyOf('x'.repeat(MAX_BYTES)))).toEqual({ status: 200, text: '100' })
  expect(await post(bodyOf('x'.repeat(MAX_BYTES + 1)))).toEqual({ status: 413, text: 'too large' })
  expect(await post(bodyOf('x'))).toEqual({ status: 200, text: '1' })
})

// Guards the CPU time of announcements, of which the body stream took the larger part.
test('a body with a stated length is read without a body stream', async () => {
  const createStream = vi.spyOn(Readable, 'toWeb')
  expect(await post('x')).toMatchObject({ status: 200 })
  expect(createStream).not.toHaveBeenCalled()
})
