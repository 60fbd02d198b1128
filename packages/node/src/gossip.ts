/**
 * Gossip loop: periodically exchanges the directory with a random peer, and immediately with several peers when a
 * server leaves. Seeds are contacted as long as no other node is known.
 */
import { randomInt, type RandomSource } from '@bilberrystall/base'
import type { DirectoryChange, Directory, OriginDelta } from '@bilberrystall/membership'
import {
  GossipService,
  type ExchangeRequest,
  type OriginDelta as OriginDeltaMessage,
  type RpcClients,
} from '@bilberrystall/rpc'
import type { ConnectRouter } from '@connectrpc/connect'
import { decodeDelta, decodeVersion, encodeDelta, encodeVersion } from './gossip-codec'
import { GossipStreams, type ExchangeResponseInit } from './gossip-stream'

const EXCHANGE_INTERVAL_MS = 250
/** Used when control distributes departures: gossip then only renews node leases of 5 s and announces new servers. */
const SLOW_EXCHANGE_INTERVAL_MS = 400
/** A newly started node gossips more often, because it cannot serve calls until it finds control. */
const JOIN_PHASE_MS = 2_000
const JOIN_PHASE_INTERVAL_MS = 80
/** Number of peers that are notified of a leaving server immediately instead of at the next interval. */
const URGENT_FANOUT = 3
/** Every nth round contacts a seed even if peers are known, so that two partitioned groups merge again. */
const SEED_ROUND_INTERVAL = 20
/** Seeds that are not known yet are contacted more often, so that groups merge within a second at the first start. */
const UNKNOWN_SEED_ROUND_INTERVAL = 3

export interface GossipOptions {
  readonly directory: Directory
  readonly clients: RpcClients
  readonly self: string
  /** RPC address of this node. */
  readonly address: string
  /** RPC addresses of the seeds; they may change while the process runs. */
  readonly seeds: () => readonly string[]
  readonly random: RandomSource
  readonly now: () => number
  /** Whether control distributes server departures, so that a longer gossip interval is sufficient. */
  readonly isSlow?: boolean
  readonly onChanges: (changes: readonly DirectoryChange[]) => void
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #streams: GossipStreams
  #timer: NodeJS.Timeout | undefined
  #rounds = 0
  #lastExchangeAt = Number.NEGATIVE_INFINITY

  constructor(options: GossipOptions) {
    this.#options = options
    this.#streams = new GossipStreams(options.clients)
  }

  /** Monotonic time of the last exchange with any node. */
  get lastExchangeAt(): number {
    return this.#lastExchangeAt
  }

  routes(router: ConnectRouter): void {
    router.service(GossipService, {
      exchange: (request) => this.#handleExchange(request),
      converse: (requests) => this.#handleStream(requests),
    })
  }

  start(): void {
    const startedAt = this.#options.now()
    const interval = this.#options.isSlow === true ? SLOW_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS
    const round = () => {
      const peer = this.#choosePeer()
      if (peer !== undefined) void this.#exchange(peer)
      const isJoining = this.#options.now() - startedAt < JOIN_PHASE_MS
      this.#timer = setTimeout(round, isJoining ? JOIN_PHASE_INTERVAL_MS : interval)
    }
    round()
  }

  stop(): void {
    clearTimeout(this.#timer)
    this.#streams.close()
  }

  /** Exchanges with several peers immediately, for urgent changes. */
  async pushToPeers(): Promise<void> {
    const peers = this.#peers()
    const { random } = this.#options
    const targets = new Set<string>()
    for (
      let attempt = 0;
      attempt < URGENT_FANOUT * 2 && targets.size < Math.min(URGENT_FANOUT, peers.length);
      attempt += 1
    ) {
      const peer = peers[randomInt(random, peers.length)]
      if (peer !== undefined) targets.add(peer)
    }
    await Promise.all([...targets].map((peer) => this.#exchange(peer)))
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
    const unknownSeeds = others.filter((seed) => !peers.includes(seed))
    const contactsUnknownSeed = unknownSeeds.length > 0 && this.#rounds % UNKNOWN_SEED_ROUND_INTERVAL === 0
    const contactsSeed = peers.length === 0 || this.#rounds % SEED_ROUND_INTERVAL === 0
    const candidates = contactsUnknownSeed ? unknownSeeds : contactsSeed ? others : peers
    return candidates[randomInt(random, candidates.length)]
  }

  async #exchange(peer: string): Promise<void> {
    const { directory, now, self } = this.#options
    try {
      const sent = directory.versions(now()).map(encodeVersion)
      const response = await this.#streams.exchange(peer, { from: self, versions: sent })
      const at = now()
      const peerVersions = response.versions.map(decodeVersion)
      const deltas = directory.deltasFor(peerVersions, at).map(encodeDelta)
      this.#applyMerge(directory.merge(peerVersions, decodeDeltas(response.deltas), at), at)
      if (deltas.length === 0) return
      const versions = directory.versions(now()).map(encodeVersion)
      await this.#streams.exchange(peer, { from: self, versions, deltas })
    } catch {
      // A failed exchange changes no state: the lease of an unreachable peer expires in the directory.
    }
  }

  #handleExchange(request: ExchangeRequest): ExchangeResponseInit {
    const { directory, now } = this.#options
    const at = now()
    const peerVersions = request.versions.map(decodeVersion)
    const deltas = directory.deltasFor(peerVersions, at).map(encodeDelta)
    const versions = directory.versions(at).map(encodeVersion)
    this.#applyMerge(directory.merge(peerVersions, decodeDeltas(request.deltas), at), at)
    return { versions, deltas }
  }

  async *#handleStream(requests: AsyncIterable<ExchangeRequest>): AsyncGenerator<ExchangeResponseInit> {
    for await (const request of requests) yield this.#handleExchange(request)
  }

  #applyMerge(changes: readonly DirectoryChange[], at: number): void {
    this.#lastExchangeAt = at
    if (changes.length > 0) this.#options.onChanges(changes)
  }
}

function decodeDeltas(messages: readonly OriginDeltaMessage[]): OriginDelta[] {
  return messages.map(decodeDelta).filter((delta) => delta !== undefined)
}
