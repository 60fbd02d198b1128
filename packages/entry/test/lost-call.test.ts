/** Guards against treating every broken connection as the end of its server. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { expect, onTestFinished, test } from 'vitest'
import type { LostCall, ServerCheck } from '../src/index'
import { checkServer } from '../src/server-check'
import { sendCall, startEntry, startFakeServer, type FakeServer, type ReceivedRequest } from './harness'

interface Report {
  readonly lost: LostCall
  readonly check: ServerCheck
}

async function loseCalls(server: FakeServer, calls: readonly [path: string, body: string][]): Promise<Report[]> {
  const reports: Report[] = []
  const { origin } = await startEntry([server], {
    events: { callLost: (lost, _start, check) => reports.push({ lost, check }) },
  })
  for (const [path, body] of calls) {
    const [target = '', attempt = ''] = path.split(' ')
    await sendCall(`${origin}${target}`, { method: 'POST', body, headers: { 'x-attempt': attempt } })
  }
  await expect.poll(() => reports.length).toBe(calls.length)
  return reports
}

const reset = ({ socket }: ReceivedRequest) => {
  socket.resetAndDestroy()
}

test('a server that resets a connection and accepts another one is running', async () => {
  const [report] = await loseCalls(await startFakeServer(reset), [['/write a1', 'x']])
  expect(report?.check).toBe('running')
})

test('a server that refuses connections after one broke has ended', async () => {
  const server = await startFakeServer(() => {
    server.crash()
  })
  const [report] = await loseCalls(server, [['/write a1', 'x']])
  expect(report?.check).toBe('ended')
})

/** Listens on a port and handles each connection with its number, from 0. */
async function listenOnce(handler: (socket: Socket, number: number, close: () => void) => void) {
  let connections = 0
  const server = createServer((socket) => {
    handler(socket, connections, () => server.close())
    connections += 1
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  onTestFinished(() => {
    server.close()
  })
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port }
}

// A process that is killed loses its connections before its listener, so a check in between was accepted.
test('a server whose listener accepts the check while its process ends has ended', async () => {
  const address = await listenOnce((socket, _number, close) => {
    close()
    socket.resetAndDestroy()
  })
  expect(await checkServer(address, 250)).toBe('ended')
})

test('a server that closes the connection of the check in order and then refuses has ended', async () => {
  const address = await listenOnce((socket, _number, close) => {
    close()
    socket.end()
  })
  expect(await checkServer(address, 250)).toBe('ended')
})

test('a server that resets each connection is running', async () => {
  let opened = 0
  const address = await listenOnce((socket) => {
    opened += 1
    socket.resetAndDestroy()
  })
  expect(await checkServer(address, 250)).toBe('running')
  expect(opened).toBe(2)
})

test('a server is not taken for ended if no connection attempt reaches its host', async () => {
  // TCP has no route to the broadcast address.
  expect(await checkServer({ host: '255.255.255.255', port: 9 }, 50)).toBe('unreachable')
})

test('the identity of a request depends on its path, query and body, and not on the attempt', async () => {
  const reports = await loseCalls(await startFakeServer(reset), [
    ['/write a1', 'x'],
    ['/write a2', 'x'],
    ['/write a3', 'y'],
    ['/write?q=1 a4', 'x'],
  ])
  const [first, repeated, otherBody, otherQuery] = reports.map(({ lost }) => lost.request)
  expect(first).toBe(repeated)
  expect(new Set([first, otherBody, otherQuery]).size).toBe(3)
})

// Guards against crashes that are not reported because the entry was busy while the server refused the check.
test('a server that has ended is noticed although the event loop was busy during the check', async () => {
  const address = await listenOnce((socket, _number, close) => {
    close()
    socket.destroy()
  })
  const closing = connect(address)
  await new Promise((resolve) => closing.once('close', resolve).resume())
  const check = checkServer(address, 250)
  process.nextTick(() => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 400)
  })
  expect(await check).toBe('ended')
})
