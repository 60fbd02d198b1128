/** Verifies what entries cost the replicas while none of these can tell them what is new. */
import { setTimeout as sleep } from 'node:timers/promises'
import { failureDomain, nodeId } from '@bilberrystall/base'
import { DeliveryService, RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import { afterEach, expect, test } from 'vitest'
import { NOT_CURRENT_MESSAGE } from '../src/control-follower'
import { ControlContacts, ControlFollower, DocumentStore } from '../src/index'
import { TRIAL_ENVIRONMENT } from './control-cluster'

const REPLICAS = 6
/** Entries of the largest deployment, which has six replicas. */
const ENTRIES = 130
/** The replicas of a large fleet serve tens of polls a second each, not hundreds. */
const MAX_POLLS_PER_REPLICA_AND_SECOND = 100
/** An entry learns of a change within this time, so it has to poll each replica once, as only one may be current. */
const FIRST_POLLS_MS = 2_000
const WINDOW_MS = 3_000

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

/** Starts replicas that reject every poll at once, like those of a cluster without a leader. */
async function startReplicas(onPoll: (index: number) => void): Promise<string[]> {
  const servers = await Promise.all(
    Array.from({ length: REPLICAS }, (_, index) =>
      RpcServer.listen({
        host: '127.0.0.1',
        port: 0,
        nodeKey: '',
        traffic: new TrafficCounter(),
        routes: (router) =>
          router.service(DeliveryService, {
            follow: () => {
              onPoll(index)
              throw new ConnectError(NOT_CURRENT_MESSAGE, Code.Unavailable)
            },
          }),
      }),
    ),
  )
  return servers.map((listening) => {
    const server = listening._unsafeUnwrap()
    cleanups.push(() => server.close())
    return `127.0.0.1:${server.port}`
  })
}

function startFollower(seeds: readonly string[]): void {
  const now = () => performance.now()
  const clients = new RpcClients({ nodeKey: '', traffic: new TrafficCounter() })
  const cluster = { nodes: new Map(), servers: new Map() }
  const follower = new ControlFollower({
    environment: TRIAL_ENVIRONMENT,
    self: nodeId('entry'),
    documentStore: new DocumentStore(),
    clients,
    addressOf: () => undefined,
    contacts: new ControlContacts({ self: nodeId('entry'), cluster, seeds: () => seeds, now }),
    failureDomain: failureDomain('north'),
    otherEntries: () => [],
    onDepartures: () => undefined,
    now,
  })
  follower.start()
  cleanups.push(() => {
    follower.stop()
    clients.close()
  })
}

// Guards against days of large fleets whose processor time goes to polls that are rejected, first of all at the start.
test('an entry polls each replica early, and then rarely as long as none is current', async () => {
  const polled = new Set<number>()
  let polls = 0
  const replicas = await startReplicas((index) => {
    polled.add(index)
    polls += 1
  })
  startFollower(replicas)
  await sleep(FIRST_POLLS_MS)
  expect(polled.size).toBe(REPLICAS)
  polls = 0
  await sleep(WINDOW_MS)
  const perReplicaAndSecond = (polls * ENTRIES * 1_000) / (REPLICAS * WINDOW_MS)
  expect(perReplicaAndSecond).toBeLessThan(MAX_POLLS_PER_REPLICA_AND_SECOND)
})
