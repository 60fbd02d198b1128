/**
 * Guards against a fake server whose extra copies differ from its responses, are missing, or are written within another
 * response: tests of entries rely on what it sends.
 */
import { connect, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { seededRandom } from '@bilberrystall/base'
import { expect, onTestFinished, test } from 'vitest'
import { drawCopy, eventually, FakeServer, StutteringConnection, type Behaviour } from '../src/index'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]
const RESPONSE = Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nsome body')
const HEAD_LENGTH = RESPONSE.length - 'some body'.length
/** Start of every response, as the fake server writes no interim ones. */
const STATUS_LINE = 'HTTP/1.1 '

async function startServer(seed: number, behaviour: Partial<Behaviour>): Promise<FakeServer> {
  const server = new FakeServer({ service: 'booking', server: 'b1', seed, slots: 10, behaviour })
  await server.start()
  onTestFinished(() => server.stop())
  return server
}

/**
 * Sends requests on one connection, each as soon as the response to the one before has begun, and reads everything.
 * `change` is the behaviour after the first response.
 */
async function exchange(
  server: FakeServer,
  paths: readonly string[],
  change: Partial<Behaviour> = {},
): Promise<string> {
  const [host, port] = server.address.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.setEncoding('latin1').on('data', (text: string) => (received += text))
  await once(socket, 'connect')
  for (const [index, path] of paths.entries()) {
    const attempt = `bilberrystall-attempt: attempt-${index}\r\n`
    const before = received.length
    socket.write(`GET ${path} HTTP/1.1\r\nhost: x\r\nx-request-id: request-${index}\r\n${attempt}\r\n`)
    await eventually('a response has begun', () => received.slice(before).includes(`"request-${index}"`))
    if (index === 0) await server.change({ behaviour: change })
  }
  await sleep(80)
  socket.destroy()
  return received
}

/** Position of the head with this attempt. */
function lastHeadOf(received: string, attempt: string): number {
  return received.lastIndexOf(STATUS_LINE, received.indexOf(attempt))
}

test.each(SEEDS)('the pieces of a copy are the start of the response, without gaps, seed %i', (seed) => {
  const copy = drawCopy(seededRandom(seed), RESPONSE, 12)
  const { pieces } = copy
  expect(pieces.length).toBeGreaterThan(0)
  expect(pieces.length).toBeLessThanOrEqual(3)
  expect(pieces.map(({ from }) => from)).toEqual([0, ...pieces.slice(0, -1).map(({ until }) => until)])
  expect(pieces.every(({ from, until }) => until > from && until <= RESPONSE.length)).toBe(true)
  expect(pieces.every(({ delayMs }) => delayMs >= 0 && delayMs <= 12)).toBe(true)
  expect(drawCopy(seededRandom(seed), RESPONSE, 12)).toEqual(copy)
})

test('copies are whole, cut within the head and cut within the body', () => {
  const random = seededRandom(1)
  const lengths = Array.from({ length: 300 }, () => drawCopy(random, RESPONSE, 12).pieces.at(-1)?.until ?? 0)
  expect(lengths.filter((length) => length === RESPONSE.length).length).toBeGreaterThan(50)
  expect(lengths.filter((length) => length < HEAD_LENGTH).length).toBeGreaterThan(50)
  expect(lengths.filter((length) => length >= HEAD_LENGTH && length < RESPONSE.length).length).toBeGreaterThan(50)
})

test.each(SEEDS.flatMap((seed) => ['', '&chunked', '&unframed'].map((framing) => [seed, framing] as const)))(
  'behind a complete response comes the start of the same bytes, seed %i, framing "%s"',
  async (seed, framing) => {
    const server = await startServer(seed, { stutterShare: 1 })
    // A copy may wait for the next request, which is answered after the copy.
    const paths = framing === '&unframed' ? ['/?ms=1&unframed'] : [`/?ms=1${framing}`, '/?ms=40']
    const received = await exchange(server, paths, { stutterShare: 0 })
    const end = { '': '}', '&chunked': '\r\n0\r\n\r\n', '&unframed': '}' }[framing] ?? ''
    const response = received.slice(0, received.indexOf(end) + end.length)
    expect(response).toContain('bilberrystall-attempt: attempt-0\r\n')
    expect(response.startsWith(`${STATUS_LINE}200 OK\r\n`)).toBe(true)
    const next = lastHeadOf(received, 'attempt-1')
    const copy = received.slice(response.length, framing === '&unframed' ? undefined : next)
    expect(copy.length).toBeGreaterThan(0)
    expect(response.startsWith(copy)).toBe(true)
    expect(server.record).toMatchObject({ extraCopies: 1, executions: paths.length })
    expect(server.record.besideExtraBytes).toEqual(framing === '&unframed' ? ['request-0'] : ['request-1'])
  },
)

test.each(SEEDS)('the pieces of copies are never within another response, seed %i', async (seed) => {
  const server = await startServer(seed, { stutterShare: 0.7 })
  const paths = Array.from({ length: 8 }, (_, index) => `/?ms=${index % 4}${index % 2 === 0 ? '&chunked' : ''}`)
  const received = await exchange(server, paths)
  for (const index of paths.keys()) {
    const echo = new RegExp(`HTTP/1.1 200 OK\r\n[^{]*attempt-${index}\r\n[^{]*\\{"request":"request-${index}",[^}]*\\}`)
    expect(received).toMatch(echo)
  }
  expect(server.record.extraCopies).toBeGreaterThan(0)
  expect(server.record.besideExtraBytes.length).toBeGreaterThan(0)
})

test.each([
  [false, []],
  [true, ['next']],
])(
  'a piece that is due within a response follows it, response ends with its connection: %s',
  async (ends, expected) => {
    const stream = new PassThrough()
    const recorded: string[] = []
    const connection = new StutteringConnection(stream as unknown as Socket, (requestId) => recorded.push(requestId))
    connection.begin('first', false)
    stream.write('first response')
    const copy = connection.end()
    const sending = connection.sendCopy(copy, {
      waitsForRequest: false,
      pieces: [{ from: 0, until: 5, delayMs: 10 }],
    })
    connection.onRequest('next')
    connection.begin('next', ends)
    stream.write('next ')
    await sending
    stream.write(Buffer.from('response'))
    expect(String(connection.end())).toBe('next response')
    expect(String(stream.read())).toBe('first responsenext responsefirst')
    expect(recorded).toEqual(expected)
    connection.onRequest('last')
    expect(recorded).toEqual([...expected, 'last'])
  },
)

test('a server without stutter sends no extra bytes and returns the attempt of every kind of response', async () => {
  const server = await startServer(1, {})
  const received = await exchange(server, ['/?ms=1', '/?ms=1'])
  expect(received.split(STATUS_LINE)).toHaveLength(3)
  expect(server.record).toMatchObject({ extraCopies: 0, besideExtraBytes: [] })
  for (const behaviour of [{ refusalShare: 1 }, { refusalShare: 0, failFastStatus: 502 }, { failureShare: 1 }]) {
    await server.change({ behaviour })
    const fields = { 'bilberrystall-attempt': 'a1' }
    const { headers } = await fetch(`http://${server.address}/`, { headers: fields })
    expect(headers.get('bilberrystall-attempt')).toBe('a1')
  }
})

test('the record has the status and body of each response, and whether the request ran', async () => {
  const server = await startServer(1, {})
  const fetchBody = async (behaviour: Partial<Behaviour>, id: string) => {
    await server.change({ behaviour })
    const response = await fetch(`http://${server.address}/`, { headers: { 'x-request-id': id } })
    return [response.status, await response.text()]
  }
  expect(await fetchBody({ refusalShare: 1 }, 'refused')).toEqual([503, 'shed'])
  expect(await fetchBody({ refusalShare: 0, failureShare: 1 }, 'failed')).toMatchObject([500, expect.any(String)])
  expect(await fetchBody({ failureShare: 0 }, 'complete')).toMatchObject([200, expect.any(String)])
  const { responses, byRequest } = server.record
  expect(byRequest).toEqual({ failed: 1, complete: 1 })
  expect(Object.entries(responses).map(([id, [response]]) => [id, response?.status, response?.ran])).toEqual([
    ['refused', 503, false],
    ['failed', 500, true],
    ['complete', 200, true],
  ])
})
