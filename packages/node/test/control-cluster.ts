/** Test cluster of control nodes in one process over loopback RPC. The test fills the directory instead of gossip. */
import { createHash } from 'node:crypto'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { ConnectRouter } from '@connectrpc/connect'
import {
  environmentName,
  failureDomain,
  nodeId,
  seededRandom,
  type Environment,
  type Failure,
  type NodeId,
} from '@bilberrystall/base'
import type { Node, Server } from '@bilberrystall/membership'
import { RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { ControlRole, DocumentStore, type ControlRoleOptions } from '../src/index'
import type { OperatorOptions } from '../src/control-operator'
import { controlRoutes } from '../src/control-role'
import { listen, type Listener } from '../src/listener'

export const NODE_KEY = 'node key of the test'
const OPERATOR_KEY = 'operator key of the test'
const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined }

export const TRIAL_ENVIRONMENT = environmentName('trial')

export interface Member {
  readonly name: string
  readonly folder: string
  readonly control: ControlRole
  readonly documentStore: DocumentStore
  readonly rpc: RpcServer
  readonly clients: RpcClients
  readonly traffic: TrafficCounter
  readonly api: Listener
}

type MemberOptions = Partial<ControlRoleOptions> & {
  readonly bootstrap?: boolean
  readonly folder?: string
  readonly minVoters?: number
  readonly quarantine?: OperatorOptions['quarantine']
}

function createFolder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'bilberrystall-control-'))
}

export class TestCluster {
  readonly members = new Map<string, Member>()
  readonly nodes = new Map<NodeId, Node>()
  readonly servers = new Map<string, Server>()
  readonly fatal: Failure[] = []
  readonly #folders: string[] = []

  async start(name: string, options: MemberOptions = {}): Promise<Member> {
    const { bootstrap = false, minVoters = 1, folder = await createFolder(), ...others } = options
    const { quarantine = { quarantined: [], release: () => false }, ...rest } = others
    this.#folders.push(folder)
    const traffic = new TrafficCounter()
    const clients = new RpcClients({ nodeKey: NODE_KEY, traffic })
    const documentStore = new DocumentStore()
    const digest = createHash('sha256').update(OPERATOR_KEY).digest('hex')
    const operatorKeys = new Map([['asha', digest]])
    const policy = { bootstrap, replicas: 3, minVoters, lostAfterMs: 60_000 }
    const opened = await ControlRole.open({
      node: nodeId(name),
      settings: { listen: '127.0.0.1:0', dataFolder: folder, operatorKeys, ...policy },
      clients,
      cluster: { nodes: this.nodes, servers: this.servers },
      documentStore,
      log: silentLog,
      random: seededRandom(name.charCodeAt(0)),
      incarnations: () => [0],
      onFatal: (cause) => this.fatal.push(cause),
      onDrain: () => undefined,
      leaderTasksIntervalMs: 50,
      ...rest,
    })
    const control = opened._unsafeUnwrap()
    const routes = (router: ConnectRouter) => {
      const now = () => performance.now()
      controlRoutes(router, { documentStore, now, clients, control: () => control, entry: () => undefined })
    }
    const rpc = await RpcServer.listen({ host: '127.0.0.1', port: 0, nodeKey: NODE_KEY, traffic, routes })
    const api = await listen(control.operatorApp(quarantine), '127.0.0.1:0')
    const listening = { rpc: rpc._unsafeUnwrap(), api: api._unsafeUnwrap() }
    const member = { name, folder, control, documentStore, clients, traffic, ...listening }
    this.members.set(name, member)
    this.announce(member)
    control.start()
    return member
  }

  /** Adds the member to the directory with its current documents. */
  announce({ name, rpc, control, documentStore }: Member): void {
    const node: Node = {
      node: nodeId(name),
      roles: ['control'],
      address: `127.0.0.1:${rpc.port}`,
      failureDomain: failureDomain(name),
      region: 'default',
      environment: '' as Environment,
      state: 'serving',
      disk: control.disk,
      documents: documentStore.versions(),
      ejected: [],
    }
    this.nodes.set(node.node, node)
  }

  /** Stops a member without a graceful shutdown. */
  async kill(member: Member): Promise<void> {
    this.members.delete(member.name)
    this.nodes.delete(nodeId(member.name))
    await member.rpc.close()
    member.clients.close()
    await member.control.stop()
    await member.api.close()
  }

  async close(): Promise<void> {
    for (const member of [...this.members.values()]) await this.kill(member)
    for (const folder of this.#folders) await rm(folder, { recursive: true, force: true })
  }

  leader(): Member | undefined {
    return [...this.members.values()].find((member) => member.control.host.status().role === 'leader')
  }

  /** Waits until self-repair has promoted all members to voters, and returns the leader. */
  async waitForVoters(): Promise<Member> {
    return waitUntil(() => {
      const leader = this.leader()
      const voters = leader?.control.host.status().replicas.filter(({ role }) => role === 'voter')
      return voters?.length === this.members.size ? leader : undefined
    })
  }
}

/** Polls until `read` returns a value; bounded only by the timeout of the test. */
export async function waitUntil<Value>(read: () => Value | undefined): Promise<Value> {
  for (;;) {
    const value = read()
    if (value !== undefined) return value
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
}

const isRaw = (body: unknown): body is string | Uint8Array<ArrayBuffer> =>
  typeof body === 'string' || body instanceof Uint8Array

export async function call(member: Member, path: string, body?: unknown, key = OPERATOR_KEY) {
  const response = await fetch(`http://127.0.0.1:${member.api.port}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: isRaw(body) ? body : JSON.stringify(body) }),
  })
  return { status: response.status, body: (await response.json()) as Record<string, unknown> }
}

export const submitBody = (changeId: string, baseRevision: number, title = changeId) => ({
  kind: 'submit',
  changeId,
  environment: TRIAL_ENVIRONMENT,
  baseRevision,
  document: `[document]\ntitle = ${title}\n[service.booking]\n[route.book]\nservice = booking\npath = /\nkey = required\n`,
})
