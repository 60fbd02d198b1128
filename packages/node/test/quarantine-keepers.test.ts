/**
 * Guards against a request that some nodes withhold while others, which have restarted since its first crashes, send it
 * to more servers.
 */
import { nodeId, rendezvousChoice, requestId, serverId, type NodeId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { QuarantineExchange } from '../src/quarantine-exchange'

const REQUEST = requestId('AAAAAAAAAAAAAAAA')
const START = 1
/** Time within which all entries have to know. */
const LEARNING_MS = 3_000
const STEP_MS = 100

/** Nodes whose records reach all others at once. */
class Fleet {
  readonly exchanges = new Map<NodeId, QuarantineExchange>()
  readonly records = new Map<NodeId, Node>()
  announcements = 0

  start(node: NodeId): void {
    this.exchanges.get(node)?.stop()
    const exchange = new QuarantineExchange({
      self: node,
      nodes: () => this.records.values(),
      wallClock: Date.now,
      log: { info: () => undefined, warn: () => undefined, error: () => undefined },
      announce: (part) => {
        this.announcements += 1
        this.#publish({ node, ...part } as Node)
      },
      pushToPeers: () => Promise.resolve(),
    })
    this.exchanges.set(node, exchange)
    this.records.set(node, { node } as Node)
    for (const record of this.records.values()) exchange.nodeChanged(record)
  }

  crash(node: NodeId, server: number): void {
    const lost = { request: REQUEST, attempt: undefined, server: serverId(`server-${server}`) }
    this.exchanges.get(node)?.crashed(lost, START)
  }

  async run(durationMs: number): Promise<void> {
    for (let elapsed = 0; elapsed < durationMs; elapsed += STEP_MS) {
      await vi.advanceTimersByTimeAsync(STEP_MS)
      for (const exchange of this.exchanges.values()) exchange.expire()
    }
  }

  withholding(): NodeId[] {
    return [...this.exchanges].filter(([, { quarantined }]) => quarantined.length > 0).map(([node]) => node)
  }

  announcing(): NodeId[] {
    return [...this.records.values()].filter(({ crashReports = [] }) => crashReports.length > 0).map(({ node }) => node)
  }

  stop(): void {
    for (const exchange of this.exchanges.values()) exchange.stop()
  }

  #publish(record: Node): void {
    this.records.set(record.node, record)
    for (const exchange of this.exchanges.values()) exchange.nodeChanged(record)
  }
}

const NODES = ['a', 'b', 'c', 'd', 'e', 'f', 'g'].map((name) => nodeId(name))
/** The nodes that keep the reports about the request, and the others. */
const KEEPERS = rendezvousChoice(REQUEST, NODES, 3, (node) => node)
const OTHERS = NODES.filter((node) => !KEEPERS.includes(node))

let fleet: Fleet

beforeEach(() => {
  vi.useFakeTimers()
  fleet = new Fleet()
  for (const node of NODES) fleet.start(node)
})

afterEach(() => {
  fleet.stop()
  vi.useRealTimers()
})

test('nodes that restarted after the first crashes learn of them from the nodes that stayed', async () => {
  const [first, second] = KEEPERS
  if (first === undefined || second === undefined) throw new Error('no keepers')
  fleet.crash(first, 1)
  fleet.crash(second, 2)
  await fleet.run(LEARNING_MS)
  for (const node of KEEPERS) fleet.start(node)
  await fleet.run(LEARNING_MS)
  fleet.crash(first, 3)
  await fleet.run(LEARNING_MS)
  expect(fleet.withholding()).toEqual(NODES)
})

test('a quarantine is announced by its keepers and its observers only', async () => {
  const [observer] = OTHERS
  if (observer === undefined) throw new Error('no other node')
  for (const server of [1, 2, 3]) fleet.crash(observer, server)
  await fleet.run(LEARNING_MS)
  expect(fleet.withholding()).toEqual(NODES)
  expect(fleet.announcing().sort()).toEqual([...KEEPERS, observer].sort())
})

test('the nodes that stayed cease to announce once the keepers do', async () => {
  const [first, second] = KEEPERS
  if (first === undefined || second === undefined) throw new Error('no keepers')
  fleet.crash(first, 1)
  fleet.crash(second, 2)
  await fleet.run(LEARNING_MS)
  for (const node of KEEPERS) fleet.start(node)
  fleet.crash(first, 3)
  await fleet.run(2 * LEARNING_MS)
  expect(fleet.announcing().sort()).toEqual([...KEEPERS].sort())
  const { announcements } = fleet
  await fleet.run(10 * LEARNING_MS)
  expect(fleet.announcements).toBe(announcements)
})
