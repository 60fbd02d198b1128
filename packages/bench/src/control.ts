/**
 * Measures three control nodes and two entries as real processes on loopback: cost when idle, time until a change is
 * accepted and in force everywhere, and the same when the leader is killed during the change. Arguments: seconds of
 * idling, number of changes, number of kills.
 */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, Harness, eventually, type ClusterNode } from '@bilberrystall/testkit'
import { build, type Histogram } from 'hdr-histogram-js'
import { request } from 'undici'

const CLOCK_TICKS_PER_S = 100
const POLL_MS = 5
const LIMIT_MS = 30_000
const [idleS = 20, changes = 100, kills = 5] = process.argv.slice(2).map(Number)

/** The members that are read here, of any response. */
interface View {
  readonly inForceEverywhere?: boolean
  readonly leader?: string | null
  readonly replicas?: readonly { readonly role: string }[]
}

const harness = await Harness.create()
const cluster = await Cluster.create(harness)

function print(name: string, value: string): void {
  process.stdout.write(`${name.padEnd(50)} ${value}\n`)
}

async function api(node: ClusterNode, path: string, body?: object): Promise<{ status: number; body: View }> {
  const response = await request(`http://${node.addresses.operators}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${readFileSync(join(harness.folder, 'operator.key'), 'utf8').trim()}` },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(LIMIT_MS),
  })
  return { status: response.statusCode, body: (await response.body.json()) as View }
}

const document = (title: string) =>
  `[document]\ntitle = ${title}\n[service.booking]\n[route.book]\nservice = booking\npath = /\nkey = required\n`

/** Submits until accepted, as the command line does, and returns the times to acceptance and to force everywhere. */
async function change(node: ClusterNode, baseRevision: number): Promise<{ accepted: number; inForce: number }> {
  const start = performance.now()
  const rest = { environment: 'trial', baseRevision, document: document(`change ${baseRevision}`) }
  const body = { kind: 'submit', changeId: randomUUID(), ...rest }
  await eventually('accepted', async () => (await api(node, '/v1/changes', body)).status === 200, LIMIT_MS)
  const accepted = performance.now() - start
  for (;;) {
    const { status, body: view } = await api(node, '/v1/environments/trial')
    if (status === 200 && view.inForceEverywhere === true) return { accepted, inForce: performance.now() - start }
    await sleep(POLL_MS)
  }
}

interface Usage {
  readonly cpuS: number
  readonly bytes: number
  readonly memoryMiB: number
}

async function usage(node: ClusterNode): Promise<Usage> {
  const { pid } = node.running
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const cpuS = (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
  const memory = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  const page = await (await request(`http://${node.addresses.status}/metrics`)).body.text()
  const bytes = Number(/^bilberrystall_control_bytes (\d+)/m.exec(page)?.[1])
  return { cpuS, bytes, memoryMiB: Number(memory) / 1024 }
}

async function settled(): Promise<ClusterNode> {
  return eventually(
    'three voters',
    async () => {
      for (const node of cluster.controls) {
        const view = await api(node, '/v1/status').catch(() => undefined)
        const { leader, replicas } = view?.body ?? {}
        const voters = replicas?.filter(({ role }) => role === 'voter').length
        if (voters === 3 && typeof leader === 'string') return cluster.node(leader)
      }
      return undefined
    },
    LIMIT_MS,
  )
}

function show(name: string, histogram: Histogram): void {
  const value = (percentile: number) => `${histogram.getValueAtPercentile(percentile)} ms`
  print(name, `p50 ${value(50)}, p99 ${value(99)}, max ${histogram.maxValue} ms, n ${histogram.totalCount}`)
}

try {
  await cluster.add({ name: 'a', roles: 'control', bootstrap: true })
  await cluster.add({ name: 'b', roles: 'control' }, { name: 'c', roles: 'control' })
  await cluster.add(
    { name: 'e', roles: 'entry', environment: 'trial' },
    { name: 'f', roles: 'entry', environment: 'trial' },
  )
  await cluster.startAll()
  const leader = await settled()
  let revision = 0
  await change(leader, revision++)

  const before = await Promise.all(cluster.nodes.map(usage))
  await sleep(idleS * 1_000)
  for (const [index, node] of cluster.nodes.entries()) {
    const after = await usage(node)
    const start = before[index] ?? after
    const role = node === leader ? 'leader' : node.options.roles
    const cpu = `${(((after.cpuS - start.cpuS) / idleS) * 100).toFixed(1)}% of a core`
    const traffic = `${((after.bytes - start.bytes) / idleS / 1_000).toFixed(1)} KB/s`
    print(`idle ${node.name} (${role})`, `${cpu}, ${traffic}, ${after.memoryMiB.toFixed(0)} MiB`)
  }

  const accepted = build()
  const inForce = build()
  for (let index = 0; index < changes; index += 1) {
    const node = cluster.controls[index % 3] ?? leader
    const times = await change(node, revision++)
    accepted.recordValue(Math.round(times.accepted))
    inForce.recordValue(Math.round(times.inForce))
  }
  show('change accepted', accepted)
  show('change in force everywhere', inForce)

  const killed = build()
  for (let kill = 0; kill < kills; kill += 1) {
    const lost = await settled()
    const other = cluster.controls.find((node) => node !== lost) ?? lost
    const changing = change(other, revision++)
    await lost.kill()
    killed.recordValue(Math.round((await changing).inForce))
    await lost.start()
    await lost.healthy()
  }
  show('in force when the leader is killed', killed)
} finally {
  await harness.end()
}
