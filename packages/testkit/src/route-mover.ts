/**
 * Operator that moves one route from service to service, and callers of that route. Which service ran a request is read
 * from the records of the servers, so it is known also for requests whose response was lost.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Cluster, ClusterNode, FakeServerProcess } from './cluster'
import { sendCall } from './load'
import type { RouteMove, RouteRun } from './route-runs'
import { APPOINTMENT_HOST, workloadDocument } from './workloads'

const PATH = '/moving'
const CALL_INTERVAL_MS = 25
const RETRY_DELAY_MS = 20
/** Number of services that the route is moved to in turn, more than there are moves within a few seconds. */
const SERVICE_COUNT = 8

const SERVICES = Array.from({ length: SERVICE_COUNT }, (_, index) => `moving-${index + 1}`)

/** Document of the workloads with the route that moves. */
export function movingDocument(title = 'moving', service = SERVICES[0] ?? ''): string {
  const services = SERVICES.map((name) => `[service.${name}]\n`)
  const route = [`service = ${service}`, `host = ${APPOINTMENT_HOST}`, `path = ${PATH}`, 'methods = GET', '']
  return [workloadDocument(title), ...services, '[route.moving]', ...route].join('\n')
}

type SentCall = { -readonly [Key in Exclude<keyof RouteRun, 'service'>]: RouteRun[Key] }
type Move = { -readonly [Key in keyof RouteMove]: RouteMove[Key] }

export class RouteMover {
  /** All changes that may be in force; the first is that of the document in force at the start. */
  readonly moves: RouteMove[]
  readonly #cluster: Cluster
  readonly #servers: readonly FakeServerProcess[]
  readonly #calls: SentCall[] = []
  readonly #stopped = new AbortController()
  /** Connections of its own, so that other callers of a test keep the ones that they had without a mover. */
  readonly #agent = new Agent()
  #position = 0
  #base = 1

  private constructor(cluster: Cluster, servers: readonly FakeServerProcess[]) {
    this.#cluster = cluster
    this.#servers = servers
    this.moves = [{ base: 0, service: this.service, acknowledgedAt: performance.now() }]
  }

  /** Starts the servers. The first document of the cluster, with `movingDocument`, must be in force. */
  static async start(cluster: Cluster, otherServers = 0): Promise<RouteMover> {
    const servers = SERVICES.map((service) => cluster.startFakeServer({ service, server: service }))
    const mover = new RouteMover(cluster, await Promise.all(servers))
    cluster.harness.onEnd(() => mover.#agent.destroy())
    await cluster.waitUntilServersKnown(SERVICES.length + otherServers)
    return mover
  }

  /** Service that the last move names. */
  get service(): string {
    return SERVICES[this.#position % SERVICES.length] ?? ''
  }

  /** Sends calls on the route to every entry until `stop`. */
  startCalling(): void {
    for (const entry of this.#cluster.entries) void this.#callPeriodically(entry)
  }

  /** Ends the calls, and a move that is not acknowledged. */
  stop(): void {
    this.#stopped.abort()
  }

  /**
   * Moves the route to the next service. Without a response the same change is sent to the next node, until one
   * acknowledges it. Returns the time of the acknowledgement, undefined if it was stopped before.
   */
  async move(nodes: readonly ClusterNode[]): Promise<number | undefined> {
    this.#position += 1
    for (;;) {
      const move: Move = { base: this.#base, service: this.service, acknowledgedAt: undefined }
      this.moves.push(move)
      const currentRevision = await this.#submit(move, nodes)
      if (currentRevision === undefined) return move.acknowledgedAt
      // Another operator was first.
      this.moves.splice(this.moves.indexOf(move), 1)
      this.#base = currentRevision
    }
  }

  /** Requests that the services of the route ran. */
  async readRuns(): Promise<readonly RouteRun[]> {
    const records = await Promise.all(this.#servers.map((server) => server.record()))
    return this.#calls.flatMap((call) =>
      SERVICES.filter((_, index) => records[index]?.byRequest[call.requestId] !== undefined).map((service) => ({
        ...call,
        service,
      })),
    )
  }

  /** Sends the change until it is acknowledged; returns the current revision if it was refused. */
  async #submit(move: Move, nodes: readonly ClusterNode[]): Promise<number | undefined> {
    const { base, service } = move
    const document = movingDocument('moving', service)
    const change = { kind: 'submit', changeId: randomUUID(), environment: 'production', baseRevision: base, document }
    for (let attempt = 0; !this.#stopped.signal.aborted; attempt += 1) {
      const node = nodes[attempt % nodes.length]
      const response = node === undefined ? undefined : await this.#cluster.postChange(node, change)
      if (response?.status === 200) {
        move.acknowledgedAt = performance.now()
        this.#base = base + 1
        return undefined
      }
      if (response?.currentRevision !== undefined) return response.currentRevision
      await sleep(RETRY_DELAY_MS)
    }
    return undefined
  }

  async #callPeriodically(entry: ClusterNode): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      void this.#call(entry)
      await sleep(CALL_INTERVAL_MS)
    }
  }

  async #call(entry: ClusterNode): Promise<void> {
    const { name, addresses, runningProcess } = entry
    const process = `${name} pid ${runningProcess.pid}`
    const call = { requestId: randomUUID(), entry: name, process, sentAt: performance.now(), endedAt: Infinity }
    this.#calls.push(call)
    const request = { method: 'GET', host: APPOINTMENT_HOST, path: PATH, requestId: call.requestId } as const
    const { status } = await sendCall(addresses.callers, request, this.#agent)
    if (status > 0) call.endedAt = performance.now()
  }
}
