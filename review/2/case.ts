/**
 * A planned stop while clients send further safe requests before the first answer: the node passes requests on to
 * servers, and then closes their connection behind an earlier answer.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase } from '../lib/case'
import { Client, type Sent } from '../lib/client'
import { configuration, route } from '../lib/configuration'
import { Platform } from '../lib/platform'
import { Server } from '../lib/server'

const NODES = 3
const SERVERS = 8
const CLIENTS = 8
const DEPTH = 4
/** A client sends its next request after a random time up to this, whether or not the earlier ones are answered. */
const MAX_PAUSE_MS = 200
const WORK_MS = 40
/** Servers send their answers in chunks. */
const PARTS = 4
const PART_MS = 60
const TIMEOUT_MS = 1_500
const CALM_MS = 4_000
const BEFORE_STOP_MS = 3_000
/** Bounds of the site: time from SIGTERM to SIGKILL, of which the last sixth is excused. */
const GRACE_MS = 6_000
const EXCUSED_FROM_MS = (GRACE_MS * 5) / 6

interface Visit {
  readonly client: Client
  readonly requests: readonly Sent[]
}

await runCase('review/2', async ({ record, use, hasTrouble }) => {
  const platform = use(await Platform.start(NODES))
  const routes = [route({ name: 'slots', prefix: '/slots/', kind: 'safe', timeoutMs: TIMEOUT_MS, service: 'cal' })]
  const accepted = await platform.order('config.put', configuration(3, routes, ['cal']), 20_000)
  if (accepted.status !== 200) throw new Error(`the configuration was answered ${accepted.status}`)
  const servers: Server[] = []
  for (let index = 0; index < SERVERS; index += 1) {
    const zone = platform.nodes[index % NODES]?.zone ?? ''
    const ip = `127.0.1.${100 + index}`
    const server: Server = new Server({
      platform,
      service: 'cal',
      id: `i-${index}`,
      ip,
      zone,
      slots: 12,
      workMs: WORK_MS,
      answer:
        () =>
        async ({ attempt }, socket) => {
          const head = `Attempt-Id: ${attempt}\r\nServer-Signature: i-${index}.${attempt}`
          socket.write(`HTTP/1.1 200 OK\r\n${head}\r\ntransfer-encoding: chunked\r\n\r\n`)
          for (let part = 0; part < PARTS; part += 1) {
            await sleep(PART_MS)
            if (!socket.destroyed) socket.write('5\r\nslots\r\n')
          }
          if (socket.destroyed) return
          socket.write('0\r\n\r\n')
          server.answered.push(attempt)
        },
    })
    servers.push(use(server))
    await server.start()
  }
  if (!(await platform.waitUntilReady())) throw new Error('the nodes did not become ready')
  await sleep(CALM_MS)

  const visits: Visit[] = []
  let isOver = false
  const isRunning = () => !isOver
  const clients = Array.from({ length: CLIENTS }, async (_, number) => {
    for (let turn = 0; isRunning(); turn += 1) {
      const client = new Client(platform.nodes[0]?.ip ?? '', platform.frontPort)
      visits.push({ client, requests: client.sent })
      // It respects `Connection: close`: after that answer it sends nothing more on this connection.
      for (let place = 0; isRunning() && !client.isClosed && !client.isClosing; place += 1) {
        if (client.waiting < DEPTH) client.send('GET', '/slots/week', [`a${number}-${turn}-${place}`], TIMEOUT_MS)
        await sleep(Math.random() * MAX_PAUSE_MS)
      }
      const end = Date.now() + TIMEOUT_MS
      while (client.waiting > 0 && !client.isClosed && Date.now() < end) await sleep(10)
      client.leave()
      await sleep(100)
    }
  })
  await sleep(BEFORE_STOP_MS)
  const stoppedAt = Date.now()
  record(hasTrouble ? 'SIGTERM to node 0' : 'no SIGTERM')
  if (hasTrouble) {
    await Promise.race([platform.end(0, 'SIGTERM'), sleep(GRACE_MS)])
    record(`node 0 has ended: ${platform.hasEnded(0)}`)
  } else {
    await sleep(GRACE_MS)
  }
  isOver = true
  await Promise.all(clients)

  const ran = new Set(servers.flatMap((server) => server.ran))
  const answered = new Set(servers.flatMap((server) => server.answered))
  const lost = visits
    .filter(({ client }) => client.wasCut && (client.closedAt ?? 0) < stoppedAt + EXCUSED_FROM_MS)
    .flatMap(({ requests }) =>
      requests.filter(({ answeredAt, attempt }) => answeredAt === undefined && ran.has(attempt)),
    )
  for (const { attempt, at } of lost.slice(0, 20)) {
    record(
      `${attempt}: sent ${at - stoppedAt} ms after SIGTERM, run by a server, answered by it: ${answered.has(attempt)}`,
    )
  }
  const total = visits.reduce((sum, { requests }) => sum + requests.length, 0)
  record(`${total} requests; ${lost.length} were passed on to a server and lost with the connection that node 0 closed`)
  return lost.length > 0
})
