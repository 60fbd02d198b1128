/**
 * Guards against responses that are lost behind a close of the entry: the caller still sends (a body, malformed bytes,
 * further requests) or reads slowly when its connection closes, and against what a closed connection may cost.
 */
import { spawn } from 'node:child_process'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { parseDocument } from '@bilberrystall/document'
import { expect, onTestFinished, test } from 'vitest'
import { DOCUMENT, respond, startEntry, startFakeServer, waitUntil, type FakeServer } from './harness'
import { connectCaller, get, readWhileSending, statusesOf } from './support/raw-caller'
import { bytesAtSlowPace, LONG_BODY_BYTES } from './support/slow-caller'

const CHUNK_BYTES = 65_536
const MAX_FLOOD_MB = 60
const MAX_TURN_MS = 1_000
const chunkOf = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`

/** Sends everything before it reads anything, as simple callers do; returns what it then reads. */
async function sendThenRead(port: number, request: string): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  onTestFinished(() => {
    socket.destroy()
  })
  socket.on('error', () => undefined).pause()
  const closed = new Promise((resolve) => socket.once('close', resolve))
  await Promise.race([new Promise((resolve) => socket.write(request, resolve)), closed])
  const parts: Buffer[] = []
  socket.on('data', (part: Buffer) => parts.push(part)).resume()
  await Promise.race([closed, sleep(1_000)])
  return Buffer.concat(parts).toString('latin1')
}

/** Responds to the first bytes of a request, keeps the connection and reads on. */
async function startEarlyServer(): Promise<FakeServer> {
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => undefined).resume()
    socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly'))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const crash = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  onTestFinished(crash)
  return { port: (server.address() as AddressInfo).port, received: [], sockets, crash }
}

test('a caller that sends its whole chunked body first gets the refusal of a body that is too large', async () => {
  const server = await startFakeServer(() => undefined)
  const { entry } = await startEntry([server])
  const head = 'POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
  const body = chunkOf(CHUNK_BYTES).repeat(LONG_BODY_BYTES / CHUNK_BYTES) + '0\r\n\r\n'
  expect(statusesOf(await sendThenRead(entry.port, head + body))).toEqual(['413'])
})

test('a caller that sends its whole body with a length first gets the refusal of a body that is too large', async () => {
  const server = await startFakeServer(() => undefined)
  const { entry } = await startEntry([server])
  const head = `POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: ${LONG_BODY_BYTES}\r\n\r\n`
  expect(statusesOf(await sendThenRead(entry.port, head + 'x'.repeat(LONG_BODY_BYTES)))).toEqual(['413'])
})

test('a caller that sends its whole body first gets a response that its server gives before it has the body', async () => {
  const server = await startEarlyServer()
  const document = parseDocument(DOCUMENT.replace('256KiB', '64MiB'))._unsafeUnwrap()
  const { entry } = await startEntry([server], { document: () => document })
  const head = 'POST /write HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
  const body = chunkOf(CHUNK_BYTES).repeat(LONG_BODY_BYTES / CHUNK_BYTES) + '0\r\n\r\n'
  expect(statusesOf(await sendThenRead(entry.port, head + body))).toEqual(['200'])
})

// A closed connection was destroyed after 2 s, while its caller was still sending.
test.each([
  ['in a stop', true],
  ['at another time', false],
])(
  'a caller that needs over two seconds for its body gets a response that its server gives before: %s',
  async (_, isStopping) => {
    const server = await startEarlyServer()
    const document = parseDocument(DOCUMENT.replace('256KiB', '64MiB').replaceAll('deadline = 5s', 'deadline = 20s'))
    const { entry } = await startEntry([server], { document: () => document._unsafeUnwrap() })
    const socket = connect(entry.port, '127.0.0.1')
    onTestFinished(() => {
      socket.destroy()
    })
    const parts: Buffer[] = []
    socket.on('error', () => undefined).pause()
    socket.write(`POST /write HTTP/1.1\r\nhost: x\r\ncontent-length: ${40 * CHUNK_BYTES}\r\n\r\n`)
    for (let chunk = 0; chunk < 40; chunk += 1) {
      if (isStopping && chunk === 3) void entry.drain(10_000)
      socket.write('x'.repeat(CHUNK_BYTES))
      await sleep(100)
    }
    const closed = new Promise((resolve) => socket.once('close', resolve))
    socket.on('data', (part: Buffer) => parts.push(part)).resume()
    await Promise.race([closed, sleep(1_000)])
    expect(statusesOf(Buffer.concat(parts).toString('latin1'))).toEqual(['200'])
  },
)

test('a caller that sends its whole head first gets the refusal of a head that is too large', async () => {
  const { entry } = await startEntry([])
  const head = `GET /read HTTP/1.1\r\nhost: x\r\nlong: ${'x'.repeat(LONG_BODY_BYTES)}\r\n\r\n`
  expect(statusesOf(await sendThenRead(entry.port, head))).toEqual(['431'])
})

test('malformed bytes that cross the close of their connection do not reset the response before them', async () => {
  const server = await startFakeServer((received) => {
    drained = entry.drain(20_000)
    respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const { entry } = await startEntry([server])
  let drained: Promise<boolean> | undefined
  const bytes = await readWhileSending(entry.port, get('/read?1'), '\u0001 malformed\r\n\r\n', 512 * 1024)
  expect(bytes).toBeGreaterThan(LONG_BODY_BYTES)
  expect(await drained).toBe(true)
})

test('bytes behind a request that closes its connection do not reset the response to it', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'x'.repeat(LONG_BODY_BYTES))
  })
  const { entry } = await startEntry([server])
  const request = 'GET /read?1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
  expect(await readWhileSending(entry.port, request, get('/read?2'), 512 * 1024)).toBeGreaterThan(LONG_BODY_BYTES)
})

test('a caller that needs over two seconds for the rest of its response gets it if it sends nothing more', async () => {
  expect(await bytesAtSlowPace('')).toBeGreaterThan(LONG_BODY_BYTES)
}, 40_000)

// A closed connection read for 2 s only, and not at all if Node.js had stopped to read because much was to be sent.
test('requests that cross the close do not reset a response whose caller needs over two seconds for its rest', async () => {
  expect(await bytesAtSlowPace(get('/read?2'))).toBeGreaterThan(LONG_BODY_BYTES)
}, 40_000)

// The connection was destroyed as soon as the response to be broken off had its turn.
test('a server that breaks off one response does not cost the caller the complete response before it', async () => {
  const server = await startFakeServer((received) => {
    if (received.head.startsWith('GET /read?1 ')) respond(received, 'x'.repeat(LONG_BODY_BYTES))
    else if (received.head.startsWith('GET /read?2 ')) {
      received.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${LONG_BODY_BYTES}\r\n\r\n${'y'.repeat(200_000)}`)
      setTimeout(() => received.socket.destroy(), 50)
    } else respond(received, 'behind')
  })
  const { entry } = await startEntry([server])
  const bytes = await readWhileSending(entry.port, get('/read?1') + get('/read?2'), get('/read?3'), 512 * 1024)
  expect(bytes).toBeGreaterThan(LONG_BODY_BYTES)
})

// The request was passed on although nothing could announce the close any more, and answered 502 at the end of the stop.
test('a request behind a response that began before a stop is answered whole or not passed on', async () => {
  const server = await startFakeServer((received) => {
    if (received.head.startsWith('GET /read?1 ')) {
      received.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${2 * CHUNK_BYTES}\r\n\r\n${'x'.repeat(CHUNK_BYTES)}`)
      setTimeout(() => received.socket.write('x'.repeat(CHUNK_BYTES)), 700)
    }
  })
  const { entry } = await startEntry([server])
  const caller = connectCaller(entry.port)
  caller.send(get('/read?1'))
  await waitUntil(() => caller.text().length > CHUNK_BYTES)
  const drained = entry.drain(1_500)
  await sleep(500)
  // The listener is closed; the caller sends ahead on its busy connection, and the server works on beyond the end.
  caller.send(get('/read?2'))
  await drained
  await entry.stop()
  await Promise.race([caller.closed, sleep(1_000)])
  const passedOn = server.received.some(({ head }) => head.startsWith('GET /read?2 '))
  expect({ passedOn, statuses: statusesOf(caller.text()) }).toEqual({ passedOn: false, statuses: ['200'] })
})

test('a caller that reads nothing does not hold up a stop beyond the response that breaks off', async () => {
  const server = await startFakeServer((received) => {
    received.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${2 * LONG_BODY_BYTES}\r\n\r\n`)
    received.socket.write('x'.repeat(LONG_BODY_BYTES))
  })
  const { entry, results } = await startEntry([server])
  const socket = connect(entry.port, '127.0.0.1')
  onTestFinished(() => {
    socket.destroy()
  })
  socket.pause().write('GET /brief HTTP/1.1\r\nhost: x\r\n\r\n')
  await waitUntil(() => results.length === 1)
  const start = performance.now()
  expect(await entry.drain(10_000)).toBe(true)
  expect(performance.now() - start).toBeLessThan(5_000)
})

test('a CONNECT behind a request does not cost the caller the response to that request', async () => {
  const server = await startFakeServer((received) => {
    setTimeout(() => {
      respond(received, 'answer')
    }, 100)
  })
  const { entry } = await startEntry([server])
  const caller = connectCaller(entry.port)
  caller.send(get('/read?1'))
  await waitUntil(() => server.received.length === 1)
  caller.send('CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n')
  await Promise.race([caller.closed, sleep(1_000)])
  expect(statusesOf(caller.text())[0]).toBe('200')
})

/** Floods the connection behind the close from a process of its own, and counts what it could send. */
const FLOOD = `
  const socket = require('node:net').connect({ port: Number(process.argv[1]), host: '127.0.0.1', allowHalfOpen: true })
  const get = 'GET /read?2 HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n'
  const flood = get.repeat(1000)
  let sent = 0
  const send = () => socket.write(flood, (error) => { if (!error) { sent += 1000; send() } })
  socket.on('error', () => undefined).on('close', () => { console.log(sent); process.exit() })
  socket.on('end', send).resume().write(process.argv[2])
`
const GET_FIRST = get('/read?1')
/** Its body is the first request of the flood. */
const REFUSED_FIRST = `POST /unknown HTTP/1.1\r\nhost: x\r\ncontent-length: ${get('/read?2').length}\r\n\r\n`

// The response to a request whose body is not there closes the connection at any time.
test.each([
  ['in a stop', true, GET_FIRST],
  ['behind a refusal', false, REFUSED_FIRST],
])(
  'a caller that sends on without end behind the close of its connection costs little: %s',
  async (_, isStopping, first) => {
    const server = await startFakeServer((received) => {
      respond(received, 'answer')
    })
    const { entry } = await startEntry([server])
    if (isStopping) entry.startDraining()
    const before = process.memoryUsage().heapUsed
    const delay = monitorEventLoopDelay({ resolution: 5 })
    delay.enable()
    const caller = spawn(process.execPath, ['-e', FLOOD, String(entry.port), first])
    onTestFinished(() => {
      caller.kill()
    })
    let peak = 0
    const sample = setInterval(() => (peak = Math.max(peak, process.memoryUsage().heapUsed - before)), 20)
    await new Promise((resolve) => caller.once('close', resolve))
    clearInterval(sample)
    const measured = { peakMb: Math.round(peak / 1e6), longestTurnMs: Math.round(delay.max / 1e6) }
    expect(measured.longestTurnMs).toBeLessThan(MAX_TURN_MS)
    expect(measured.peakMb).toBeLessThan(MAX_FLOOD_MB)
  },
)
