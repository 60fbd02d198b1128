/**
 * Runs one soak test: puts a cluster of real processes under load, injects the faults of a seeded schedule, and checks
 * the invariants on what callers, servers and operators observed.
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { RESULT_CODES } from '@bilberrystall/base'
import type { Behaviour } from '../behaviour'
import { Cluster, type ClusterNode, type FakeServerProcess } from '../cluster'
import { sendCall, type Call } from '../load'
import type { Exchange } from '../pipelining-caller'
import type { Harness } from '../processes'
import { movingDocument, RouteMover } from '../route-mover'
import { APPOINTMENT_HOST } from '../workloads'
import { ConnectionTrace } from './connection-trace'
import { findViolations, type Disturbance, type PlannedStop, type RevisionRead, type SoakCall } from './invariants'
import { KeptConnections } from './kept-connections'
import { readRecords } from './records'
import { fleet, startServers, type FleetSize } from './fleets'
import { drawSchedule, type CutFault, type SoakFault } from './schedule'

const LOAD_DURATION_MS = 15_000
const CALL_INTERVAL_MS = 25
const POLL_INTERVAL_MS = 200
/** Longest wait for running calls after the load: the longest deadline of the workloads, 10 s. */
const CALL_COMPLETION_TIMEOUT_MS = 10_000
/** Time for all nodes to recover after the faults: the limit for a change to be in force while a leader is lost. */
const RECOVERY_TIMEOUT_MS = 11_000
/** Replicas of a fleet with fewer than five control nodes. */
const REPLICA_COUNT = 3
/** Longest wait for an acknowledgement before control nodes are killed. */
const MAX_KILL_DELAY_MS = 500

const READ: Call = { method: 'GET', host: APPOINTMENT_HOST, path: '/slots' }
const WRITE: Call = { method: 'POST', host: APPOINTMENT_HOST, path: '/notes', body: 'a note' }

/** A server that stutters also refuses and fails, as an entry must tell these responses from each other. */
const STUTTERING = { stutterShare: 0.3, refusalShare: 0.2, failureShare: 0.1 }
const BREAKING_OFF = { breakOffShare: 0.3 }
const STEADY = { stutterShare: 0, refusalShare: 0, failureShare: 0, breakOffShare: 0 }

export interface SoakReport {
  readonly seed: number
  readonly faults: readonly SoakFault[]
  readonly calls: Readonly<Record<string, number>>
  /** Exchanges on kept connections by their end. */
  readonly exchanges: Readonly<Record<string, number>>
  /** Duration of each planned stop in ms. */
  readonly stopsMs: readonly number[]
  /** Changes of the operators that race each other. */
  readonly acceptedChanges: number
  readonly acknowledgedMoves: number
  /** Requests that ran on the route that moves. */
  readonly routeRuns: number
  /** Extra copies of responses that servers sent. */
  readonly extraCopies: number
  /** Requests to which a server broke off a response behind a part of its body. */
  readonly brokenOff: number
  readonly violations: readonly string[]
}

export interface SoakOptions {
  readonly size?: FleetSize
  /** Whether servers stutter, refuse and fail at times. */
  readonly stutter?: boolean
  /** Whether responses of servers stop behind a part of their bodies at times. */
  readonly breakOff?: boolean
}

export async function runSoak(harness: Harness, seed: number, options: SoakOptions = {}): Promise<SoakReport> {
  const { size = 'small', stutter = false, breakOff = false } = options
  const cluster = await Cluster.create(harness)
  await cluster.add(...fleet(size))
  await cluster.startAll()
  await cluster.waitUntilAllJoined()
  await cluster.putInForce('production', movingDocument())
  await Promise.all(cluster.entries.map((entry) => entry.waitUntilHealthy()))
  const servers = await startServers(cluster, seed)
  const mover = await RouteMover.start(cluster, servers.length)
  return new Soak(cluster, servers, mover, seed, { stutter, breakOff }).run()
}

interface ServerFaults {
  readonly stutter: boolean
  readonly breakOff: boolean
}

class Soak {
  readonly #cluster: Cluster
  readonly #servers: readonly FakeServerProcess[]
  readonly #mover: RouteMover
  readonly #seed: number
  readonly #serverFaults: ServerFaults
  readonly #startedAt = performance.now()
  readonly #calls: SoakCall[] = []
  readonly #connections = new ConnectionTrace()
  readonly #reads: RevisionRead[] = []
  readonly #reportedRevisions = new Map<string, number[]>()
  readonly #plannedStops: { -readonly [Key in keyof PlannedStop]: PlannedStop[Key] }[] = []
  /** Nodes that a fault stopped, paused or isolated and that have not recovered; further faults skip them. */
  readonly #faultyNodes = new Set<string>()
  readonly #disturbances: { -readonly [Key in keyof Disturbance]: Disturbance[Key] }[] = []
  readonly #pausedServers = new Set<string>()
  readonly #changedServers = new Set<string>()
  /** Settles when the operators have no more changes to submit. */
  #operating = Promise.resolve()
  #operatorQueue = 0
  #acceptedChanges = 0
  #conflictCount = 0
  #finished = false

  constructor(
    cluster: Cluster,
    servers: readonly FakeServerProcess[],
    mover: RouteMover,
    seed: number,
    serverFaults: ServerFaults,
  ) {
    this.#cluster = cluster
    this.#servers = servers
    this.#mover = mover
    this.#seed = seed
    this.#serverFaults = serverFaults
  }

  async run(): Promise<SoakReport> {
    this.#connections.start()
    try {
      return await this.#run()
    } finally {
      this.#finished = true
      this.#mover.stop()
      this.#connections.stop()
    }
  }

  async #run(): Promise<SoakReport> {
    const namesOf = (nodes: readonly ClusterNode[]) => nodes.map(({ name }) => name)
    const { entries, controls } = this.#cluster
    const options = {
      seed: this.#seed,
      loadDurationMs: LOAD_DURATION_MS,
      entries: namesOf(entries),
      controls: namesOf(controls),
      servers: this.#servers.map(({ process }) => process.name),
      ...this.#serverFaults,
    }
    const faults = drawSchedule(options)
    const polling = this.#pollRevisions()
    this.#mover.startCalling()
    const load = this.#runLoad().finally(() => {
      this.#mover.stop()
    })
    const injecting = faults.map((fault) => this.#inject(fault))
    const [exchanges] = await Promise.all([this.#runKeptConnections(), load, ...injecting])
    this.#cluster.network.heal()
    const finalRevision = await this.#waitForRecovery()
    this.#finished = true
    await polling
    const { moves } = this.#mover
    const runs = await this.#mover.readRuns()
    const acknowledged = moves.filter(({ acknowledgedAt }) => acknowledgedAt !== undefined)
    const records = await readRecords(this.#servers)
    const violations = findViolations({
      calls: this.#calls,
      exchanges,
      ...records,
      acceptedRevisions: acknowledged.map(({ base }) => base + 1),
      reportedRevisions: this.#reportedRevisions,
      finalRevision,
      plannedStops: this.#plannedStops,
      route: { moves, runs, disturbances: this.#disturbances, controls: namesOf(controls), reads: this.#reads },
    })
    return {
      seed: this.#seed,
      faults,
      calls: countBy(this.#calls.map(({ result }) => result.outcome)),
      exchanges: countBy(exchanges.map(({ end, status }) => (end === 'answered' ? String(status) : end))),
      stopsMs: this.#plannedStops.map(({ from, until }) => Math.round(until - from)),
      acceptedChanges: this.#acceptedChanges,
      acknowledgedMoves: acknowledged.length - this.#acceptedChanges - 1,
      routeRuns: runs.length,
      extraCopies: records.extraCopies,
      brokenOff: records.brokenOff.size,
      violations,
    }
  }

  #elapsedMs(): number {
    return performance.now() - this.#startedAt
  }

  async #runLoad(): Promise<void> {
    const running: Promise<void>[] = []
    for (let number = 0; this.#elapsedMs() < LOAD_DURATION_MS; number += 1) {
      running.push(this.#sendNumberedCall(number))
      await sleep(CALL_INTERVAL_MS)
    }
    await Promise.race([Promise.all(running), sleep(CALL_COMPLETION_TIMEOUT_MS)])
  }

  async #runKeptConnections(): Promise<readonly Exchange[]> {
    const entries = this.#cluster.entries.map(({ name, addresses }) => ({ name, address: addresses.callers }))
    const connections = new KeptConnections(entries, this.#serverFaults.stutter)
    await sleep(LOAD_DURATION_MS)
    return connections.stop(CALL_COMPLETION_TIMEOUT_MS, this.#startedAt)
  }

  async #sendNumberedCall(number: number): Promise<void> {
    const { entries } = this.#cluster
    const entry = entries[number % entries.length]
    if (entry === undefined) return
    const repeatable = number % 2 === 0
    const sentAt = this.#elapsedMs()
    const call = repeatable ? READ : WRITE
    const result = await sendCall(entry.addresses.callers, call)
    const endedAt = this.#elapsedMs()
    const known = this.#connections.take(result.requestId)
    const connection = known === undefined ? undefined : { ...known, writtenAt: known.writtenAt - this.#startedAt }
    this.#calls.push({ result, repeatable, entry: entry.name, sentAt, endedAt, method: call.method, connection })
  }

  async #inject(fault: SoakFault): Promise<void> {
    await sleep(fault.startMs)
    switch (fault.kind) {
      case 'race':
        await this.#whenOperatorIsFree(async () => {
          await this.#submitConflictingChanges()
          await this.#mover.move(this.#cluster.controls)
        })
        return
      case 'kill-all-control':
        await Promise.race([this.#move(), sleep(MAX_KILL_DELAY_MS)])
        await this.#killAllControl(fault.durationMs)
        return
      case 'move':
        if (this.#operatorQueue === 0) await this.#move()
        return
      case 'reload':
        await this.#withUnaffectedNode(fault.node, async (node) => this.#reload(node), false)
        return
      case 'planned-stop':
        await this.#withUnaffectedNode(fault.node, (node) => this.#stopAndRestart(node))
        return
      case 'stop-series':
        for (const { name } of this.#cluster.entries) {
          await this.#withUnaffectedNode(name, async (node) => {
            await this.#stopAndRestart(node)
            await node.waitUntilHealthy()
          })
        }
        return
      case 'pause-server':
        await this.#pauseServer(fault.server, fault.durationMs)
        return
      case 'stutter':
        await this.#changeServer(fault.server, STUTTERING, fault.durationMs)
        return
      case 'break-off':
        await this.#changeServer(fault.server, BREAKING_OFF, fault.durationMs)
        return
      case 'kill':
        await this.#withUnaffectedNode(fault.node, (node) => this.#kill(node, fault.durationMs))
        return
      case 'pause':
        await this.#withUnaffectedNode(fault.node, async ({ runningProcess }) => {
          runningProcess.signal('SIGSTOP')
          await sleep(fault.durationMs)
          runningProcess.signal('SIGCONT')
        })
        return
      case 'isolate':
        await this.#withUnaffectedNode(fault.node, async ({ name }) => {
          const others = this.#cluster.nodes.map((other) => other.name).filter((other) => other !== name)
          await this.#cut([name], others, fault.durationMs)
        })
        return
      case 'cut':
        await this.#cutGroups(fault)
    }
  }

  async #cut(left: readonly string[], right: readonly string[], durationMs: number): Promise<void> {
    const heal = this.#cluster.network.cut(left, right)
    await sleep(durationMs)
    heal()
  }

  /** Disturbs the nodes that are cut off from as many control nodes as may decide without them. */
  async #cutGroups({ left, right, durationMs }: CutFault): Promise<void> {
    const { controls } = this.#cluster
    const reachesMajority = (cutOff: readonly string[]) =>
      controls.filter(({ name }) => !cutOff.includes(name)).length > controls.length / 2
    const affected = [...(reachesMajority(right) ? [] : left), ...(reachesMajority(left) ? [] : right)]
    const disturbances = affected.map((node) => ({ node, from: performance.now(), until: Infinity }))
    this.#disturbances.push(...disturbances)
    await this.#cut(left, right, durationMs)
    for (const disturbance of disturbances) disturbance.until = performance.now()
  }

  async #move(): Promise<void> {
    await this.#whenOperatorIsFree(async () => {
      await this.#mover.move(this.#cluster.controls)
    })
  }

  /**
   * Lets moves and races take turns: a move would make both changes of a race conflict with it. Each race is followed by a
   * move, as races can occupy all turns.
   */
  async #whenOperatorIsFree(act: () => Promise<void>): Promise<void> {
    const before = this.#operating
    this.#operatorQueue += 1
    this.#operating = before.then(act).finally(() => (this.#operatorQueue -= 1))
    await this.#operating
  }

  /** SIGHUP ends a process that is still starting. */
  async #reload(node: ClusterNode): Promise<void> {
    if ((await node.health()).status === 200) node.runningProcess.signal('SIGHUP')
  }

  async #pauseServer(name: string, durationMs: number): Promise<void> {
    if (this.#pausedServers.has(name)) return
    this.#pausedServers.add(name)
    const process = this.#servers.find((server) => server.process.name === name)?.process
    process?.signal('SIGSTOP')
    await sleep(durationMs)
    process?.signal('SIGCONT')
    this.#pausedServers.delete(name)
  }

  async #changeServer(name: string, behaviour: Partial<Behaviour>, durationMs: number): Promise<void> {
    const server = this.#servers.find(({ process }) => process.name === name)
    if (server === undefined || this.#changedServers.has(name)) return
    this.#changedServers.add(name)
    await server.change({ behaviour })
    await sleep(durationMs)
    await server.change({ behaviour: STEADY })
    this.#changedServers.delete(name)
  }

  /** Injects a fault into a node unless another fault still affects it. */
  async #withUnaffectedNode(
    name: string,
    inject: (node: ClusterNode) => Promise<void>,
    disturbs = true,
  ): Promise<void> {
    if (this.#faultyNodes.has(name)) return
    this.#faultyNodes.add(name)
    const disturbance = { node: name, from: performance.now(), until: Infinity }
    if (disturbs) this.#disturbances.push(disturbance)
    await inject(this.#cluster.node(name))
    disturbance.until = performance.now()
    this.#faultyNodes.delete(name)
  }

  async #kill(node: ClusterNode, downMs: number): Promise<void> {
    await node.kill()
    await sleep(downMs)
    await node.start()
  }

  async #killAllControl(downMs: number): Promise<void> {
    await Promise.all(
      this.#cluster.controls.map(({ name }) => this.#withUnaffectedNode(name, (node) => this.#kill(node, downMs))),
    )
  }

  async #stopAndRestart(node: ClusterNode): Promise<void> {
    const { runningProcess } = node
    const { stdout, stderr } = runningProcess
    const stop = { entry: node.name, from: this.#elapsedMs(), until: Infinity, overlapsOtherFault: false, log: '' }
    this.#plannedStops.push(stop)
    runningProcess.signal('SIGTERM')
    await runningProcess.waitForExit()
    stop.until = this.#elapsedMs()
    stop.log = runningProcess.stdout.slice(stdout.length) + runningProcess.stderr.slice(stderr.length)
    await node.start()
  }

  /** Submits two different documents with the newest revision as their base; at most one may be accepted. */
  async #submitConflictingChanges(): Promise<void> {
    const baseRevision = await this.#readRevision(this.#cluster.controls)
    if (baseRevision === undefined) return
    this.#conflictCount += 1
    const titles = [`${this.#conflictCount}a`, `${this.#conflictCount}b`]
    await Promise.all(titles.map((title) => this.#submit(title, baseRevision)))
  }

  async #submit(title: string, base: number): Promise<void> {
    const file = `${title}.ini`
    const { service, moves } = this.#mover
    await writeFile(join(this.#cluster.harness.folder, file), movingDocument(title, service))
    const target = ['--environment', 'production', '--base', String(base), '--json']
    const result = await this.#cluster.runCommand(['document', 'submit', file, ...target])
    if (result.status === RESULT_CODES.revisionConflict.number) return
    if (result.status !== 0) {
      moves.push({ base, service, acknowledgedAt: undefined })
      return
    }
    const { revision } = JSON.parse(result.stdout) as { revision: number }
    moves.push({ base: revision - 1, service, acknowledgedAt: performance.now() })
    this.#acceptedChanges += 1
  }

  async #readRevision(nodes: readonly ClusterNode[]): Promise<number | undefined> {
    const view = (await this.#cluster.readApi('/v1/environments/production', nodes)) as
      { revision?: number } | undefined
    return view?.revision
  }

  /** Records the revisions that each control node reports, separately for each process of a node. */
  async #pollRevisions(): Promise<void> {
    while (!this.#finished) {
      await Promise.all(this.#cluster.controls.map((node) => this.#recordRevision(node)))
      await sleep(POLL_INTERVAL_MS)
    }
  }

  async #recordRevision(node: ClusterNode): Promise<void> {
    const process = `${node.name} pid ${node.runningProcess.pid}`
    const sentAt = performance.now()
    const revision = await this.#readRevision([node])
    if (revision === undefined) return
    this.#reads.push({ node: node.name, revision, sentAt })
    const revisions = this.#reportedRevisions.get(process) ?? []
    revisions.push(revision)
    this.#reportedRevisions.set(process, revisions)
  }

  async #waitForRecovery(): Promise<number> {
    return this.#cluster.waitUntil(
      'all entries are healthy and all replicas agree on the revision',
      async () => {
        const healthy = await Promise.all(this.#cluster.entries.map((entry) => entry.health()))
        const replicas = await this.#replicaNodes()
        const revisions = await Promise.all(replicas.map((node) => this.#readRevision([node])))
        const agreed = revisions[0] !== undefined && revisions.every((revision) => revision === revisions[0])
        const isComplete = replicas.length === Math.min(REPLICA_COUNT, this.#cluster.controls.length)
        return healthy.every(({ status }) => status === 200) && isComplete && agreed ? revisions[0] : undefined
      },
      RECOVERY_TIMEOUT_MS,
    )
  }

  /** Control nodes that hold a replica; one that is a spare returns no documents. */
  async #replicaNodes(): Promise<readonly ClusterNode[]> {
    const names = (await this.#cluster.status())?.replicas.map(({ node }) => node) ?? []
    return this.#cluster.controls.filter(({ name }) => names.includes(name))
  }
}

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}
