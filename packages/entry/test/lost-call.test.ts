/** Guards against treating every broken connection as the end of its server. */
import { expect, test } from 'vitest'
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
