/** Guards against an acknowledged change that only replicas know: entries that live on without them serve the older one. */
import { setTimeout as sleep } from 'node:timers/promises'
import { findSupersededRuns, Harness, movingDocument, RouteMover, type SupersededRun } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readVoters } from './control-fixture'
import { CONTROLS, entryNode, startCluster } from './fixture'

/** Time after its acknowledgement at which a change must be in force. */
const APPLY_MS = 2000
/** Time that the replicas are gone; long enough for requests later than `APPLY_MS`. */
const OUTAGE_MS = 4000
const ROUNDS = 3
const MOVES_PER_ROUND = 3

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('an acknowledged change is in force at entries that keep running although all replicas are killed at once', async () => {
  const nodes = [...CONTROLS, entryNode(1), entryNode(2), entryNode(3)]
  const cluster = await startCluster(harness, nodes, movingDocument())
  await cluster.waitUntil('all replicas are voters', async () => (await readVoters(cluster)).length === CONTROLS.length)
  const mover = await RouteMover.start(cluster)
  mover.startCalling()
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let move = 0; move < MOVES_PER_ROUND; move += 1) await mover.move(cluster.controls)
    await Promise.all(cluster.controls.map((node) => node.kill()))
    await sleep(OUTAGE_MS)
    await Promise.all(cluster.controls.map((node) => node.start()))
    await cluster.waitForLeader()
  }
  await mover.move(cluster.controls)
  await sleep(APPLY_MS)
  mover.stop()
  const runs = await mover.readRuns()
  const superseded = findSupersededRuns({ moves: mover.moves, runs, applyMs: APPLY_MS })
  const ranEverywhere = new Set(runs.map(({ entry }) => entry)).size === cluster.entries.length
  expect({
    ranEverywhere,
    superseded: summarise(superseded, runs.length),
  }).toEqual({
    ranEverywhere: true,
    superseded: `0 of ${runs.length}`,
  })
}, 180_000)

function summarise(superseded: readonly SupersededRun[], total: number): string {
  if (superseded.length === 0) return `0 of ${total}`
  const entries = [...new Set(superseded.map(({ entry }) => entry))].sort()
  const latest = Math.round(Math.max(...superseded.map(({ sentAfterMs }) => sentAfterMs)))
  return `${superseded.length} of ${total}, at ${entries.join(', ')}, up to ${latest} ms after the acknowledgement`
}
