/** Guards against a release of a withheld request that is acknowledged and then known to no node that runs. */
import { nodeId, requestId, serverId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { processId, type CrashReport } from '@bilberrystall/quarantine'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { QuarantineExchange } from '../src/quarantine-exchange'
import { TestCluster, call, type Member } from './control-cluster'

const REQUEST = requestId('AAAAAAAAAAAAAAAA')
const NAMES = ['a', 'b', 'c']

let cluster: TestCluster
let exchanges: Map<string, QuarantineExchange>

beforeEach(() => {
  cluster = new TestCluster()
  exchanges = new Map()
})

afterEach(async () => {
  for (const exchange of exchanges.values()) exchange.stop()
  await cluster.close()
})

const crash = (server: number, at = Date.now()): CrashReport => {
  return { request: REQUEST, process: processId(serverId(`server-${server}`), 1), at }
}

/** Tells the node what another one announces. */
function tell(exchange: QuarantineExchange | undefined, part: Partial<Node>): void {
  exchange?.nodeChanged({ node: nodeId('entry'), ...part } as Node)
}

/** Starts three replicas, each with an exchange that reaches no other node. */
async function startReplicas(reports: readonly CrashReport[]): Promise<Member[]> {
  for (const name of NAMES) {
    const log = { info: () => undefined, warn: () => undefined, error: () => undefined }
    const exchange = new QuarantineExchange({
      self: nodeId(name),
      nodes: () => [],
      wallClock: Date.now,
      log,
      announce: () => undefined,
      pushToPeers: () => Promise.resolve(),
    })
    exchanges.set(name, exchange)
    tell(exchange, { crashReports: reports })
    const onReleased = exchange.released.bind(exchange)
    await cluster.start(name, { bootstrap: name === 'a', quarantine: exchange, onReleased })
  }
  await cluster.waitForVoters()
  return [...cluster.members.values()]
}

const withheld = () => [...cluster.members.keys()].map((name) => exchanges.get(name)?.quarantined.length)

test('a release is in force on every replica although the node that acknowledged it is gone', async () => {
  const [first] = await startReplicas([crash(1), crash(2), crash(3)])
  if (first === undefined) throw new Error('no replica')
  expect(withheld()).toEqual([1, 1, 1])
  expect(await call(first, `/v1/quarantine/${REQUEST}/release`, {})).toMatchObject({ status: 200 })
  await cluster.kill(first)
  await expect.poll(withheld, { timeout: 11_000 }).toEqual([0, 0])
})

test('a release also covers a crash that was reported by a node whose clock is ahead', async () => {
  const ahead = Date.now() + 30_000
  const [first] = await startReplicas([crash(1, ahead), crash(2, ahead), crash(3, ahead)])
  if (first === undefined) throw new Error('no replica')
  expect(await call(first, `/v1/quarantine/${REQUEST}/release`, {})).toMatchObject({ status: 200 })
  await cluster.kill(first)
  await expect.poll(withheld, { timeout: 11_000 }).toEqual([0, 0])
})

test('a replica that applies a release late keeps the crashes that were reported after it', async () => {
  const [, second] = await startReplicas([])
  const exchange = exchanges.get(second?.name ?? '')
  const releasedAt = Date.now() - 60_000
  tell(exchange, { crashReports: [crash(1), crash(2), crash(3)] })
  exchange?.released({ request: REQUEST, at: releasedAt })
  expect(exchange?.quarantined).toHaveLength(1)
})

test('a node that was cut off during a release learns of it from any replica', async () => {
  const announced: Partial<Node>[] = []
  const replica = new QuarantineExchange({
    self: nodeId('a'),
    nodes: () => [],
    wallClock: Date.now,
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    announce: (part) => announced.push(part),
    pushToPeers: () => Promise.resolve(),
  })
  exchanges.set('a', replica)
  replica.released({ request: REQUEST, at: Date.now() })
  await expect.poll(() => announced.at(-1)?.clearances).toMatchObject([{ request: REQUEST }])
})
