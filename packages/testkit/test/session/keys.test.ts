import { setTimeout as sleep } from 'node:timers/promises'
import { randomInt, seededRandom } from '@bilberrystall/base'
import {
  APPOINTMENT_HOST,
  Harness,
  sendCall,
  type Call,
  type Cluster,
  type FakeServerProcess,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { countKeyExecutions, countRequestExecutions } from './fixture'
import { sendThrough, startKeyCluster, createVisitCall } from './key-fixture'

let harness: Harness
let cluster: Cluster
let servers: readonly FakeServerProcess[]

beforeEach(async () => {
  harness = await Harness.create()
  ;({ cluster, servers } = await startKeyCluster(harness))
})

afterEach(() => harness.end())

test('a key runs once and its response is replayed by every entry', async () => {
  const call = createVisitCall(1)
  const first = await sendThrough(cluster, 'entry-1', call)
  expect(first).toMatchObject({ outcome: 'complete', replayed: false })
  for (const entry of ['entry-1', 'entry-2', 'entry-3']) {
    expect(await sendThrough(cluster, entry, call)).toMatchObject({
      outcome: 'complete',
      replayed: true,
      text: first.text,
    })
  }
  expect(await countKeyExecutions(servers, call.idempotencyKey)).toBe(1)
})

test('keys under a seeded schedule of faults and resends run at most once, and not-run is true', async () => {
  const random = seededRandom(11)
  const keys: string[] = []
  const notRun: string[] = []
  let completed = 0
  const names = ['entry-1', 'entry-2', 'entry-3']
  const caller = async (): Promise<void> => {
    for (let round = 0; round < 15; round += 1) {
      const call = createVisitCall(randomInt(random, 40))
      keys.push(call.idempotencyKey)
      for (let resend = 0; resend < 3; resend += 1) {
        const result = await sendThrough(cluster, names[randomInt(random, names.length)] ?? '', call)
        if (result.outcome === 'not-run') notRun.push(result.requestId)
        if (result.outcome === 'complete') completed += 1
        expect(result.outcome).not.toBe('wrong')
      }
    }
  }
  const injectFaults = async (): Promise<void> => {
    await sleep(200)
    cluster.node('entry-1').runningProcess.signal('SIGSTOP')
    await sleep(600)
    cluster.node('entry-1').runningProcess.signal('SIGCONT')
    cluster.network.isolate('entry-2')
    await sleep(600)
    cluster.network.heal()
    await cluster.node('entry-3').kill()
  }
  await Promise.all([...Array.from({ length: 6 }, caller), injectFaults()])
  for (const key of keys) expect(await countKeyExecutions(servers, key)).toBeLessThanOrEqual(1)
  for (const request of notRun) expect(await countRequestExecutions(servers, request)).toBe(0)
  // If the faults made every call fail, the checks above would pass without checking anything.
  expect(completed).toBeGreaterThan(0)
})

test('a call without a key on a route that is not repeatable is sent once, and not-run is true', async () => {
  const entry = cluster.node('entry-1').addresses.callers
  const note: Call = { method: 'POST', host: APPOINTMENT_HOST, path: '/notes', body: 'note' }
  // Both calls may go to the same server.
  for (const server of servers) await server.change({ behaviour: { responsesToReset: 2 } })
  const lost = [await sendCall(entry, note), await sendCall(entry, note)]
  for (const result of lost) {
    expect(result.outcome).toBe('unknown')
    expect(await countRequestExecutions(servers, result.requestId)).toBe(1)
  }
  for (const server of servers) await server.change({ behaviour: { responsesToReset: 0, shedQueueLength: 1 } })
  const burst = await Promise.all(Array.from({ length: 40 }, () => sendCall(entry, { ...note, path: '/notes?ms=100' })))
  for (const result of burst) {
    const expected = result.outcome === 'not-run' ? 0 : 1
    expect(await countRequestExecutions(servers, result.requestId)).toBe(expected)
  }
})
