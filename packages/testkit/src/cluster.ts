/**
 * A cluster of real processes for session tests: nodes with settings, keys and data folders below the harness folder,
 * a fault proxy in front of each node, stand-in servers, and the operator's command line.
 */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { exampleSettings, newKeys, operatorKeyLines, type ExampleKeys } from '@bilberrystall/cli/example'
import { request } from 'undici'
import type { RecordView } from './execution-record'
import type { Session } from './golden'
import { Network } from './network'
import { freePort } from './ports'
import { eventually, type Harness, type RunningProcess } from './processes'
import { bilberrystallCommand, standInCommand } from './programs'
import type { StandInChange, StandInOptions } from './stand-in'

/** Holders abstain for keys made up to 31 s after their start; a key may be up to 30 s ahead of the entry's clock. */
export const KEY_AHEAD_MS = 29_000
/** What is left of the abstention for keys that far ahead, with margin. */
const ABSTAIN_LEFT_MS = 2500
const LAST_LINES = 10
const VIEW_LIMIT_MS = 1000

export interface NodeOptions {
  readonly name: string
  readonly roles: 'entry' | 'control' | 'entry, control'
  readonly environment?: string
  readonly failureDomain?: string
  /** Starts a new cluster when its data folder is empty. */
  readonly bootstrap?: boolean
  readonly balancerGrace?: string
}

/** What the tests read of the status of control. */
export interface ControlStatus {
  readonly leader: string | null
  readonly logEntries: number
  readonly replicas: readonly { readonly node: string; readonly role: string }[]
  readonly roster: readonly { readonly entries: number; readonly standing: string }[]
}

export interface CommandResult {
  readonly status: number | NodeJS.Signals
  readonly stdout: string
  readonly stderr: string
}

/** Addresses of one node. `address` is the proxy's, which the other nodes use. */
export interface Addresses {
  readonly callers: string
  readonly operators: string
  readonly status: string
  readonly address: string
  readonly rpcListen: string
}

/** What the command line reaches: a control node or a proxy in front of one. */
export interface Operated {
  readonly addresses: Pick<Addresses, 'operators'>
}

export class ClusterNode {
  readonly options: NodeOptions
  readonly addresses: Addresses
  readonly #start: (node: ClusterNode) => Promise<RunningProcess>
  process: RunningProcess | undefined

  constructor(options: NodeOptions, addresses: Addresses, start: (node: ClusterNode) => Promise<RunningProcess>) {
    this.options = options
    this.addresses = addresses
    this.#start = start
  }

  get name(): string {
    return this.options.name
  }

  get running(): RunningProcess {
    if (this.process === undefined) throw new Error(`${this.name} was not started`)
    return this.process
  }

  /** Starts or restarts the process with the same settings and data folder. */
  async start(): Promise<RunningProcess> {
    this.process = await this.#start(this)
    return this.process
  }

  async kill(): Promise<void> {
    this.running.signal('SIGKILL')
    await this.running.exit()
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

  /** Value of a metric without labels; undefined when the node does not answer. */
  async metric(name: string): Promise<number | undefined> {
    try {
      const response = await request(`http://${this.addresses.status}/metrics`)
      const value = new RegExp(`^${name} (.*)$`, 'm').exec(await response.body.text())?.[1]
      return value === undefined ? undefined : Number(value)
    } catch {
      return undefined
    }
  }

  async healthy(limitMs?: number): Promise<void> {
    await this.running.whileRunning('healthy', async () => (await this.health()).status === 200, limitMs)
  }
}

/** A stand-in server in its own process. */
export class StandInProcess {
  readonly address: string
  readonly #control: string
  readonly process: RunningProcess

  constructor(process: RunningProcess, address: string, control: string) {
    this.process = process
    this.address = address
    this.#control = control
  }

  async record(): Promise<RecordView> {
    const response = await request(`http://${this.#control}/`)
    return (await response.body.json()) as RecordView
  }

  /** Returns the announce listener that accepted a new state. */
  async change(change: StandInChange): Promise<string | null> {
    const response = await request(`http://${this.#control}/`, { method: 'POST', body: JSON.stringify(change) })
    return ((await response.body.json()) as { acceptedBy: string | null }).acceptedBy
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
    const keys = newKeys()
    const second = newKeys().operator
    const files = {
      'node.key': keys.node,
      'server.key': keys.server,
      'operator.key': keys.operator,
      'second.key': second,
      'operator.keys': operatorKeyLines({ asha: keys.operator, marek: second }),
    }
    for (const [name, text] of Object.entries(files)) await writeFile(join(harness.folder, name), text)
    return new Cluster(harness, keys, await bilberrystallCommand())
  }

  /** Adds nodes that know each other as seeds, without starting them. */
  async add(...added: NodeOptions[]): Promise<ClusterNode[]> {
    const made: ClusterNode[] = []
    for (const options of added) made.push(await this.#make(options))
    this.nodes.push(...made)
    return made
  }

  node(name: string): ClusterNode {
    const node = this.nodes.find((candidate) => candidate.name === name)
    if (node === undefined) throw new Error(`no node ${name}`)
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

  async standIn(options: StandInOptions): Promise<StandInProcess> {
    const { environment = 'production' } = options
    const serving = this.entries.filter((node) => (node.options.environment ?? 'trial') === environment)
    const entries = options.entries ?? serving.map((node) => node.addresses.status)
    const full: StandInOptions = { serverKey: this.#keys.server, ...options, entries }
    const command = [...(await standInCommand()), JSON.stringify(full)]
    const process = this.harness.start({ name: options.server, command })
    const [, address = '', control = ''] = await process.line(/"address":"([^"]+)","control":"([^"]+)"/)
    return new StandInProcess(process, address, control)
  }

  /** Runs an operator's command against the control nodes; `session` records it. */
  async operator(
    args: readonly string[],
    options: { session?: Session; nodes?: readonly Operated[]; key?: string } = {},
  ): Promise<CommandResult> {
    const nodes = (options.nodes ?? this.controls).map((node) => node.addresses.operators).join(',')
    const env = { BILBERRYSTALL_NODE: nodes, BILBERRYSTALL_KEY_FILE: options.key ?? 'operator.key', NO_COLOR: '1' }
    const process = { name: args.join(' '), command: [...this.#command, ...args], cwd: this.harness.folder, env }
    const result = await this.harness.run(process)
    options.session?.command(args, result)
    return result
  }

  /** Runs a command that must succeed and returns its JSON. */
  async operatorJson(...args: string[]): Promise<unknown> {
    const result = await this.operator([...args, '--json'])
    if (result.status !== 0) throw new Error(`${args.join(' ')}: ${result.stdout}${result.stderr}`)
    return JSON.parse(result.stdout)
  }

  /** Reads the operator API of one control node, or of the first that answers; undefined when none does. */
  async view(path: string, nodes: readonly Operated[] = this.controls): Promise<unknown> {
    for (const node of nodes) {
      const body = await this.#get(node.addresses.operators, path)
      if (body !== undefined) return body
    }
    return undefined
  }

  /** Status of control as one of the nodes states it. */
  async status(nodes?: readonly Operated[]): Promise<ControlStatus | undefined> {
    return (await this.view('/v1/status', nodes)) as ControlStatus | undefined
  }

  /** The replica that leads, as the first control node that answers states it. */
  async leader(): Promise<ClusterNode> {
    return this.until('a leader', async () => {
      const leader = (await this.status())?.leader
      return this.controls.find((node) => node.name === leader)
    })
  }

  /** Submits a document and waits until it is in force everywhere. */
  async putInForce(environment: string, document: string): Promise<void> {
    const file = join(this.harness.folder, `${environment}.ini`)
    await writeFile(file, document)
    await this.operatorJson('document', 'submit', file, '--environment', environment)
    await this.until('in force everywhere', async () => {
      const view = (await this.view(`/v1/environments/${environment}`)) as { inForceEverywhere: boolean } | undefined
      return view?.inForceEverywhere
    })
  }

  /** Waits until the control nodes see every node; fails at once when a node ends by itself. */
  async allJoined(): Promise<void> {
    await this.until('all nodes joined', async () => {
      this.#requireRunning()
      const view = (await this.view('/v1/nodes')) as { nodes: unknown[] } | undefined
      return view?.nodes.length === this.nodes.length
    })
  }

  /** Waits until every entry of the environment sees this number of servers. */
  async serversKnown(count: number, environment = 'production'): Promise<void> {
    const serving = this.entries.filter((node) => node.options.environment === environment)
    await this.until(`${count} servers known`, async () => {
      const counts = await Promise.all(serving.map((node) => node.metric('bilberrystall_servers')))
      return counts.every((known) => known === count)
    })
  }

  /** Waits like `eventually`; a failure shows the output of every node. */
  async until<T>(
    what: string,
    check: () => T | undefined | false | Promise<T | undefined | false>,
    limitMs?: number,
  ): Promise<T> {
    try {
      return await eventually(what, check, limitMs)
    } catch (cause) {
      const outputs = this.nodes.map((node) => `--- ${node.name}\n${node.process?.output ?? 'not started'}`)
      throw new Error([String(cause), ...outputs].join('\n'), { cause })
    }
  }

  /** Waits until the roster of key holders names every entry and the holders vote on keys that are `KEY_AHEAD_MS` ahead. */
  async keysReady(entries: number): Promise<void> {
    await this.until(`${entries} entries in the roster`, async () => {
      const newest = (await this.status())?.roster.at(-1)
      return newest?.standing === 'sealed' && newest.entries === entries
    })
    await sleep(ABSTAIN_LEFT_MS)
  }

  #requireRunning(): void {
    for (const { name, process } of this.nodes) {
      if (process?.endedByItself !== true) continue
      const lines = process.output.trimEnd().split('\n').slice(-LAST_LINES)
      throw new Error([`${name} ended during start:`, ...lines].join('\n'))
    }
  }

  async #get(address: string, path: string): Promise<unknown> {
    try {
      const response = await request(`http://${address}${path}`, {
        headers: { authorization: `Bearer ${this.#keys.operator}` },
        signal: AbortSignal.timeout(VIEW_LIMIT_MS),
      })
      const body: unknown = await response.body.json()
      return response.statusCode === 200 ? body : undefined
    } catch {
      return undefined
    }
  }

  async #make(options: NodeOptions): Promise<ClusterNode> {
    const port = async (): Promise<string> => `127.0.0.1:${await freePort()}`
    const rpcListen = await port()
    const proxyPort = await freePort()
    const address = `127.0.0.1:${proxyPort}`
    const addresses = { callers: await port(), operators: await port(), status: await port(), address, rpcListen }
    await this.network.join(options.name, rpcListen, proxyPort)
    return new ClusterNode(options, addresses, (node) => this.#start(node))
  }

  async #start(node: ClusterNode): Promise<RunningProcess> {
    const { folder } = this.harness
    const file = join(folder, `${node.name}.ini`)
    const seeds = this.nodes.filter((other) => other !== node).map((other) => other.addresses.address)
    const bootstrap = node.options.bootstrap ?? false
    await mkdir(folder, { recursive: true })
    await writeFile(
      file,
      exampleSettings({
        balancerGrace: '200ms',
        ...node.options,
        ...node.addresses,
        node: node.name,
        seeds,
        bootstrap,
      }),
    )
    const process = this.harness.start({ name: node.name, command: [...this.#command, 'run', file], cwd: folder })
    this.network.running(node.name, process.pid)
    return process
  }
}
