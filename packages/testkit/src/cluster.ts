/**
 * Cluster of real processes for session tests: nodes with settings, keys and data folders in the folder of the harness,
 * a fault proxy in front of each node, fake servers, and the operator's command line.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { exampleSettings, generateKeys, formatOperatorKeys, type ExampleKeys } from '@bilberrystall/cli/example'
import { request } from 'undici'
import type { ExecutionRecordSnapshot } from './execution-record'
import type { Transcript } from './transcript'
import { Network } from './network'
import { freePort } from './ports'
import { eventually, type Harness, type RunningProcess } from './processes'
import { bilberrystallCommand, fakeServerCommand, preloadEnvironment } from './programs'
import type { FakeServerChange, FakeServerOptions } from './fake-server'

/**
 * How far the time of a test key is ahead of the clock. Holders abstain for keys created up to 31 s after their start,
 * and a key may be at most 30 s ahead of the entry's clock, so keys from the future shorten the wait of a test.
 */
export const KEY_AHEAD_MS = 29_000
/** Remaining abstention time for keys that are `KEY_AHEAD_MS` ahead, with a margin. */
const REMAINING_ABSTENTION_MS = 2500
const MAX_REPORTED_LINES = 10
const API_TIMEOUT_MS = 1000
/** Time for a server that broke a connection by its end to end with its output. */
const SERVER_EXIT_MS = 500
/** Time within which a change is acknowledged; operators try another node after it. */
const CHANGE_TIMEOUT_MS = 4000

export interface NodeOptions {
  readonly name: string
  readonly roles: 'entry' | 'control' | 'entry, control'
  readonly environment?: string
  readonly failureDomain?: string
  /** Bootstraps a new cluster if the data folder of the node is empty. */
  readonly bootstrap?: boolean
  /** Time after which a replica without contact is replaced. */
  readonly lostAfter?: string
  readonly balancerGrace?: string
  /** Time after the balancer grace at which a planned stop ends the calls in flight. */
  readonly stopLimit?: string
}

/** Subset of the status of control that tests read. */
export interface ControlStatus {
  readonly leader: string | null
  readonly logEntries: number
  readonly replicas: readonly { readonly node: string; readonly replica: string; readonly role: string }[]
  readonly roster: readonly { readonly entries: number; readonly standing: string }[]
}

export interface ProcessResult {
  readonly status: number | NodeJS.Signals
  readonly stdout: string
  readonly stderr: string
}

/** Addresses of one node. `address` belongs to its fault proxy and is the one that other nodes use. */
export interface Addresses {
  readonly callers: string
  readonly operators: string
  readonly status: string
  readonly address: string
  readonly rpcListen: string
}

/** Target of operator commands: a control node or a proxy in front of one. */
export interface OperatorEndpoint {
  readonly addresses: Pick<Addresses, 'operators'>
}

export class ClusterNode {
  readonly options: NodeOptions
  readonly addresses: Addresses
  readonly #startProcess: (node: ClusterNode) => Promise<RunningProcess>
  process: RunningProcess | undefined
  /** Command of the program that `start` runs; undefined for the one under test. */
  command: readonly string[] | undefined
  /** Difference of the wall clock of the process that `start` runs from that of the machine. */
  clockOffsetMs = 0

  constructor(options: NodeOptions, addresses: Addresses, start: (node: ClusterNode) => Promise<RunningProcess>) {
    this.options = options
    this.addresses = addresses
    this.#startProcess = start
  }

  get name(): string {
    return this.options.name
  }

  get runningProcess(): RunningProcess {
    if (this.process === undefined) throw new Error(`${this.name} has not been started`)
    return this.process
  }

  /** Starts or restarts the process with the same settings and data folder. */
  async start(): Promise<RunningProcess> {
    this.process = await this.#startProcess(this)
    return this.process
  }

  async kill(): Promise<void> {
    this.runningProcess.signal('SIGKILL')
    await this.runningProcess.waitForExit()
  }

  async health(): Promise<{ status: number; state: string }> {
    try {
      const response = await request(`http://${this.addresses.status}/health`, { signal: AbortSignal.timeout(1000) })
      const { state } = (await response.body.json()) as { state: string }
      return { status: response.statusCode, state }
    } catch {
      return { status: 0, state: 'unreachable' }
    }
  }

  /** Returns the value of a metric without labels, or undefined if the node does not respond or lacks the metric. */
  async metric(name: string): Promise<number | undefined> {
    try {
      const response = await request(`http://${this.addresses.status}/metrics`)
      const value = new RegExp(`^${name} (.*)$`, 'm').exec(await response.body.text())?.[1]
      return value === undefined ? undefined : Number(value)
    } catch {
      return undefined
    }
  }

  async waitUntilHealthy(timeoutMs?: number): Promise<void> {
    await this.runningProcess.waitWhileRunning(
      'the node is healthy',
      async () => (await this.health()).status === 200,
      timeoutMs,
    )
  }
}

interface ServerChanged {
  readonly acceptedBy: string | null
}

/** Fake server in its own process. */
export class FakeServerProcess {
  readonly address: string
  readonly #controlAddress: string
  readonly process: RunningProcess

  constructor(process: RunningProcess, address: string, control: string) {
    this.process = process
    this.address = address
    this.#controlAddress = control
  }

  async record(): Promise<ExecutionRecordSnapshot> {
    return (await this.#request()) as ExecutionRecordSnapshot
  }

  /** Applies a change. Returns the entry that accepted the announcement of a new state, or null. */
  async change(change: FakeServerChange): Promise<string | null> {
    return ((await this.#request({ method: 'POST', body: JSON.stringify(change) })) as ServerChanged).acceptedBy
  }

  /** An error tells whether the server has ended, with its whole output. */
  async #request(options: { readonly method?: 'POST'; readonly body?: string } = {}): Promise<unknown> {
    try {
      const response = await request(`http://${this.#controlAddress}/`, options)
      return await response.body.json()
    } catch (cause) {
      const { process } = this
      const state = await process.waitForExit(SERVER_EXIT_MS).then(
        (status) => `ended with ${status}`,
        () => 'running',
      )
      throw new Error(`${process.name}, ${state}: ${String(cause)}\n${process.output}`, { cause })
    }
  }
}

export class Cluster {
  readonly harness: Harness
  readonly network = new Network()
  readonly nodes: ClusterNode[] = []
  readonly #keys: ExampleKeys
  readonly #command: readonly string[]

  private constructor(harness: Harness, keys: ExampleKeys, command: readonly string[]) {
    this.harness = harness
    this.#keys = keys
    this.#command = command
    harness.onEnd(() => this.network.stop())
  }

  static async create(harness: Harness): Promise<Cluster> {
    const keys = generateKeys()
    const secondOperatorKey = generateKeys().operator
    const files = {
      'node.key': keys.node,
      'server.key': keys.server,
      'operator.key': keys.operator,
      'second.key': secondOperatorKey,
      'operator.keys': formatOperatorKeys({ asha: keys.operator, marek: secondOperatorKey }),
    }
    for (const [name, text] of Object.entries(files)) await writeFile(join(harness.folder, name), text)
    return new Cluster(harness, keys, await bilberrystallCommand())
  }

  /** Adds nodes without starting them. Every node gets all other nodes as its seeds. */
  async add(...added: NodeOptions[]): Promise<ClusterNode[]> {
    const created: ClusterNode[] = []
    for (const options of added) created.push(await this.#createNode(options))
    this.nodes.push(...created)
    return created
  }

  node(name: string): ClusterNode {
    const node = this.nodes.find((candidate) => candidate.name === name)
    if (node === undefined) throw new Error(`node ${name} is not part of the cluster`)
    return node
  }

  get entries(): ClusterNode[] {
    return this.nodes.filter((node) => node.options.roles.includes('entry'))
  }

  get controls(): ClusterNode[] {
    return this.nodes.filter((node) => node.options.roles.includes('control'))
  }

  async startAll(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.start()))
  }

  async startFakeServer(options: FakeServerOptions): Promise<FakeServerProcess> {
    const { environment = 'production' } = options
    const entriesOfEnvironment = this.entries.filter((node) => (node.options.environment ?? 'trial') === environment)
    const entries = options.entries ?? entriesOfEnvironment.map((node) => node.addresses.status)
    const serverOptions: FakeServerOptions = { serverKey: this.#keys.server, ...options, entries }
    const command = [...(await fakeServerCommand()), JSON.stringify(serverOptions)]
    const process = this.harness.start({ name: options.server, command })
    const [, address = '', control = ''] = await process.waitForLine(/"address":"([^"]+)","control":"([^"]+)"/)
    return new FakeServerProcess(process, address, control)
  }

  /** Starts a fake server behind a proxy of the network, which can cut it off from single nodes. */
  async startProxiedServer(options: FakeServerOptions): Promise<FakeServerProcess> {
    const proxy = await this.network.addServer()
    const server = await this.startFakeServer({ ...options, announcedAddress: proxy.address })
    proxy.target = server.address
    return server
  }

  /** Runs a command of the product against the control nodes. `transcript` records it with its output. */
  async runCommand(
    args: readonly string[],
    options: { transcript?: Transcript; nodes?: readonly OperatorEndpoint[]; key?: string } = {},
  ): Promise<ProcessResult> {
    const nodes = (options.nodes ?? this.controls).map((node) => node.addresses.operators).join(',')
    const env = { BILBERRYSTALL_NODE: nodes, BILBERRYSTALL_KEY_FILE: options.key ?? 'operator.key', NO_COLOR: '1' }
    const process = { name: args.join(' '), command: [...this.#command, ...args], cwd: this.harness.folder, env }
    const result = await this.harness.run(process)
    options.transcript?.addCommand(args, result)
    return result
  }

  /** Runs a command with `--json` and returns its parsed output; throws if the command fails. */
  async runJsonCommand(...args: string[]): Promise<unknown> {
    const result = await this.runCommand([...args, '--json'])
    if (result.status !== 0) throw new Error(`${args.join(' ')}: ${result.stdout}${result.stderr}`)
    return JSON.parse(result.stdout)
  }

  /** Posts a change to one node; undefined if there is no response. `currentRevision` is set if control refused it. */
  async postChange(
    node: OperatorEndpoint,
    change: object,
  ): Promise<{ readonly status: number; readonly currentRevision: number | undefined } | undefined> {
    try {
      const response = await request(`http://${node.addresses.operators}/v1/changes`, {
        method: 'POST',
        headers: { authorization: `Bearer ${this.#keys.operator}`, 'content-type': 'application/json' },
        body: JSON.stringify(change),
        signal: AbortSignal.timeout(CHANGE_TIMEOUT_MS),
      })
      const body = (await response.body.json()) as { currentRevision?: number }
      return { status: response.statusCode, currentRevision: body.currentRevision }
    } catch {
      return undefined
    }
  }

  /** Reads a path of the operator API from the first of the nodes that responds with 200; undefined if none does. */
  async readApi(path: string, nodes: readonly OperatorEndpoint[] = this.controls): Promise<unknown> {
    for (const node of nodes) {
      const body = await this.#fetchApi(node.addresses.operators, path)
      if (body !== undefined) return body
    }
    return undefined
  }

  /** Returns the status of control as reported by the first node that responds. */
  async status(nodes?: readonly OperatorEndpoint[]): Promise<ControlStatus | undefined> {
    return (await this.readApi('/v1/status', nodes)) as ControlStatus | undefined
  }

  /** Waits until the first control node that responds reports a leader, and returns the leader. */
  async waitForLeader(): Promise<ClusterNode> {
    return this.waitUntil('a leader is elected', async () => {
      const leader = (await this.status())?.leader
      return this.controls.find((node) => node.name === leader)
    })
  }

  /** Submits a document and waits until it is in force everywhere. */
  async putInForce(environment: string, document: string): Promise<void> {
    const file = join(this.harness.folder, `${environment}.ini`)
    await writeFile(file, document)
    await this.runJsonCommand('document', 'submit', file, '--environment', environment)
    await this.waitUntil('the document is in force everywhere', async () => {
      const view = (await this.readApi(`/v1/environments/${environment}`)) as { inForceEverywhere: boolean } | undefined
      return view?.inForceEverywhere
    })
  }

  /** Waits until control lists every node. Fails immediately if a node exits that the test did not signal. */
  async waitUntilAllJoined(): Promise<void> {
    await this.waitUntil('all nodes have joined', async () => {
      this.#failIfNodeExited()
      const view = (await this.readApi('/v1/nodes')) as { nodes: unknown[] } | undefined
      return view?.nodes.length === this.nodes.length
    })
  }

  /** Waits until every entry of the environment knows exactly `count` servers. */
  async waitUntilServersKnown(count: number, environment = 'production'): Promise<void> {
    const entriesOfEnvironment = this.entries.filter((node) => node.options.environment === environment)
    await this.waitUntil(`all entries know ${count} servers`, async () => {
      const counts = await Promise.all(entriesOfEnvironment.map((node) => node.metric('bilberrystall_servers')))
      return counts.every((serverCount) => serverCount === count)
    })
  }

  /** Like `eventually`, but the error also contains the output of every node. */
  async waitUntil<T>(
    description: string,
    check: () => T | undefined | false | Promise<T | undefined | false>,
    timeoutMs?: number,
  ): Promise<T> {
    try {
      return await eventually(description, check, timeoutMs)
    } catch (cause) {
      const outputs = this.nodes.map((node) => `--- ${node.name}\n${node.process?.output ?? 'not started'}`)
      throw new Error([String(cause), ...outputs].join('\n'), { cause })
    }
  }

  /** Waits until the roster contains every entry and the holders vote on keys that are `KEY_AHEAD_MS` ahead. */
  async waitUntilKeysReady(entries: number): Promise<void> {
    await this.waitUntil(`the roster contains ${entries} entries`, async () => {
      const newest = (await this.status())?.roster.at(-1)
      return newest?.standing === 'sealed' && newest.entries === entries
    })
    await sleep(REMAINING_ABSTENTION_MS)
  }

  #failIfNodeExited(): void {
    for (const { name, process } of this.nodes) {
      if (process?.exitedUnsignalled !== true) continue
      const lines = process.output.trimEnd().split('\n').slice(-MAX_REPORTED_LINES)
      throw new Error([`${name} ended during start:`, ...lines].join('\n'))
    }
  }

  async #fetchApi(address: string, path: string): Promise<unknown> {
    try {
      const response = await request(`http://${address}${path}`, {
        headers: { authorization: `Bearer ${this.#keys.operator}` },
        signal: AbortSignal.timeout(API_TIMEOUT_MS),
      })
      const body: unknown = await response.body.json()
      return response.statusCode === 200 ? body : undefined
    } catch {
      return undefined
    }
  }

  async #createNode(options: NodeOptions): Promise<ClusterNode> {
    const port = async (): Promise<string> => `127.0.0.1:${await freePort()}`
    const rpcListen = await port()
    const proxyPort = await freePort()
    const address = `127.0.0.1:${proxyPort}`
    const addresses = {
      callers: await port(),
      relayListen: await port(),
      operators: await port(),
      status: await port(),
      address,
      rpcListen,
    }
    await this.network.addNode(options.name, rpcListen, proxyPort)
    return new ClusterNode(options, addresses, (node) => this.#startProcess(node))
  }

  async #startProcess(node: ClusterNode): Promise<RunningProcess> {
    const { folder } = this.harness
    const file = join(folder, `${node.name}.ini`)
    const seeds = this.nodes.filter((other) => other !== node).map((other) => other.addresses.address)
    const bootstrap = node.options.bootstrap ?? false
    await mkdir(folder, { recursive: true })
    const settings = exampleSettings({
      balancerGrace: '200ms',
      ...node.options,
      ...node.addresses,
      node: node.name,
      seeds,
      bootstrap,
    })
    const { stopLimit } = node.options
    const isDefault = stopLimit === undefined
    await writeFile(file, isDefault ? settings : settings.replace(/^stop-limit = .*$/m, `stop-limit = ${stopLimit}`))
    return this.harness.start({
      name: node.name,
      command: [...(node.command ?? this.#command), 'run', file],
      cwd: folder,
      env: await preloadEnvironment({
        sourceAddress: this.network.sourceAddress(node.name),
        clockOffsetMs: node.clockOffsetMs,
      }),
    })
  }
}
