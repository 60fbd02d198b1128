/**
 * Costs of real nodes at rest: one control node with a growing number of entries, then of servers that announce
 * themselves. Reads start time, resident memory, share of a core and control traffic of each role.
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Announcer, Cluster, Harness, type ClusterNode } from '@bilberrystall/testkit'
import { cpuOf, memoryOf } from './process-usage'
import { slopeOf, type Sample, type Slope } from './slope'

const ENTRY_SIZES = [2, 4, 7, 11]
const SERVER_SIZES = [12, 24, 36]
const WINDOWS = 3
const WINDOW_MS = 3_400
/** Lets nodes that were just started compile their code and exchange what is new. */
const SETTLE_MS = 1_500
const JOIN_LIMIT_MS = 20_000
const ENVIRONMENT = 'trial'
const DOCUMENT = '[document]\ntitle = capacity\n[service.booking]\n[route.book]\nservice = booking\npath = /\n'

type Role = 'control' | 'entry'

/** One window of one role, averaged over its nodes. */
interface Reading {
  readonly cpuPercent: number
  readonly bytesPerSecond: number
  readonly memoryMiB: number
}

interface Stage {
  readonly entries: number
  readonly servers: number
  readonly readings: Readonly<Record<Role, readonly Reading[]>>
}

interface Totals {
  readonly cpu: number
  readonly bytes: number
  readonly memory: number
}

export async function measureProcesses(): Promise<readonly Slope[]> {
  const harness = await Harness.create()
  const announcers: Announcer[] = []
  try {
    const cluster = await Cluster.create(harness)
    const starts: Sample[] = []
    const stages: Stage[] = []
    const controlStart = await started(cluster, { name: 'control', roles: 'control', bootstrap: true })
    await cluster.putInForce(ENVIRONMENT, DOCUMENT)
    for (const entries of ENTRY_SIZES) {
      starts.push({ size: entries, runs: await addEntries(cluster, entries) })
      stages.push(await stage(cluster, 0))
    }
    for (const servers of SERVER_SIZES) {
      while (announcers.length < servers) announcers.push(announced(cluster, announcers.length))
      await cluster.serversKnown(servers, ENVIRONMENT)
      stages.push(await stage(cluster, servers))
    }
    return [
      slopeOf({ name: 'start of the control node until healthy', per: 'nodes', unit: 'ms' }, [
        { size: 1, runs: [controlStart] },
      ]),
      slopeOf({ name: 'start of an entry until healthy, the added ones at once', per: 'entries', unit: 'ms' }, starts),
      ...slopes(stages),
    ]
  } finally {
    await Promise.all(announcers.map((announcer) => announcer.stop()))
    await harness.end()
  }
}

async function started(cluster: Cluster, options: Parameters<Cluster['add']>[0]): Promise<number> {
  const [node] = await cluster.add(options)
  return node === undefined ? 0 : startTime(node)
}

async function startTime(node: ClusterNode): Promise<number> {
  const start = performance.now()
  await node.start()
  await node.healthy(JOIN_LIMIT_MS)
  return performance.now() - start
}

async function addEntries(cluster: Cluster, wanted: number): Promise<number[]> {
  const names: string[] = []
  for (let index = cluster.entries.length; index < wanted; index += 1) names.push(`entry-${index}`)
  const failureDomain = (name: string) => `fd-${Number(name.slice('entry-'.length)) % 3}`
  const nodes = await cluster.add(
    ...names.map((name) => {
      return { name, roles: 'entry' as const, environment: ENVIRONMENT, failureDomain: failureDomain(name) }
    }),
  )
  const times = await Promise.all(nodes.map(startTime))
  await cluster.allJoined()
  return times
}

/** The server exists only as its announcements; no call is made to it. */
function announced(cluster: Cluster, index: number): Announcer {
  const { entries } = cluster
  const first = index % entries.length
  const addresses = [...entries.slice(first), ...entries.slice(0, first)].map((entry) => entry.addresses.status)
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

async function stage(cluster: Cluster, servers: number): Promise<Stage> {
  await sleep(SETTLE_MS)
  const readings: Record<Role, Reading[]> = { control: [], entry: [] }
  for (let window = 0; window < WINDOWS; window += 1) {
    const start = performance.now()
    const before = { control: await totals(cluster.controls), entry: await totals(cluster.entries) }
    await sleep(WINDOW_MS)
    const seconds = (performance.now() - start) / 1_000
    readings.control.push(reading(before.control, await totals(cluster.controls), seconds))
    readings.entry.push(reading(before.entry, await totals(cluster.entries), seconds))
  }
  return { entries: cluster.entries.length, servers, readings }
}

/** Means over the nodes. */
async function totals(nodes: readonly ClusterNode[]): Promise<Totals> {
  const all = await Promise.all(
    nodes.map(async (node) => {
      const bytes = (await node.metric('bilberrystall_control_bytes')) ?? Number.NaN
      const { pid } = node.running
      return { cpu: cpuOf(pid), bytes, memory: memoryOf(pid) }
    }),
  )
  const mean = (member: keyof Totals) => all.reduce((total, one) => total + one[member], 0) / all.length
  return { cpu: mean('cpu'), bytes: mean('bytes'), memory: mean('memory') }
}

function reading(before: Totals, after: Totals, seconds: number): Reading {
  return {
    cpuPercent: (after.cpu - before.cpu) / (seconds * 10_000),
    bytesPerSecond: (after.bytes - before.bytes) / seconds,
    memoryMiB: after.memory / 1024 / 1024,
  }
}

const MEMBERS = [
  { member: 'cpuPercent', name: 'CPU', unit: '% of a core' },
  { member: 'bytesPerSecond', name: 'control traffic', unit: 'bytes/s' },
  { member: 'memoryMiB', name: 'resident memory', unit: 'MiB' },
] as const

function slopes(stages: readonly Stage[]): Slope[] {
  const most = Math.max(...ENTRY_SIZES)
  const growing = {
    entries: stages.filter(({ servers }) => servers === 0),
    servers: stages.filter(({ entries }) => entries === most),
  }
  const made: Slope[] = []
  for (const role of ['control', 'entry'] as const) {
    for (const { member, name, unit } of MEMBERS) {
      for (const per of ['entries', 'servers'] as const) {
        const samples = growing[per].map((one) => {
          return { size: one[per], runs: one.readings[role].map((window) => window[member]) }
        })
        made.push(slopeOf({ name: `${name} of one ${role} node at rest`, per, unit }, samples))
      }
    }
  }
  return made
}
