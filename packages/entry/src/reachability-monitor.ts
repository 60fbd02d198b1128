/**
 * Watches whether this entry reaches servers at all. When calls fail at several servers in a row, it probes others on new
 * connections; while none responds, it repeats that until one does.
 */
import { randomInt, type RandomSource, type ServerId } from '@bilberrystall/base'
import { Reachability } from '@bilberrystall/routing'
import { Connection, type Address } from './connection'
import type { Dialect } from './dialect'
import { Exchange } from './exchange'
import type { ResponseHead } from './head'

/** Servers probed in a round, so that one that has ended says nothing about the others. */
const PROBES_PER_ROUND = 3
const PROBE_TIMEOUT_MS = 300
const ROUND_INTERVAL_MS = 250

export interface ProbedServer {
  readonly id: ServerId
  readonly address: Address
  readonly path: string
}

export interface ReachabilityMonitorOptions {
  /** Servers that accept requests, of all services. */
  readonly servers: () => readonly ProbedServer[]
  readonly serverCount: () => number
  readonly random: RandomSource
  readonly now: () => number
  readonly dialect: Dialect
  /** Called with the response to a probe. */
  readonly onResponse: (server: ServerId, head: ResponseHead) => void
  /** Called when this entry loses all servers, and when one responds again. */
  readonly onChange: (isCutOff: boolean) => void
}

export class ReachabilityMonitor {
  readonly #options: ReachabilityMonitorOptions
  readonly #reachability = new Reachability()
  #isProbing = false
  #timer: NodeJS.Timeout | undefined
  #isStopped = false

  constructor(options: ReachabilityMonitorOptions) {
    this.#options = options
  }

  get isCutOff(): boolean {
    return this.#reachability.isCutOff
  }

  /** A server did not respond to a call or a load query. */
  failed(server: ServerId): void {
    const { serverCount, now } = this.#options
    this.#reachability.failed(server, serverCount(), now())
    if (this.#reachability.isSuspected && !this.#isProbing) void this.#probeRound()
  }

  /** A server responded on a connection that was opened at `openedAt`. */
  responded(openedAt: number): void {
    const wasCutOff = this.isCutOff
    this.#reachability.responded(openedAt)
    if (wasCutOff !== this.isCutOff) this.#options.onChange(this.isCutOff)
  }

  stop(): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
  }

  async #probeRound(): Promise<void> {
    this.#isProbing = true
    const responses = await Promise.all(this.#chooseServers().map((server) => this.#probe(server)))
    this.#isProbing = false
    // Calls may have got responses meanwhile, and servers may have left.
    const isOpen = this.#reachability.isSuspected || this.#reachability.isCutOff
    if (this.#isStopped || !isOpen || responses.length === 0) return
    const wasCutOff = this.isCutOff
    this.#reachability.probed(responses.includes(true))
    if (wasCutOff !== this.isCutOff) this.#options.onChange(this.isCutOff)
    if (this.isCutOff) this.#timer = setTimeout(() => void this.#probeRound(), ROUND_INTERVAL_MS)
  }

  /** Chooses servers at random, first among those at which no call has failed. */
  #chooseServers(): readonly ProbedServer[] {
    const { servers, random } = this.#options
    const others: ProbedServer[] = []
    const failed: ProbedServer[] = []
    for (const server of servers()) (this.#reachability.hasFailed(server.id) ? failed : others).push(server)
    const chosen: ProbedServer[] = []
    for (const candidates of [others, failed]) {
      while (chosen.length < PROBES_PER_ROUND && candidates.length > 0) {
        chosen.push(...candidates.splice(randomInt(random, candidates.length), 1))
      }
    }
    return chosen
  }

  /** Returns whether the server sends any response on a new connection. */
  async #probe({ id, address, path }: ProbedServer): Promise<boolean> {
    const { now, dialect, onResponse } = this.#options
    const opened = await Connection.open(address, PROBE_TIMEOUT_MS, now)
    if (opened.isErr()) return false
    const connection = opened.value
    return new Promise((resolve) => {
      const finish = (hasResponse: boolean) => {
        clearTimeout(timer)
        connection.destroy()
        resolve(hasResponse)
      }
      const timer = setTimeout(() => {
        finish(false)
      }, PROBE_TIMEOUT_MS)
      const exchange = new Exchange(
        connection,
        {
          head: (head) => {
            onResponse(id, head)
            finish(true)
          },
          data: () => true,
          ended: () => {
            finish(true)
          },
          failed: () => {
            finish(false)
          },
        },
        now,
        dialect,
      )
      exchange.start({ method: 'GET', target: dialect.probePath ?? path, fields: [], body: undefined })
    })
  }
}
