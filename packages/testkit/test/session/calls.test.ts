import { setTimeout as sleep } from 'node:timers/promises'
import {
  FaultProxy,
  APPOINTMENT_HOST,
  Harness,
  INSPECTION_HOST,
  photoDownload,
  runLoad,
  sendCall,
  type Call,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import {
  callerAddresses,
  entryNode,
  expectAllComplete,
  ONE_CONTROL,
  startCluster,
  startServers,
  waitUntilRunning,
} from './fixture'

const HISTORY: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' }
const NOTE: Call = { method: 'POST', host: APPOINTMENT_HOST, path: '/notes', body: 'note' }

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test.each(['a signal', 'an operator'])('a planned stop of an entry by %s under load aborts no call', async (cause) => {
  // Longer than the test takes to see that the entry is leaving, also on a busy machine.
  const leaving = { ...entryNode(1), balancerGrace: '3s' }
  const cluster = await startCluster(harness, [ONE_CONTROL, leaving, entryNode(2)])
  const servers = await startServers(cluster, 'dispatch-archive', 2)
  const [first, second] = cluster.entries
  const address = first?.addresses.callers ?? ''
  const calls = Array.from({ length: 5 }, () =>
    sendCall(address, { ...photoDownload(1000), path: '/photos/1?bytes=1000&ms=1000' }),
  )
  const download = sendCall(address, photoDownload(40 * 1024 * 1024))
  await waitUntilRunning(servers, 5)
  if (cause === 'a signal') first?.runningProcess.signal('SIGTERM')
  else await cluster.runJsonCommand('node', 'drain', 'entry-1')
  await cluster.waitUntil(
    'the health page reports that the entry is leaving',
    async () => (await first?.health())?.status === 503,
  )
  const during = await Promise.all(
    callerAddresses(cluster.entries).map((entry) => sendCall(entry, photoDownload(1000))),
  )
  expect(during.map((result) => result.outcome)).toEqual(['complete', 'complete'])
  expect((await Promise.all([...calls, download])).map((result) => result.outcome)).toEqual(Array(6).fill('complete'))
  expect(await first?.runningProcess.waitForExit()).toBe(0)
  expect((await sendCall(second?.addresses.callers ?? '', photoDownload(1000))).outcome).toBe('complete')
})

test('established connections that go silent are replaced and the server keeps its calls', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1)])
  const proxy = await new FaultProxy({ target: '' }).start()
  harness.onEnd(() => proxy.stop())
  const proxiedServer = await cluster.startFakeServer({
    service: 'site-history',
    server: 'behind',
    announcedAddress: proxy.address,
  })
  proxy.target = proxiedServer.address
  await startServers(cluster, 'site-history', 1, 2)
  const entry = callerAddresses(cluster.entries)
  const pace = { kind: 'closed', callers: 4 } as const
  const before = await runLoad({ entries: entry, pace, durationMs: 500, calls: [HISTORY] })
  expectAllComplete(before)
  proxy.freeze({ kind: 'established' })
  const during = await runLoad({ entries: entry, pace, durationMs: 1000, calls: [HISTORY] })
  expectAllComplete(during)
  const { executions } = await proxiedServer.record()
  const after = await runLoad({ entries: entry, pace, durationMs: 1000, calls: [HISTORY] })
  expectAllComplete(after)
  expect((await proxiedServer.record()).executions).toBeGreaterThan(executions)
})

test('late, truncated and reset responses never reach another caller, also on reused connections', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1)])
  const servers = await startServers(cluster, 'booking', 2)
  const pace = { kind: 'closed', callers: 8 } as const
  const calls = [NOTE, { ...NOTE, body: 'another note' }, { ...NOTE, path: '/notes?ms=30' }]
  // Longer than the deadline of the delayed calls, so that calls complete after the faults even on a busy machine.
  const load = runLoad({ entries: callerAddresses(cluster.entries), pace, durationMs: 7000, calls })
  for (let round = 0; round < 6; round += 1) {
    const responseDelayMs = round === 2 ? 4500 : 0
    const behaviour = { responsesToTruncate: 4, responsesToReset: 2, responseDelayMs }
    await Promise.all(servers.map((server) => server.change({ behaviour })))
    await sleep(200)
  }
  await Promise.all(
    servers.map((server) =>
      server.change({ behaviour: { responseDelayMs: 0, responsesToTruncate: 0, responsesToReset: 0 } }),
    ),
  )
  const during = await load
  expect(during.outcomes.wrong).toBe(0)
  expect(during.outcomes.complete).toBeGreaterThan(0)
  const after = await runLoad({ entries: callerAddresses(cluster.entries), pace, durationMs: 500, calls })
  expectAllComplete(after)
})
