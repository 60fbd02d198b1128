/** Guards against refusing the calls of an entry that has lost its way to all servers while other entries reach them. */
import { setTimeout as sleep } from 'node:timers/promises'
import { APPOINTMENT_HOST, Harness, INSPECTION_HOST, sendCall, type Call } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { countRequestExecutions, entryNode, ONE_CONTROL, startCluster } from './fixture'

const HISTORY: Call = { method: 'GET', host: INSPECTION_HOST, path: '/sites/17' }
const NOTE: Call = { method: 'POST', host: APPOINTMENT_HOST, path: '/notes', body: 'note' }
/** Time after which calls at the entry must be served again. */
const LEARNING_MS = 3_000
const CALLS = 20

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('calls at an entry that is cut off from all servers complete through other entries, each once', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2), entryNode(3)])
  const names = ['site-history', 'booking'].flatMap((service) =>
    [1, 2, 3].map((number) => ({ service, server: `${service}-${number}` })),
  )
  const servers = await Promise.all(names.map((name) => cluster.startProxiedServer(name)))
  await cluster.waitUntilServersKnown(names.length)
  const entry = cluster.node('entry-1')
  const send = (call: Call, requestId: string) => sendCall(entry.addresses.callers, { ...call, requestId })
  expect(await send(HISTORY, 'before')).toMatchObject({ outcome: 'complete' })

  cluster.network.cutOffFromServers('entry-1')
  const ignored = Array.from({ length: CALLS }, (_, index) => send(HISTORY, `during-${index}`))
  await sleep(LEARNING_MS)
  for (let index = 0; index < CALLS; index += 1) {
    expect(await send(HISTORY, `read-${index}`)).toMatchObject({ outcome: 'complete' })
    expect(await send(NOTE, `note-${index}`)).toMatchObject({ outcome: 'complete' })
    expect(await countRequestExecutions(servers, `note-${index}`)).toBe(1)
  }

  cluster.network.heal()
  await Promise.all(ignored)
  await cluster.waitUntil('the entry reaches servers again', async () => {
    return (await entry.metric('bilberrystall_servers_unreachable')) === 0
  })
  const relayed = await entry.metric('bilberrystall_calls_relayed_total')
  expect(relayed).toBeGreaterThanOrEqual(2 * CALLS)
  expect(await send(HISTORY, 'after')).toMatchObject({ outcome: 'complete' })
  expect(await entry.metric('bilberrystall_calls_relayed_total')).toBe(relayed)
})
