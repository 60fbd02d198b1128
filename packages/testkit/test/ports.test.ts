import { createServer } from 'node:net'
import { once } from 'node:events'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { Cluster, freePort, Harness } from '@bilberrystall/testkit'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('two processes with adjacent ids never get the same port', async () => {
  const program = 'packages/testkit/test/support/draw-ports-main.ts'
  const drawn = await Promise.all(
    [4000, 4001].map(async (id) => {
      const command = [process.execPath, '--import', 'tsx', program, String(id), '200']
      const [, ports = ''] = await harness.start({ name: `ports-${id}`, command }).waitForLine(/"ports":(\[.*\])/)
      return JSON.parse(ports) as number[]
    }),
  )
  expect(drawn.map((ports) => new Set(ports).size)).toEqual([200, 200])
  expect(drawn[0]?.filter((port) => drawn[1]?.includes(port))).toEqual([])
})

test('a process that asks for several ports at once gets different ones', async () => {
  const ports = await Promise.all(Array.from({ length: 150 }, () => freePort()))
  expect(new Set(ports).size).toBe(150)
})

test('a cluster fails immediately with the last output of a node that exits during start', async () => {
  const cluster = await Cluster.create(harness)
  const [node] = await cluster.add({ name: 'control-1', roles: 'control', bootstrap: true })
  const [host, port] = node!.addresses.status.split(':')
  const taken = createServer()
  harness.onEnd(() => void taken.close())
  await once(taken.listen(Number(port), host), 'listening')
  await cluster.startAll()
  const started = performance.now()
  await expect(cluster.waitUntilAllJoined()).rejects.toThrow(/control-1 ended during start:[^]*address-in-use/)
  expect(performance.now() - started).toBeLessThan(10_000)
})
