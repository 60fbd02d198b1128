/** One answer with bytes that are no HTTP status freezes the node that reads it, with all of its calls. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase } from '../lib/case'
import { Client, type Sent } from '../lib/client'
import { configuration, route } from '../lib/configuration'
import { Platform } from '../lib/platform'
import { Server } from '../lib/server'

const NODES = 3
const SERVERS = 6
const CLIENTS_PER_NODE = 8
/** A client sends its next request this long after the last answer. */
const PAUSE_MS = 250
const WORK_MS = 80
const ROUTE_TIMEOUT_MS = 1_000
/** The rule grants this time after the timeout of the route. */
const SLACK_MS = 500
/** Deadline of the booking clients of skladaj-gw. */
const CLIENT_TIMEOUT_MS = 2_000
/** `stability_window` and some more, in which nothing happens. */
const CALM_MS = 4_000
const TRAFFIC_MS = 10_000
const GARBLED_AT_MS = 3_000
/** The rule asks for eight requests that last longer than the timeout of their route. */
const MIN_LATE = 8

await runCase('review/1', async ({ record, use, hasTrouble }) => {
  const platform = use(await Platform.start(NODES))
  const routes = [
    route({ name: 'book', prefix: '/book/', kind: 'unsafe', timeoutMs: ROUTE_TIMEOUT_MS, service: 'desk' }),
  ]
  const accepted = await platform.order('config.put', configuration(3, routes, ['desk']), 20_000)
  if (accepted.status !== 200) throw new Error(`the configuration was answered ${accepted.status}`)

  let garbleAt = Number.POSITIVE_INFINITY
  let garbled: string | undefined
  const servers: Server[] = []
  for (let index = 0; index < SERVERS; index += 1) {
    const server = use(
      new Server({
        platform,
        service: 'desk',
        id: `i-${index}`,
        ip: `127.0.1.${100 + index}`,
        zone: platform.nodes[index % NODES]?.zone ?? '',
        slots: 3,
        workMs: WORK_MS,
        // One server spoils one of its answers.
        answer: ({ attempt }) => {
          if (index !== 0 || garbled !== undefined || Date.now() < garbleAt) return undefined
          garbled = attempt
          return (_, socket) => {
            record(`server i-0 spoils its answer to ${attempt}`)
            socket.write(`HTTP/1.1 000 OK\r\nAttempt-Id: ${attempt}\r\ncontent-length: 2\r\n\r\nok`)
          }
        },
      }),
    )
    servers.push(server)
    await server.start()
  }
  if (!(await platform.waitUntilReady())) throw new Error('the nodes did not become ready')
  await sleep(CALM_MS)

  const startedAt = Date.now()
  if (hasTrouble) garbleAt = startedAt + GARBLED_AT_MS
  const sent: { readonly node: number; readonly request: Sent }[] = []
  await Promise.all(
    platform.nodes.flatMap(({ index, ip }) =>
      Array.from({ length: CLIENTS_PER_NODE }, async (_, number) => {
        await sleep((number * PAUSE_MS) / CLIENTS_PER_NODE)
        let client = new Client(ip, platform.frontPort)
        for (let turn = 0; Date.now() < startedAt + TRAFFIC_MS; turn += 1) {
          if (client.isClosed) client = new Client(ip, platform.frontPort)
          client.send('POST', '/book/visit', [`a${index}-${number}-${turn}`], CLIENT_TIMEOUT_MS)
          const request = client.sent.at(-1)
          if (request === undefined) return
          sent.push({ node: index, request })
          const end = Date.now() + CLIENT_TIMEOUT_MS
          while (request.answeredAt === undefined && !client.isClosed && Date.now() < end) await sleep(5)
          if (request.answeredAt === undefined) {
            client.leave()
            client = new Client(ip, platform.frontPort)
          }
          await sleep(PAUSE_MS)
        }
        client.leave()
      }),
    ),
  )

  let isBroken = false
  for (const { index } of platform.nodes) {
    const requests = sent.filter(({ node }) => node === index).map(({ request }) => request)
    const took = ({ at, answeredAt }: Sent) => (answeredAt ?? Number.POSITIVE_INFINITY) - at
    const late = requests.filter((request) => took(request) > ROUTE_TIMEOUT_MS)
    const unanswered = late.filter((request) => took(request) > ROUTE_TIMEOUT_MS + SLACK_MS)
    const none = requests.filter(({ answeredAt }) => answeredAt === undefined)
    record(
      `node ${index}: ${requests.length} requests, ${late.length} unanswered at the timeout of their route, ` +
        `${unanswered.length} of these still 0.5 s later, ${none.length} never answered`,
    )
    if (late.length >= MIN_LATE && unanswered.length > late.length / 2) isBroken = true
  }
  const ran = servers.reduce((sum, server) => sum + server.ran.length, 0)
  record(`servers ran ${ran} requests and spoiled ${garbled === undefined ? 0 : 1} answer`)
  return isBroken
})
