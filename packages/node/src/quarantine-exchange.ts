/**
 * Exchange of crash reports between nodes. Each node announces in its own record the ends of servers that it observed;
 * reports about quarantined requests are also kept by a few other nodes, so that a node that starts later learns of them
 * when the observers no longer run. If these nodes lack them, because they have restarted, each node that has them
 * announces them. A change is pushed to some peers at once, and these push it on.
 */
import { rendezvousChoice, type NodeId, type RequestId } from '@bilberrystall/base'
import type { LostCall, RequestGate } from '@bilberrystall/entry'
import type { Node } from '@bilberrystall/membership'
import { processId, RequestQuarantine, type Clearance, type QuarantinedRequest } from '@bilberrystall/quarantine'
import type { Log } from './log'
import type { NodeContext } from './node-context'

/** Changes within this time are announced together. */
const PUSH_DELAY_MS = 10
const EXPIRY_INTERVAL_MS = 1_000
/** Number of nodes that keep the reports about a quarantined request. */
const KEEPERS = 3

export interface QuarantineExchangeOptions {
  readonly self: NodeId
  readonly nodes: () => Iterable<Node>
  /** Unix milliseconds. */
  readonly wallClock: () => number
  readonly log: Log
  readonly announce: (part: Pick<Node, 'crashReports' | 'clearances'>) => void
  readonly pushToPeers: () => Promise<void>
}

export class QuarantineExchange {
  readonly #options: QuarantineExchangeOptions
  readonly #quarantine = new RequestQuarantine()
  /** Quarantined requests that were logged. */
  readonly #known = new Set<RequestId>()
  /** Quarantined requests at the last expiry. */
  #knownBefore: ReadonlySet<RequestId> = new Set()
  /** Quarantined requests that not all of their keepers announce. */
  #unkept: ReadonlySet<RequestId> = new Set()
  #pushTimer: NodeJS.Timeout | undefined
  #expiredAt = Number.NEGATIVE_INFINITY
  #announced = ''

  readonly gate: RequestGate = {
    isActive: () => !this.#quarantine.isEmpty,
    standing: (request) => this.#quarantine.standing(request, this.#options.wallClock()),
    completed: (request) => {
      this.release(request)
    },
  }

  constructor(options: QuarantineExchangeOptions) {
    this.#options = options
  }

  get quarantined(): readonly QuarantinedRequest[] {
    return this.#quarantine.quarantined(this.#options.wallClock())
  }

  /** Records that a server process ended while it ran a call. */
  crashed({ request, server }: LostCall, start: number): void {
    const at = this.#options.wallClock()
    if (this.#quarantine.report({ request, process: processId(server, start), at })) this.#changed()
  }

  /** Clears a request on all nodes. Returns whether it was suspected or quarantined. */
  release(request: RequestId): boolean {
    const isReleased = this.#quarantine.clear(request, this.#options.wallClock())
    if (isReleased) this.#changed()
    return isReleased
  }

  /**
   * Applies a release that control has committed. Every replica announces it, so that it does not depend on the node that
   * acknowledged it.
   */
  released(clearance: Clearance): void {
    if (this.#quarantine.addClearance(clearance, this.#options.wallClock())) this.#changed()
  }

  nodeChanged({ node, crashReports = [], clearances = [] }: Node): void {
    if (node === this.#options.self) return
    if (this.#quarantine.merge(crashReports, clearances, this.#options.wallClock())) this.#changed()
  }

  /** Ends quarantines and forgets old reports. Call it often; it acts once a second. */
  expire(): void {
    const now = this.#options.wallClock()
    if (this.#quarantine.isEmpty || Math.abs(now - this.#expiredAt) < EXPIRY_INTERVAL_MS) return
    this.#expiredAt = now
    this.#quarantine.expire(now)
    this.#logChanges()
    this.#findUnkept()
    if (this.#announce()) void this.#options.pushToPeers()
  }

  /** Announces changes that are still delayed. Resolves once some peers have them. */
  async flush(): Promise<void> {
    if (this.#pushTimer === undefined) return
    clearTimeout(this.#pushTimer)
    this.#pushTimer = undefined
    this.#announce()
    await this.#options.pushToPeers()
  }

  stop(): void {
    clearTimeout(this.#pushTimer)
  }

  #changed(): void {
    this.#logChanges()
    this.#pushTimer ??= setTimeout(() => void this.flush(), PUSH_DELAY_MS)
  }

  /** Returns whether the announcement changed. */
  #announce(): boolean {
    const now = this.#options.wallClock()
    const crashReports = this.#quarantine.announcedReports((request) => this.#keeps(request), now)
    const clearances = this.#quarantine.announcedClearances()
    const announced = JSON.stringify([crashReports, clearances])
    if (announced === this.#announced) return false
    this.#announced = announced
    this.#options.announce({ crashReports, clearances })
    return true
  }

  #keeps(request: RequestId): boolean {
    return this.#unkept.has(request) || this.#keepers(request).some(({ node }) => node === this.#options.self)
  }

  #keepers(request: RequestId): readonly Node[] {
    return rendezvousChoice(request, [...this.#options.nodes()], KEEPERS, ({ node }) => node)
  }

  /** Only requests that were known at the last expiry count: before that, the keepers may not have heard of them. */
  #findUnkept(): void {
    const { self } = this.#options
    const isKept = (request: RequestId) =>
      this.#keepers(request).every(({ node, crashReports = [] }) => {
        return (
          node === self ||
          crashReports.filter((report) => report.request === request).length >= this.#quarantine.crashLimit
        )
      })
    this.#unkept = new Set([...this.#known].filter((request) => this.#knownBefore.has(request) && !isKept(request)))
    this.#knownBefore = new Set(this.#known)
  }

  #logChanges(): void {
    const { log } = this.#options
    const quarantined = new Map(this.quarantined.map((entry) => [entry.request, entry]))
    for (const { request, until, crashes } of quarantined.values()) {
      if (this.#known.has(request)) continue
      this.#known.add(request)
      const processes = crashes.map(({ process }) => process)
      log.warn('quarantineStarted', { request, until: new Date(until).toISOString(), processes })
    }
    for (const request of this.#known) {
      if (quarantined.has(request)) continue
      this.#known.delete(request)
      log.info('quarantineEnded', { request })
    }
  }
}

export function createQuarantineExchange(context: NodeContext): QuarantineExchange {
  const { self, directory, wallClock, log, announce, gossip, metrics } = context
  const exchange = new QuarantineExchange({
    self,
    nodes: () => directory.nodes.values(),
    wallClock,
    log,
    announce,
    pushToPeers: () => gossip.pushToPeers(),
  })
  metrics.gauge('requests_quarantined', 'Requests that are withheld from servers', () => exchange.quarantined.length)
  return exchange
}
