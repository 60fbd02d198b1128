/** Guards against requests to an evacuated failure domain in a running system, also from an entry that starts meanwhile. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Harness, INSPECTION_HOST, runLoad, type Call } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { callerAddresses, entryNode, expectAllComplete, ONE_CONTROL, startCluster } from './fixture'

const HISTORY: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' }
const RATE = { kind: 'open', callsPerSecond: 100 } as const

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('no request reaches an evacuated domain, and its servers are used again at the end', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const service = 'site-history'
  const [evacuated, staying] = await Promise.all([
    cluster.startFakeServer({ service, server: 'h-1', failureDomain: 'fd-1' }),
    cluster.startFakeServer({ service, server: 'h-2', failureDomain: 'fd-2' }),
  ])
  await cluster.waitUntilServersKnown(2)
  const calls = [HISTORY]
  const load = runLoad({ entries: callerAddresses(cluster.entries), pace: RATE, durationMs: 4_000, calls })
  const executions = async (server: typeof evacuated) => (await server.record()).executions
  await cluster.waitUntil('the server has executed a call', async () => (await executions(evacuated)) > 0)
  expect((await cluster.runCommand(['evacuation', 'start', 'fd-1'])).status).toBe(0)
  const acknowledgedAt = Date.now()
  expect(await cluster.entries[0]?.metric('bilberrystall_evacuated_domains')).toBe(1)
  expectAllComplete(await load)
  // Calls that were sent before the acknowledgement may arrive for a moment after it.
  expect((await evacuated.record()).lastArrival).toBeLessThan(acknowledgedAt + 200)
  const [restarted] = cluster.entries
  await restarted?.kill()
  await restarted?.start()
  await restarted?.waitUntilHealthy()
  const before = await executions(evacuated)
  const entries = callerAddresses(cluster.entries.slice(0, 1))
  await cluster.waitUntilServersKnown(2)
  expectAllComplete(await runLoad({ entries, pace: RATE, durationMs: 1_000, calls }))
  expect(await executions(evacuated)).toBe(before)
  expect(await executions(staying)).toBeGreaterThan(0)
  expect((await cluster.runCommand(['evacuation', 'end', 'fd-1'])).status).toBe(0)
  await sleep(100)
  expectAllComplete(await runLoad({ entries, pace: RATE, durationMs: 1_000, calls }))
  expect(await executions(evacuated)).toBeGreaterThan(before)
})
