/** One invalid configuration stops all replicas for good: no configuration can be read or changed any more. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase } from '../lib/case'
import { configuration, route, ROUTE_COLUMNS } from '../lib/configuration'
import { Platform } from '../lib/platform'

const NODES = 3
const CALM_MS = 4_000
/** The operator reads back for at least `stability_window`; here for much longer. */
const READ_BACK_MS = 12_000
/** Time for the nodes to serve the configuration again after all were started anew: `recovery`. */
const RECOVERY_MS = 15_000
/** A name with line breaks, which the text of the stored document does not escape. */
const INVALID_NAME = 'a]\n[route]\nb=null\n'

await runCase('review/5', async ({ record, use, hasTrouble }) => {
  const platform = use(await Platform.start(NODES))
  const first = route({ name: 'read', prefix: '/read/', kind: 'safe', timeoutMs: 1_000, service: 'book' })
  const accepted = await platform.order('config.put', configuration(3, [first], ['book']), 20_000)
  if (accepted.status !== 200) throw new Error(`the configuration was answered ${accepted.status}`)
  if (!(await platform.waitUntilReady())) throw new Error('the nodes did not become ready')
  await sleep(CALM_MS)
  record(`version 3 was acknowledged; read back: ${await readBack(2_000)}`)

  if (hasTrouble) {
    const added = route({ name: INVALID_NAME, prefix: '/next/', kind: 'safe', timeoutMs: 1_000, service: 'book' })
    const patch = { version: 5, base_version: 3, upsert: { routes: { columns: ROUTE_COLUMNS, rows: [added] } } }
    const reply = await platform.call(0, 'config.patch', patch)
    record(`the invalid patch to node 0 was answered ${reply.status} ${reply.text.trim()}`)
  }
  const afterOrder = await readBack(READ_BACK_MS)
  record(`read back at all nodes for ${READ_BACK_MS / 1000} s: ${afterOrder}`)

  const added = route({ name: 'later', prefix: '/later/', kind: 'safe', timeoutMs: 1_000, service: 'book' })
  const valid = { version: 7, base_version: 3, upsert: { routes: { columns: ROUTE_COLUMNS, rows: [added] } } }
  const changed = await platform.order('config.patch', valid, READ_BACK_MS)
  record(`a valid patch, sent for ${READ_BACK_MS / 1000} s at most, was answered ${changed.status}`)

  for (const { index } of platform.nodes) await platform.end(index, 'SIGKILL')
  for (const { index } of platform.nodes) platform.launch(index, false)
  const isReady = await platform.waitUntilReady(RECOVERY_MS)
  const afterRestart = await readBack(READ_BACK_MS)
  record(`all processes were started anew; ready after ${RECOVERY_MS / 1000} s: ${isReady}; read back: ${afterRestart}`)
  return afterOrder === 'none' && afterRestart === 'none'

  /** Asks one node after the other, as the operator does, until one returns a configuration. */
  async function readBack(limitMs: number): Promise<string> {
    const end = Date.now() + limitMs
    while (Date.now() < end) {
      for (const { index } of platform.nodes) {
        const { status, text } = await platform.call(index, 'config.get', {})
        if (status === 200) return `version ${String((JSON.parse(text) as { version?: number }).version)}`
      }
      await sleep(100)
    }
    return 'none'
  }
})
