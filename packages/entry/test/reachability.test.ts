/** Guards against an entry that does not notice that it has lost all servers, or that they are back. */
import { failureDomain, seededRandom } from '@bilberrystall/base'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { addServer, respond, sendCall, startEntry, startFakeServer, waitUntil, type FakeServer } from './harness'

async function startServers(state: { silent: boolean }): Promise<FakeServer[]> {
  return Promise.all(
    Array.from({ length: 5 }, () =>
      startFakeServer((received) => {
        if (!state.silent) respond(received, 'done')
      }),
    ),
  )
}

test('an entry notices that all servers are silent, and that they respond again', async () => {
  const network = { silent: false }
  const changes: boolean[] = []
  const { origin } = await startEntry(await startServers(network), {
    router: new Router({ random: seededRandom(4) }),
    limits: { silenceMs: 50, sweepIntervalMs: 10 },
    events: { reachabilityChanged: (isCutOff) => changes.push(isCutOff) },
  })
  await sendCall(`${origin}/read`)
  network.silent = true
  for (let call = 0; call < 6; call += 1) void sendCall(`${origin}/read`).catch(() => undefined)
  await waitUntil(() => changes.length === 1)
  network.silent = false
  await waitUntil(() => changes.length === 2)
  expect(changes).toEqual([true, false])
})

test('servers that end one after the other, while others respond, are no partition', async () => {
  const changes: boolean[] = []
  const servers = await startServers({ silent: false })
  const { origin } = await startEntry(servers, {
    events: { reachabilityChanged: (isCutOff) => changes.push(isCutOff) },
  })
  for (const server of servers.slice(0, 3)) server.crash()
  for (let call = 0; call < 30; call += 1) await sendCall(`${origin}/read`)
  expect(changes).toEqual([])
})

// Guards against probes of evacuated servers, and against a suspicion that waits for failures at servers without calls.
test('an entry notices that the one server that is not evacuated is silent, and probes no evacuated one', async () => {
  const servers = await startServers({ silent: true })
  const changes: boolean[] = []
  const { entry, origin } = await startEntry([], {
    limits: { silenceMs: 50, sweepIntervalMs: 10 },
    events: { reachabilityChanged: (isCutOff) => changes.push(isCutOff) },
  })
  servers.forEach((server, index) => {
    addServer(entry, server, index, { domain: failureDomain(index === 0 ? 'kept' : 'evacuated') })
  })
  entry.evacuate([failureDomain('evacuated')])
  for (let call = 0; call < 4; call += 1) void sendCall(`${origin}/read`).catch(() => undefined)
  await waitUntil(() => changes.length === 1)
  expect(changes).toEqual([true])
  expect(servers.slice(1).flatMap(({ received }) => received)).toEqual([])
})
