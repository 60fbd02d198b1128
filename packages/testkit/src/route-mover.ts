/**
 * Operator that moves one route from service to service, and callers of that route. Which service ran a request is read
 * from the records of the servers, so it is known also for requests whose response was lost.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Cluster, ClusterNode, FakeServerProcess } from './cluster'
import { sendCall } from './load'
import type { RouteMove, RouteRun } from './superseded-runs'
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

type SentCall = Omit<RouteRun, 'service'>

export class RouteMover {
  /** Moves in the order of their responses; the first is that of the document in force at the start. */
  readonly moves: RouteMove[]
  readonly #cluster: Cluster
  readonly #servers: readonly FakeServerProcess[]
  readonly #calls: SentCall[] = []
  readonly #stopCalling = new AbortController()
  #position = 0
  #base = 1

  private constructor(cluster: Cluster, servers: readonly FakeServerProcess[]) {
    this.#cluster = cluster
    this.#servers = servers
    this.moves = [{ base: 0, service: SERVICES[0] ?? '', acknowledgedAt: performance.now() }]
  }

  /** Starts the servers. The first document of the cluster, with `movingDocument`, must be in force. */
  static async start(cluster: Cluster, otherServers = 0): Promise<RouteMover> {
    const servers = SERVICES.map((service) => cluster.startFakeServer({ service, server: service }))
    const mover = new RouteMover(cluster, await Promise.all(servers))
    await cluster.waitUntilServersKnown(SERVICES.length + otherServers)
    return mover
  }

  /** Sends calls on the route to every entry until `stopCalling`. */
  startCalling(): void {
    for (const entry of this.#cluster.entries) void this.#callPeriodically(entry)
  }

  stopCalling(): void {
    this.#stopCalling.abort()
  }

  /**
   * Moves the route to the next service. Without a response the same change is sent to the next node, until one
   * acknowledges it. Returns the time of the acknowledgement.
   */
  async move(nodes: readonly ClusterNode[]): Promise<number> {
    this.#position += 1
    const service = SERVICES[this.#position % SERVICES.length] ?? ''
    const document = movingDocument('moving', service)
    let changeId: string = randomUUID()
    for (let attempt = 0; ; attempt += 1) {
      const node = nodes[attempt % nodes.length]
      if (node === undefined) throw new Error('a move needs a control node')
      const change = { kind: 'submit', changeId, environment: 'production', baseRevision: this.#base, document }
      const response = await this.#cluster.postChange(node, change)
      if (response?.status === 200) {
        const acknowledgedAt = performance.now()
        this.moves.push({ base: this.#base, service, acknowledgedAt })
        this.#base += 1
        return acknowledgedAt
      }
      if (response?.currentRevision === undefined) {
        await sleep(RETRY_DELAY_MS)
        continue
      }
      // Another operator was first.
      this.#base = response.currentRevision
      changeId = randomUUID()
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

  async #callPeriodically(entry: ClusterNode): Promise<void> {
    while (!this.#stopCalling.signal.aborted) {
      const requestId = randomUUID()
      this.#calls.push({ requestId, entry: entry.name, sentAt: performance.now() })
      void sendCall(entry.addresses.callers, { method: 'GET', host: APPOINTMENT_HOST, path: PATH, requestId })
      await sleep(CALL_INTERVAL_MS)
    }
  }
}
