/**
 * Costs of idle node processes: one control node with a growing number of entries, and then of servers that announce
 * themselves. Measures start time, resident memory, CPU and control traffic of each role.
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Announcer, Cluster, Harness, type ClusterNode } from '@bilberrystall/testkit'
import { cpuMicrosecondsOf, residentBytesOf } from './process-usage'
import { fitSlope, type Sample, type Slope } from './slope'

const ENTRY_COUNTS = [2, 4, 7, 11]
const SERVER_COUNTS = [12, 24, 36]
const WINDOW_COUNT = 3
const WINDOW_MS = 3_400
/** Time for nodes that have just started to compile their code and exchange new records. */
const SETTLE_MS = 1_500
const JOIN_TIMEOUT_MS = 20_000
const ENVIRONMENT = 'trial'
const DOCUMENT = '[document]\ntitle = capacity\n[service.booking]\n[route.book]\nservice = booking\npath = /\n'

type Role = 'control' | 'entry'

/** Means over the nodes of a role in one measurement window. */
interface Reading {
  readonly cpuPercent: number
  readonly bytesPerSecond: number
  readonly memoryMiB: number
}

/** Readings at one number of entries and servers. */
interface StageReadings {
  readonly entries: number
  readonly servers: number
  readonly readings: Readonly<Record<Role, readonly Reading[]>>
}

interface NodeUsage {
  /** Run time of the threads of the process in µs. */
  readonly cpu: number
  /** Bytes of control traffic since the start of the process. */
  readonly bytes: number
  /** Resident memory in bytes. */
  readonly memory: number
}

export async function measureProcesses(): Promise<readonly Slope[]> {
  const harness = await Harness.create()
  const announcers: Announcer[] = []
  try {
    const cluster = await Cluster.create(harness)
    const starts: Sample[] = []
    const stages: StageReadings[] = []
    const controlStart = await startNode(cluster, { name: 'control', roles: 'control', bootstrap: true })
    await cluster.putInForce(ENVIRONMENT, DOCUMENT)
    for (const entries of ENTRY_COUNTS) {
      starts.push({ size: entries, runs: await addEntries(cluster, entries) })
      stages.push(await measureStage(cluster, 0))
    }
    for (const servers of SERVER_COUNTS) {
      while (announcers.length < servers) announcers.push(startAnnouncer(cluster, announcers.length))
      await cluster.waitUntilServersKnown(servers, ENVIRONMENT)
      stages.push(await measureStage(cluster, servers))
    }
    return [
      fitSlope({ name: 'start of the control node until healthy', per: 'nodes', unit: 'ms' }, [
        { size: 1, runs: [controlStart] },
      ]),
      fitSlope({ name: 'start of an entry until healthy, the added ones at once', per: 'entries', unit: 'ms' }, starts),
      ...fitSlopes(stages),
    ]
  } finally {
    await Promise.all(announcers.map((announcer) => announcer.stop()))
    await harness.end()
  }
}

async function startNode(cluster: Cluster, options: Parameters<Cluster['add']>[0]): Promise<number> {
  const [node] = await cluster.add(options)
  return node === undefined ? 0 : measureStart(node)
}

async function measureStart(node: ClusterNode): Promise<number> {
  const start = performance.now()
  await node.start()
  await node.waitUntilHealthy(JOIN_TIMEOUT_MS)
  return performance.now() - start
}

async function addEntries(cluster: Cluster, entryCount: number): Promise<number[]> {
  const names: string[] = []
  for (let index = cluster.entries.length; index < entryCount; index += 1) names.push(`entry-${index}`)
  const failureDomain = (name: string) => `fd-${Number(name.slice('entry-'.length)) % 3}`
  const nodes = await cluster.add(
    ...names.map((name) => {
      return { name, roles: 'entry' as const, environment: ENVIRONMENT, failureDomain: failureDomain(name) }
    }),
  )
  const times = await Promise.all(nodes.map(measureStart))
  await cluster.waitUntilAllJoined()
  return times
}

/** Announces a server that does not exist; no call is sent to it. */
function startAnnouncer(cluster: Cluster, index: number): Announcer {
  const { entries } = cluster
  const firstIndex = index % entries.length
  const addresses = [...entries.slice(firstIndex), ...entries.slice(0, firstIndex)].map(
    (entry) => entry.addresses.status,
  )
  const announcer = new Announcer({
    identity: {
      environment: ENVIRONMENT,
      service: 'booking',
      server: `booking-${index}`,
      address: `127.0.0.1:${1_000 + index}`,
      failureDomain: `fd-${index % 3}`,
      slots: 3,
      connectionLimit: 280,
    },
    entries: addresses,
    serverKey: readFileSync(join(cluster.harness.folder, 'server.key'), 'utf8').trim(),
  })
  announcer.start()
  return announcer
}

async function measureStage(cluster: Cluster, servers: number): Promise<StageReadings> {
  await sleep(SETTLE_MS)
  const readings: Record<Role, Reading[]> = { control: [], entry: [] }
  for (let window = 0; window < WINDOW_COUNT; window += 1) {
    const start = performance.now()
    const before = { control: await meanUsage(cluster.controls), entry: await meanUsage(cluster.entries) }
    await sleep(WINDOW_MS)
    const seconds = (performance.now() - start) / 1_000
    readings.control.push(toReading(before.control, await meanUsage(cluster.controls), seconds))
    readings.entry.push(toReading(before.entry, await meanUsage(cluster.entries), seconds))
  }
  return { entries: cluster.entries.length, servers, readings }
}

/** Returns the means over the nodes. */
async function meanUsage(nodes: readonly ClusterNode[]): Promise<NodeUsage> {
  const all = await Promise.all(
    nodes.map(async (node) => {
      const bytes = (await node.metric('bilberrystall_control_bytes')) ?? Number.NaN
      const { pid } = node.runningProcess
      return { cpu: cpuMicrosecondsOf(pid), bytes, memory: residentBytesOf(pid) }
    }),
  )
  const mean = (field: keyof NodeUsage) => all.reduce((total, one) => total + one[field], 0) / all.length
  return { cpu: mean('cpu'), bytes: mean('bytes'), memory: mean('memory') }
}

function toReading(before: NodeUsage, after: NodeUsage, seconds: number): Reading {
  return {
    cpuPercent: (after.cpu - before.cpu) / (seconds * 10_000),
    bytesPerSecond: (after.bytes - before.bytes) / seconds,
    memoryMiB: after.memory / 1024 / 1024,
  }
}

const READING_FIELDS = [
  { field: 'cpuPercent', name: 'CPU', unit: '% of a core' },
  { field: 'bytesPerSecond', name: 'control traffic', unit: 'bytes/s' },
  { field: 'memoryMiB', name: 'resident memory', unit: 'MiB' },
] as const

function fitSlopes(stages: readonly StageReadings[]): Slope[] {
  const maxEntries = Math.max(...ENTRY_COUNTS)
  const stagesByVariable = {
    entries: stages.filter(({ servers }) => servers === 0),
    servers: stages.filter(({ entries }) => entries === maxEntries),
  }
  const slopes: Slope[] = []
  for (const role of ['control', 'entry'] as const) {
    for (const { field, name, unit } of READING_FIELDS) {
      for (const per of ['entries', 'servers'] as const) {
        const samples = stagesByVariable[per].map((one) => {
          return { size: one[per], runs: one.readings[role].map((window) => window[field]) }
        })
        slopes.push(fitSlope({ name: `${name} of one ${role} node at rest`, per, unit }, samples))
      }
    }
  }
  return slopes
}
