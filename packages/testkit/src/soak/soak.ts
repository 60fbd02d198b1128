/**
 * Plays one soak: a cluster of real processes under load, faults from outside by a seeded schedule, and the promises
 * checked from what callers, servers and operators saw.
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, type ClusterNode, type NodeOptions, type StandInProcess } from '../cluster'
import { sendCall, type Call } from '../load'
import type { Harness } from '../processes'
import { FITTERS_HOST, workloadDocument } from '../workloads'
import { brokenPromises, type PlannedStop, type SoakCall } from './promises'
import { drawSchedule, type SoakFault } from './schedule'

const LENGTH_MS = 15_000
const CALL_INTERVAL_MS = 25
const VIEW_INTERVAL_MS = 200
/** Time for every call to end after the last fault: the longest deadline of the workloads, 10 s. */
const CALLS_END_MS = 10_000
/** Bound within which all nodes work again once the faults are over: a change in force while a leader is lost. */
const RECOVERY_MS = 11_000
const SERVERS = { calendar: 3, booking: 3 } as const

const READ: Call = { method: 'GET', host: FITTERS_HOST, path: '/slots' }
const WRITE: Call = { method: 'POST', host: FITTERS_HOST, path: '/notes', body: 'a note' }

const NODES: readonly NodeOptions[] = [
  { name: 'control-1', roles: 'control', failureDomain: 'fd-1', bootstrap: true },
  { name: 'control-2', roles: 'control', failureDomain: 'fd-2' },
  { name: 'control-3', roles: 'control', failureDomain: 'fd-3' },
  ...[1, 2, 3].map((number): NodeOptions => {
    return { name: `entry-${number}`, roles: 'entry', environment: 'production', failureDomain: `fd-${number}` }
  }),
]

export interface SoakReport {
  readonly seed: number
  readonly faults: readonly SoakFault[]
  readonly calls: Readonly<Record<string, number>>
  readonly changes: number
  readonly broken: readonly string[]
}

export async function playSoak(harness: Harness, seed: number): Promise<SoakReport> {
  const cluster = await Cluster.create(harness)
  await cluster.add(...NODES)
  await cluster.startAll()
  await cluster.allJoined()
  await cluster.putInForce('production', workloadDocument())
  await Promise.all(cluster.entries.map((entry) => entry.healthy()))
  const servers = await startServers(cluster)
  return new Soak(cluster, servers, seed).play()
}

async function startServers(cluster: Cluster): Promise<readonly StandInProcess[]> {
  const names = Object.entries(SERVERS).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({ service, server: `${service}-${index + 1}` })),
  )
  const servers = await Promise.all(names.map((name) => cluster.standIn(name)))
  await cluster.serversKnown(servers.length)
  return servers
}

class Soak {
  readonly #cluster: Cluster
  readonly #servers: readonly StandInProcess[]
  readonly #seed: number
  readonly #startedAt = performance.now()
  readonly #calls: SoakCall[] = []
  readonly #accepted: number[] = []
  readonly #stated = new Map<string, number[]>()
  readonly #stops: { -readonly [Key in keyof PlannedStop]: PlannedStop[Key] }[] = []
  /** Nodes whose process an earlier fault has stopped, paused or cut off; a second fault leaves them alone. */
  readonly #busy = new Set<string>()
  #changes = 0
  #over = false

  constructor(cluster: Cluster, servers: readonly StandInProcess[], seed: number) {
    this.#cluster = cluster
    this.#servers = servers
    this.#seed = seed
  }

  async play(): Promise<SoakReport> {
    const names = (nodes: readonly ClusterNode[]) => nodes.map(({ name }) => name)
    const { entries, controls } = this.#cluster
    const options = { seed: this.#seed, lengthMs: LENGTH_MS, entries: names(entries), controls: names(controls) }
    const faults = drawSchedule(options)
    const watching = this.#watch()
    const loading = this.#load()
    await Promise.all(faults.map((fault) => this.#strike(fault)))
    await loading
    this.#cluster.network.heal()
    const finalRevision = await this.#recovered()
    this.#over = true
    await watching
    const broken = brokenPromises({
      calls: this.#calls,
      executions: await this.#executions(),
      accepted: this.#accepted,
      stated: this.#stated,
      finalRevision,
      plannedStops: this.#stops,
    })
    return { seed: this.#seed, faults, calls: this.#tally(), changes: this.#accepted.length, broken }
  }

  #now(): number {
    return performance.now() - this.#startedAt
  }

  async #load(): Promise<void> {
    const running: Promise<void>[] = []
    for (let number = 0; this.#now() < LENGTH_MS; number += 1) {
      running.push(this.#call(number))
      await sleep(CALL_INTERVAL_MS)
    }
    await Promise.race([Promise.all(running), sleep(CALLS_END_MS)])
  }

  async #call(number: number): Promise<void> {
    const { entries } = this.#cluster
    const entry = entries[number % entries.length]
    if (entry === undefined) return
    const repeatable = number % 2 === 0
    const sentAt = this.#now()
    const result = await sendCall(entry.addresses.callers, repeatable ? READ : WRITE)
    this.#calls.push({ result, repeatable, entry: entry.name, sentAt, endedAt: this.#now() })
  }

  async #strike(fault: SoakFault): Promise<void> {
    await sleep(fault.at)
    switch (fault.kind) {
      case 'race':
        await this.#race()
        return
      case 'kill-all-control':
        await this.#killAllControl(fault.lasts)
        return
      case 'planned-stop':
        await this.#on(fault.node, (node) => this.#stopAsPlanned(node))
        return
      case 'kill':
        await this.#on(fault.node, (node) => this.#kill(node, fault.lasts))
        return
      case 'pause':
        await this.#on(fault.node, async ({ running }) => {
          running.signal('SIGSTOP')
          await sleep(fault.lasts)
          running.signal('SIGCONT')
        })
        return
      case 'isolate':
        await this.#on(fault.node, async ({ name }) => {
          this.#cluster.network.isolate(name)
          await sleep(fault.lasts)
          this.#cluster.network.heal()
        })
    }
  }

  async #on(name: string, strike: (node: ClusterNode) => Promise<void>): Promise<void> {
    if (this.#busy.has(name)) return
    this.#busy.add(name)
    await strike(this.#cluster.node(name))
    this.#busy.delete(name)
  }

  async #kill(node: ClusterNode, downMs: number): Promise<void> {
    await node.kill()
    await sleep(downMs)
    await node.start()
  }

  async #killAllControl(downMs: number): Promise<void> {
    await Promise.all(this.#cluster.controls.map(({ name }) => this.#on(name, (node) => this.#kill(node, downMs))))
  }

  async #stopAsPlanned(node: ClusterNode): Promise<void> {
    const stop = { entry: node.name, from: this.#now(), until: Infinity, disturbed: false }
    this.#stops.push(stop)
    node.running.signal('SIGTERM')
    await node.running.exit()
    stop.until = this.#now()
    await node.start()
  }

  /** Two operators submit different documents on the newest revision; one at most may win. */
  async #race(): Promise<void> {
    const view = await this.#revisionOf(this.#cluster.controls)
    if (view === undefined) return
    this.#changes += 1
    const titles = [`${this.#changes}a`, `${this.#changes}b`]
    await Promise.all(titles.map((title) => this.#submit(title, view)))
  }

  async #submit(title: string, base: number): Promise<void> {
    const file = `${title}.ini`
    await writeFile(join(this.#cluster.harness.folder, file), workloadDocument(title))
    const target = ['--environment', 'production', '--base', String(base), '--json']
    const result = await this.#cluster.operator(['document', 'submit', file, ...target])
    if (result.status === 0) this.#accepted.push((JSON.parse(result.stdout) as { revision: number }).revision)
  }

  async #revisionOf(nodes: readonly ClusterNode[]): Promise<number | undefined> {
    const view = (await this.#cluster.view('/v1/environments/production', nodes)) as { revision?: number } | undefined
    return view?.revision
  }

  /** Reads what each control node states, by process, so that a restart begins anew. */
  async #watch(): Promise<void> {
    while (!this.#over) {
      await Promise.all(this.#cluster.controls.map((node) => this.#note(node)))
      await sleep(VIEW_INTERVAL_MS)
    }
  }

  async #note(node: ClusterNode): Promise<void> {
    const process = `${node.name} pid ${node.running.pid}`
    const revision = await this.#revisionOf([node])
    if (revision === undefined) return
    const revisions = this.#stated.get(process) ?? []
    revisions.push(revision)
    this.#stated.set(process, revisions)
  }

  async #recovered(): Promise<number> {
    return this.#cluster.until(
      'every node works again and agrees on the revision',
      async () => {
        const healthy = await Promise.all(this.#cluster.entries.map((entry) => entry.health()))
        const revisions = await Promise.all(this.#cluster.controls.map((node) => this.#revisionOf([node])))
        const agreed = revisions[0] !== undefined && revisions.every((revision) => revision === revisions[0])
        return healthy.every(({ status }) => status === 200) && agreed ? revisions[0] : undefined
      },
      RECOVERY_MS,
    )
  }

  async #executions(): Promise<ReadonlyMap<string, number>> {
    const executions = new Map<string, number>()
    for (const server of this.#servers) {
      const { byRequest } = await server.record()
      for (const [id, count] of Object.entries(byRequest)) executions.set(id, (executions.get(id) ?? 0) + count)
    }
    return executions
  }

  #tally(): Record<string, number> {
    const tally: Record<string, number> = {}
    for (const { result } of this.#calls) tally[result.outcome] = (tally[result.outcome] ?? 0) + 1
    return tally
  }
}
