/** Guards against acknowledgements that wait for entries which do not respond. */
import { Harness, movingDocument, RouteMover, type Cluster, type ClusterNode } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { readVoters } from './control-fixture'
import { CONTROLS, entryNode, startCluster } from './fixture'

/** Time within which a change is acknowledged, also while an entry is frozen, cut off or gone. */
const ACKNOWLEDGEMENT_LIMIT_MS = 4000
/** Changes in series, so that some begin after the entry was noticed to be gone and some before. */
const MOVES = 4

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test.each<[string, (cluster: Cluster, entry: ClusterNode) => void]>([
  [
    'frozen',
    (_, { runningProcess }) => {
      runningProcess.signal('SIGSTOP')
    },
  ],
  [
    'cut off',
    ({ network }, { name }) => {
      network.isolate(name)
    },
  ],
  [
    'killed',
    (_, { runningProcess }) => {
      runningProcess.signal('SIGKILL')
    },
  ],
])('changes are acknowledged within 4 s while an entry is %s', async (_, disturb) => {
  const nodes = [...CONTROLS, entryNode(1), entryNode(2)]
  const cluster = await startCluster(harness, nodes, movingDocument())
  await cluster.waitUntil('all replicas are voters', async () => (await readVoters(cluster)).length === CONTROLS.length)
  const mover = await RouteMover.start(cluster)
  await mover.move(cluster.controls)
  disturb(cluster, cluster.node('entry-2'))
  const durations: number[] = []
  for (let move = 0; move < MOVES; move += 1) {
    const sentAt = performance.now()
    durations.push(((await mover.move(cluster.controls)) ?? Infinity) - sentAt)
  }
  expect(Math.max(...durations)).toBeLessThan(ACKNOWLEDGEMENT_LIMIT_MS)
})
