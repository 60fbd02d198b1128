/**
 * Guards against planned stops that break off requests which a server has begun, and against stops that take until their
 * limit because a caller never leaves its connection idle. Callers keep their connections until a response announces the
 * close; most of them send several requests before the first response.
 */
import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { randomInt, seededRandom, type RandomSource } from '@bilberrystall/base'
import {
  findBrokenOff,
  findWrong,
  Harness,
  PipeliningCaller,
  type Cluster,
  type ClusterNode,
  type Exchange,
  type FakeServerProcess,
  type PipelinedRequest,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { CONTROLS, entryNode, startCluster } from './fixture'

const SEED = 45
const HOST = 'fitters.example'
const DEADLINE_MS = 4000
const BALANCER_GRACE_MS = 2500
const STOP_LIMIT_MS = 3000
/** Time in which a balancer that asks for the health of the entries sends no new connection to one that is leaving. */
const BALANCER_LAG_MS = 1000
/**
 * Added to the service time for each request that is in progress before a request on its connection. So the responses to
 * a caller that pipelines end one after the other, and its connection always has requests in progress.
 */
const SERVICE_STEP_MS = 25
/**
 * A stop in which every server answers in 100 ms ends within this time after the balancer grace: only requests in
 * progress hold it up, and for 1 s those that are half received (design section 1.2).
 */
const END_LIMIT_MS = 1500
const SERVERS = 8
const PAUSED_SERVERS = 6
const SLOTS = 8
const PIPELINING_CALLERS = 12
const DEPTH = 4
/** Callers that pause before they send on. So requests arrive while the response that announces the close is sent. */
const PAUSING_CALLERS = 4
const SINGLE_CALLERS = 8
const PAUSE_MS = 25
/** Load before the first stop, so that every caller has its connection and latencies are known. */
const WARM_UP_MS = 1000

const DOCUMENT = `[document]
title = Free slots and notes

[service.calendar]
measuring-budget = 0.5%

[route.slots]
service = calendar
host = ${HOST}
path = /slots
methods = GET
repeatable = yes
deadline = ${DEADLINE_MS}ms

[route.notes]
service = calendar
host = ${HOST}
path = /notes
methods = POST
repeatable = no
deadline = ${DEADLINE_MS}ms
`

interface Stop {
  readonly entry: string
  readonly address: string
  readonly startedAt: number
  readonly tookMs: number
  readonly status: number | NodeJS.Signals
  readonly output: string
}

let harness: Harness
let cluster: Cluster
let servers: readonly FakeServerProcess[]
let callers: readonly PipeliningCaller[] = []
let random: RandomSource
/** Entries to which the balancer sends new connections. */
let offered: Set<ClusterNode>

beforeEach(async () => {
  harness = await Harness.create()
  random = seededRandom(SEED)
  const settings = { balancerGrace: `${BALANCER_GRACE_MS}ms`, stopLimit: `${STOP_LIMIT_MS}ms` }
  const entries = [1, 2, 3].map((number) => ({ ...entryNode(number), ...settings }))
  cluster = await startCluster(harness, [...CONTROLS, ...entries], DOCUMENT)
  const names = Array.from({ length: SERVERS }, (_, index) => `calendar-${index + 1}`)
  servers = await Promise.all(
    names.map((server) => cluster.startFakeServer({ service: 'calendar', server, slots: SLOTS })),
  )
  await cluster.waitUntilServersKnown(SERVERS)
  offered = new Set(cluster.entries)
  callers = startCallers()
  await sleep(WARM_UP_MS)
})

afterEach(async () => {
  await Promise.all(callers.map((caller) => caller.stop(0)))
  await harness.end()
})

test('a stop ends soon after the balancer grace if the servers answer quickly', async () => {
  const stop = await stopEntry(cluster.node('entry-1'))
  await expectNothingBrokenOff([stop])
  expect(stop.status).toBe(0)
  expect(stop.tookMs).toBeLessThan(BALANCER_GRACE_MS + END_LIMIT_MS)
})

test('no request that a server has begun is broken off by a stop while servers pause', async () => {
  const stopPausing = new AbortController()
  const pausing = servers.slice(0, PAUSED_SERVERS).map((server) => pauseRepeatedly(server, stopPausing.signal))
  const stops: Stop[] = []
  for (const entry of cluster.entries) {
    stops.push(await stopEntry(entry))
    await entry.start()
    await entry.waitUntilHealthy()
    offered.add(entry)
  }
  stopPausing.abort()
  await Promise.all(pausing)
  await expectNothingBrokenOff(stops)
  expect(stops.map(({ status }) => status)).toEqual([0, 0, 0])
})

function startCallers(): PipeliningCaller[] {
  let position = 0
  const entry = (): string => {
    const choice = [...offered]
    position += 1
    return choice[position % choice.length]!.addresses.callers
  }
  let number = 0
  const request = (mayWrite: boolean, behind: number): PipelinedRequest => {
    number += 1
    const serviceMs = behind * SERVICE_STEP_MS + randomInt(random, SERVICE_STEP_MS)
    const query = `?number=${number}&ms=${serviceMs}${number % 2 === 0 ? '&chunked' : ''}`
    const isWrite = mayWrite && randomInt(random, 4) === 0
    return isWrite
      ? { method: 'POST', host: HOST, path: `/notes${query}`, body: 'a note', deadlineMs: DEADLINE_MS }
      : { method: 'GET', host: HOST, path: `/slots${query}`, deadlineMs: DEADLINE_MS }
  }
  const pipelining = { depth: DEPTH, entry, request: (behind: number) => request(false, behind) }
  const pausing = { depth: DEPTH, entry, request: () => request(false, 0), pauseMs: PAUSE_MS }
  const single = { depth: 1, entry, request: (behind: number) => request(true, behind), pauseMs: PAUSE_MS }
  return [
    ...Array.from({ length: PIPELINING_CALLERS }, () => new PipeliningCaller(pipelining)),
    ...Array.from({ length: PAUSING_CALLERS }, () => new PipeliningCaller(pausing)),
    ...Array.from({ length: SINGLE_CALLERS }, () => new PipeliningCaller(single)),
  ]
}

async function stopEntry(entry: ClusterNode): Promise<Stop> {
  const process = entry.runningProcess
  const startedAt = performance.now()
  process.signal('SIGTERM')
  setTimeout(() => offered.delete(entry), BALANCER_LAG_MS)
  const status = await process.waitForExit()
  const tookMs = performance.now() - startedAt
  return { entry: entry.name, address: entry.addresses.callers, startedAt, tookMs, status, output: process.output }
}

/** Stops and continues the process of a server, so that its connections stay open and nothing is answered. */
async function pauseRepeatedly(server: FakeServerProcess, stop: AbortSignal): Promise<void> {
  const MIN_PAUSE_MS = 200
  const MAX_PAUSE_MS = 2400
  const MIN_GAP_MS = 1000
  const MAX_GAP_MS = 3000
  while (!stop.aborted) {
    await sleep(MIN_GAP_MS + randomInt(random, MAX_GAP_MS - MIN_GAP_MS))
    server.process.signal('SIGSTOP')
    await sleep(MIN_PAUSE_MS + randomInt(random, MAX_PAUSE_MS - MIN_PAUSE_MS))
    server.process.signal('SIGCONT')
  }
}

async function expectNothingBrokenOff(stops: readonly Stop[]): Promise<void> {
  await Promise.all(callers.map((caller) => caller.stop(DEADLINE_MS)))
  const exchanges = callers.flatMap((caller) => caller.exchanges)
  const executions = await countExecutions()
  const brokenOff = findBrokenOff(exchanges, executions)
  const report = brokenOff.map((exchange) => describeLoss(exchange, stops))
  const figures = stops.map(
    ({ entry, tookMs, status }) => `${entry} ended ${Math.round(tookMs)} ms after SIGTERM (${status})`,
  )
  expect(exchanges.length).toBeGreaterThan(0)
  expect(findWrong(exchanges)).toEqual([])
  expect(report, `${brokenOff.length} of ${exchanges.length} requests; ${figures.join(', ')}`).toEqual([])
}

async function countExecutions(): Promise<ReadonlyMap<string, number>> {
  const records = await Promise.all(servers.map((server) => server.record()))
  return new Map(records.flatMap(({ byRequest }) => Object.entries(byRequest)))
}

/** Tells when a request was sent and ended relative to the stop of its entry, and what the entry logged about it. */
function describeLoss(
  { requestId, request, entry, behind, end, status, error, ...times }: Exchange,
  stops: readonly Stop[],
) {
  const stop = stops.findLast(({ address, startedAt }) => address === entry && startedAt < times.endedAt)
  const sinceStop = (at: number): string => (stop === undefined ? 'no stop' : `${Math.round(at - stop.startedAt)} ms`)
  const name = `${stop?.entry ?? entry} ${request.method} ${requestId}`
  const ending = `${end} ${status} ${error}, behind ${behind}`
  const sentAndEnded = `sent ${sinceStop(times.sentAt)}, ended ${sinceStop(times.endedAt)} after SIGTERM`
  return `${name}: ${ending}, ${sentAndEnded}; ${stop === undefined ? '' : logLinesOf(stop, request)}`
}

/** Lines about the request, which the log names by a hash, and about connections that the stop cut off. */
function logLinesOf({ output }: Stop, { method, host, path, body = '' }: PipelinedRequest): string {
  const ID_BYTES = 12
  const hash = createHash('sha256').update([method, host, path, '', body].join('\0'))
  const id = hash.digest().subarray(0, ID_BYTES).toString('base64url')
  const lines = output.split('\n').filter((line) => line.includes(id) || line.includes('connections-cut'))
  return lines.length === 0 ? 'no line' : lines.join(' ')
}
