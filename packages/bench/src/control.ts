/**
 * Measures three control nodes and two entries as real processes on loopback: cost when idle, time until a change is
 * accepted and in force everywhere, and the latter when the leader is killed during the change. Arguments: seconds of
 * idle measurement, number of changes, number of kills.
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
const TIMEOUT_MS = 30_000
const [idleSeconds = 20, changes = 100, kills = 5] = process.argv.slice(2).map(Number)

/** The members of all responses that this benchmark reads. */
interface ResponseBody {
  readonly inForceEverywhere?: boolean
  readonly leader?: string | null
  readonly replicas?: readonly { readonly role: string }[]
}

const harness = await Harness.create()
const cluster = await Cluster.create(harness)

function print(name: string, value: string): void {
  process.stdout.write(`${name.padEnd(50)} ${value}\n`)
}

async function callApi(
  node: ClusterNode,
  path: string,
  body?: object,
): Promise<{ status: number; body: ResponseBody }> {
  const response = await request(`http://${node.addresses.operators}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${readFileSync(join(harness.folder, 'operator.key'), 'utf8').trim()}` },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(TIMEOUT_MS),
  })
  return { status: response.statusCode, body: (await response.body.json()) as ResponseBody }
}

const documentWithTitle = (title: string) =>
  `[document]\ntitle = ${title}\n[service.booking]\n[route.book]\nservice = booking\npath = /\nkey = required\n`

/**
 * Submits a change repeatedly until it is accepted, as the CLI does. Returns the ms until it is accepted and until it is
 * in force everywhere.
 */
async function submitChange(node: ClusterNode, baseRevision: number): Promise<{ accepted: number; inForce: number }> {
  const start = performance.now()
  const fields = { environment: 'trial', baseRevision, document: documentWithTitle(`change ${baseRevision}`) }
  const body = { kind: 'submit', changeId: randomUUID(), ...fields }
  await eventually('accepted', async () => (await callApi(node, '/v1/changes', body)).status === 200, TIMEOUT_MS)
  const accepted = performance.now() - start
  for (;;) {
    const { status, body: state } = await callApi(node, '/v1/environments/trial')
    if (status === 200 && state.inForceEverywhere === true) return { accepted, inForce: performance.now() - start }
    await sleep(POLL_MS)
  }
}

interface ProcessUsage {
  readonly cpuSeconds: number
  /** Bytes of control traffic since the start of the process. */
  readonly bytes: number
  readonly memoryMiB: number
}

async function readUsage(node: ClusterNode): Promise<ProcessUsage> {
  const { pid } = node.runningProcess
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const cpuSeconds = (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_S
  const memory = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  const metricsText = await (await request(`http://${node.addresses.status}/metrics`)).body.text()
  const bytes = Number(/^bilberrystall_control_bytes (\d+)/m.exec(metricsText)?.[1])
  return { cpuSeconds, bytes, memoryMiB: Number(memory) / 1024 }
}

async function waitForThreeVoters(): Promise<ClusterNode> {
  return eventually(
    'three voters',
    async () => {
      for (const node of cluster.controls) {
        const response = await callApi(node, '/v1/status').catch(() => undefined)
        const { leader, replicas } = response?.body ?? {}
        const voters = replicas?.filter(({ role }) => role === 'voter').length
        if (voters === 3 && typeof leader === 'string') return cluster.node(leader)
      }
      return undefined
    },
    TIMEOUT_MS,
  )
}

function printHistogram(name: string, histogram: Histogram): void {
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
  const leader = await waitForThreeVoters()
  let revision = 0
  await submitChange(leader, revision++)

  const before = await Promise.all(cluster.nodes.map(readUsage))
  await sleep(idleSeconds * 1_000)
  for (const [index, node] of cluster.nodes.entries()) {
    const after = await readUsage(node)
    const start = before[index] ?? after
    const role = node === leader ? 'leader' : node.options.roles
    const cpu = `${(((after.cpuSeconds - start.cpuSeconds) / idleSeconds) * 100).toFixed(1)}% of a core`
    const traffic = `${((after.bytes - start.bytes) / idleSeconds / 1_000).toFixed(1)} KB/s`
    print(`idle ${node.name} (${role})`, `${cpu}, ${traffic}, ${after.memoryMiB.toFixed(0)} MiB`)
  }

  const acceptedTimes = build()
  const inForceTimes = build()
  for (let index = 0; index < changes; index += 1) {
    const node = cluster.controls[index % 3] ?? leader
    const times = await submitChange(node, revision++)
    acceptedTimes.recordValue(Math.round(times.accepted))
    inForceTimes.recordValue(Math.round(times.inForce))
  }
  printHistogram('change accepted', acceptedTimes)
  printHistogram('change in force everywhere', inForceTimes)

  const inForceAfterKill = build()
  for (let kill = 0; kill < kills; kill += 1) {
    const killedLeader = await waitForThreeVoters()
    const survivor = cluster.controls.find((node) => node !== killedLeader) ?? killedLeader
    const pendingChange = submitChange(survivor, revision++)
    await killedLeader.kill()
    inForceAfterKill.recordValue(Math.round((await pendingChange).inForce))
    await killedLeader.start()
    await killedLeader.waitUntilHealthy()
  }
  printHistogram('in force when the leader is killed', inForceAfterKill)
} finally {
  await harness.end()
}
