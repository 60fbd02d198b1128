/**
 * Gossip loop: periodically exchanges the directory with a random peer, and immediately with several peers when a
 * server leaves. Seeds are contacted as long as no other node is known.
 */
import { randomBelow, type Random } from '@bilberrystall/base'
import type { Change, Directory, OriginDelta } from '@bilberrystall/membership'
import {
  GossipService,
  type ExchangeRequest,
  type OriginDelta as OriginDeltaMessage,
  type RpcClients,
} from '@bilberrystall/rpc'
import type { ConnectRouter } from '@connectrpc/connect'
import { decodeDelta, decodeVersion, encodeDelta, encodeVersion } from './gossip-codec'
import { GossipStreams, type Answer } from './gossip-stream'

const EXCHANGE_INTERVAL_MS = 250
/** Used when control distributes departures: gossip then only renews node leases of 5 s and announces new servers. */
const SLOW_EXCHANGE_INTERVAL_MS = 400
/** A newly started node gossips more often, because it cannot serve calls until it finds control. */
const JOINING_MS = 2_000
const JOINING_INTERVAL_MS = 80
/** Number of peers that are notified of a leaving server immediately instead of at the next interval. */
const URGENT_PEERS = 3
/** Every nth round contacts a seed even if peers are known, so that two partitioned groups merge again. */
const SEED_EVERY = 20
/** Seeds that are not known yet are contacted more often, so that groups merge within a second at the first start. */
const UNKNOWN_SEED_EVERY = 3

export interface GossipOptions {
  readonly directory: Directory
  readonly clients: RpcClients
  readonly self: string
  /** RPC address of this node. */
  readonly address: string
  /** RPC addresses of the seeds; they may change while the process runs. */
  readonly seeds: () => readonly string[]
  readonly random: Random
  readonly now: () => number
  /** Whether control distributes server departures, so that a longer gossip interval is sufficient. */
  readonly isSlow?: boolean
  readonly onChanges: (changes: readonly Change[]) => void
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #streams: GossipStreams
  #timer: NodeJS.Timeout | undefined
  #rounds = 0
  #heardAt = Number.NEGATIVE_INFINITY

  constructor(options: GossipOptions) {
    this.#options = options
    this.#streams = new GossipStreams(options.clients)
  }

  /** Monotonic time of the last exchange with any node. */
  get heardAt(): number {
    return this.#heardAt
  }

  routes(router: ConnectRouter): void {
    router.service(GossipService, {
      exchange: (request) => this.#answer(request),
      converse: (requests) => this.#answerEach(requests),
    })
  }

  start(): void {
    const startedAt = this.#options.now()
    const interval = this.#options.isSlow === true ? SLOW_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS
    const round = () => {
      const peer = this.#choosePeer()
      if (peer !== undefined) void this.#exchange(peer)
      const isJoining = this.#options.now() - startedAt < JOINING_MS
      this.#timer = setTimeout(round, isJoining ? JOINING_INTERVAL_MS : interval)
    }
    round()
  }

  stop(): void {
    clearTimeout(this.#timer)
    this.#streams.close()
  }

  /** Exchanges with several peers immediately, for urgent changes. */
  async spread(): Promise<void> {
    const peers = this.#peers()
    const { random } = this.#options
    const chosen = new Set<string>()
    for (let tries = 0; tries < URGENT_PEERS * 2 && chosen.size < Math.min(URGENT_PEERS, peers.length); tries += 1) {
      const peer = peers[randomBelow(random, peers.length)]
      if (peer !== undefined) chosen.add(peer)
    }
    await Promise.all([...chosen].map((peer) => this.#exchange(peer)))
  }

  #peers(): string[] {
    const { directory, address } = this.#options
    return [...directory.nodes.values()].map((node) => node.address).filter((peer) => peer !== address)
  }

  #choosePeer(): string | undefined {
    const { address, random } = this.#options
    const seeds = this.#options.seeds()
    const peers = this.#peers()
    this.#rounds += 1
    const others = seeds.filter((seed) => seed !== address)
    const unknown = others.filter((seed) => !peers.includes(seed))
    const asksUnknown = unknown.length > 0 && this.#rounds % UNKNOWN_SEED_EVERY === 0
    const asksSeed = peers.length === 0 || this.#rounds % SEED_EVERY === 0
    const candidates = asksUnknown ? unknown : asksSeed ? others : peers
    return candidates[randomBelow(random, candidates.length)]
  }

  async #exchange(peer: string): Promise<void> {
    const { directory, now, self } = this.#options
    try {
      const sent = directory.versions(now()).map(encodeVersion)
      const response = await this.#streams.exchange(peer, { from: self, versions: sent })
      const at = now()
      const theirs = response.versions.map(decodeVersion)
      const deltas = directory.deltasFor(theirs, at).map(encodeDelta)
      this.#merged(directory.merge(theirs, decodeDeltas(response.deltas), at), at)
      if (deltas.length === 0) return
      const versions = directory.versions(now()).map(encodeVersion)
      await this.#streams.exchange(peer, { from: self, versions, deltas })
    } catch {
      // A failed exchange changes no state: the lease of an unreachable peer expires in the directory.
    }
  }

  #answer(request: ExchangeRequest): Answer {
    const { directory, now } = this.#options
    const at = now()
    const theirs = request.versions.map(decodeVersion)
    const deltas = directory.deltasFor(theirs, at).map(encodeDelta)
    const versions = directory.versions(at).map(encodeVersion)
    this.#merged(directory.merge(theirs, decodeDeltas(request.deltas), at), at)
    return { versions, deltas }
  }

  async *#answerEach(requests: AsyncIterable<ExchangeRequest>): AsyncGenerator<Answer> {
    for await (const request of requests) yield this.#answer(request)
  }

  #merged(changes: readonly Change[], at: number): void {
    this.#heardAt = at
    if (changes.length > 0) this.#options.onChanges(changes)
  }
}

function decodeDeltas(messages: readonly OriginDeltaMessage[]): OriginDelta[] {
  return messages.map(decodeDelta).filter((delta) => delta !== undefined)
}
