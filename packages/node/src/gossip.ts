/**
 * Gossip loop: periodically exchanges the directory with a random peer, and immediately with several peers when a
 * server leaves. Seeds are contacted as long as no other node is known. An exchange compares digests first, so that at
 * rest it costs the same on a node of a large fleet as on one of a small fleet.
 */
import { randomInt, type FailureDomain, type NodeId, type RandomSource } from '@bilberrystall/base'
import {
  ageDeltas,
  ageVersions,
  chooseGossipPartners,
  type DirectoryChange,
  type Directory,
  type DirectorySummary,
  type OriginDelta,
} from '@bilberrystall/membership'
import {
  GossipService,
  type ExchangeRequest,
  type ExchangeResponse,
  type OriginDelta as OriginDeltaMessage,
  type RpcClients,
} from '@bilberrystall/rpc'
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { decodeDelta, decodeVersion, encodeDelta, encodeVersion } from './gossip-codec'
import { GossipStreams, type ExchangeResponseInit } from './gossip-stream'

const EXCHANGE_INTERVAL_MS = 250
/** Used when control distributes departures: gossip then only renews node leases of 5 s and announces new servers. */
const SLOW_EXCHANGE_INTERVAL_MS = 400
/** A newly started node gossips more often, because it cannot serve calls until it finds control. */
const JOIN_PHASE_MS = 2_000
const JOIN_PHASE_INTERVAL_MS = 80
/**
 * Time after which a message that was not processed is too old: its ages would be measured from when it is read, and
 * would renew a server that has left meanwhile. It is shorter than the smallest lease.
 */
const MAX_MESSAGE_DELAY_MS = 500
/** Number of peers that are notified of a leaving server immediately instead of at the next interval. */
const URGENT_FANOUT = 3
/** Every nth round contacts a seed even if peers are known, so that two partitioned groups merge again. */
const SEED_ROUND_INTERVAL = 20
/** Seeds that are not known yet are contacted more often, so that groups merge within a second at the first start. */
const UNKNOWN_SEED_ROUND_INTERVAL = 3
/**
 * In large fleets only every nth round contacts another failure domain: traffic between domains is expensive, and the
 * nodes of a domain together still contact every other domain in each round.
 */
const OTHER_DOMAIN_ROUND_INTERVAL = 4

export interface GossipOptions {
  readonly directory: Directory
  readonly clients: RpcClients
  readonly self: NodeId
  readonly failureDomain: FailureDomain
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

interface ComparedDirectories {
  readonly compared: ExchangeResponse
  /** Duration of the exchange that compared them. */
  readonly transitMs: number
  readonly buckets: readonly number[] | undefined
}

/** Numbers of exchanges that peers began with this node, by what they compare. */
export interface GossipExchanges {
  readonly digests: number
  readonly versions: number
}

export class Gossip {
  readonly #options: GossipOptions
  readonly #streams: GossipStreams
  #timer: NodeJS.Timeout | undefined
  #rounds = 0
  #handled: GossipExchanges = { digests: 0, versions: 0 }
  #lastExchangeAt = Number.NEGATIVE_INFINITY
  /** Time of the last round trip by the address of the peer. */
  readonly #roundTripMs = new Map<string, number>()
  /** Time at which the next round is due. */
  #nextRoundAt = Number.POSITIVE_INFINITY

  constructor(options: GossipOptions) {
    this.#options = options
    this.#streams = new GossipStreams(options.clients)
  }

  /** Monotonic time of the last exchange with any node. */
  get lastExchangeAt(): number {
    return this.#lastExchangeAt
  }

  get handled(): GossipExchanges {
    return this.#handled
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
      const now = this.#options.now()
      const delay = now - startedAt < JOIN_PHASE_MS ? JOIN_PHASE_INTERVAL_MS : interval
      this.#nextRoundAt = now + delay
      this.#timer = setTimeout(round, delay)
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
    const candidates = contactsUnknownSeed ? unknownSeeds : contactsSeed ? others : this.#preferredPeers(peers)
    return candidates[randomInt(random, candidates.length)]
  }

  /** Returns all peers of a small fleet, and some partners in a large one. */
  #preferredPeers(peers: readonly string[]): readonly string[] {
    const { directory, self, failureDomain, isSlow } = this.#options
    if (isSlow !== true) return peers
    const partners = chooseGossipPartners(directory.nodes.values(), self, failureDomain)
    if (partners === undefined) return peers
    const { ownDomain, others } = partners
    const contactsOthers = ownDomain.length === 0 || this.#rounds % OTHER_DOMAIN_ROUND_INTERVAL === 0
    const preferred = contactsOthers && others.length > 0 ? others : ownDomain
    return preferred.map(({ address }) => address)
  }

  async #exchange(peer: string): Promise<void> {
    const { directory, now, self } = this.#options
    try {
      const sentAt = now()
      const summary = directory.summary(sentAt, this.#expectedTransitMs(peer))
      const response = await this.#streams.exchange(peer, { from: self, ...encodeSummary(summary) })
      const at = now()
      const transitMs = at - sentAt
      this.#roundTripMs.set(peer, transitMs)
      if (transitMs > MAX_MESSAGE_DELAY_MS) return
      if (response.digests.byteLength > 0) this.#applyMerge(directory.mergeSummary(response, at, transitMs).changes, at)
      // A response without digests comes from a node that does not compare them: it contains all versions and deltas.
      const buckets = response.digests.byteLength > 0 ? response.buckets : undefined
      if (buckets === undefined || buckets.length > 0) {
        await this.#exchangeVersions(peer, { compared: response, transitMs, buckets })
      }
    } catch {
      // A failed exchange changes no state: the lease of an unreachable peer expires in the directory.
    }
  }

  /** Sends what the peer lacks with the versions known here, and applies what this node lacks. */
  async #exchangeVersions(peer: string, { compared, transitMs, buckets }: ComparedDirectories): Promise<void> {
    const { directory, now, self } = this.#options
    const at = now()
    const peerVersions = ageVersions(compared.versions.map(decodeVersion), transitMs)
    // Merged first: this process may raise its incarnation above one that the peer knows.
    this.#applyMerge(directory.merge(peerVersions, ageDeltas(decodeDeltas(compared.deltas), transitMs), at), at)
    const deltas = ageDeltas(directory.deltasFor(peerVersions, at, buckets), transitMs).map(encodeDelta)
    const versions = ageVersions(directory.versions(at, buckets), transitMs).map(encodeVersion)
    const request = { from: self, versions, deltas, buckets: [...(buckets ?? [])] }
    const response = await this.#streams.exchange(peer, request)
    const answeredAt = now()
    const answerMs = answeredAt - at
    if (answerMs > MAX_MESSAGE_DELAY_MS) return
    const newVersions = ageVersions(response.versions.map(decodeVersion), answerMs)
    const newDeltas = ageDeltas(decodeDeltas(response.deltas), answerMs)
    this.#applyMerge(directory.merge(newVersions, newDeltas, answeredAt), answeredAt)
  }

  /** The last round trip to the peer, or the longest one to any other: ages may become older in transit, never younger. */
  #expectedTransitMs(peer: string): number {
    return this.#roundTripMs.get(peer) ?? Math.max(0, ...this.#roundTripMs.values())
  }

  #handleExchange(request: ExchangeRequest): ExchangeResponseInit {
    // After a pause of this process, requests are read before any timer runs and may be as old as the pause.
    if (this.#options.now() - this.#nextRoundAt > MAX_MESSAGE_DELAY_MS) {
      throw new ConnectError('this node was paused', Code.Unavailable)
    }
    return request.digests.byteLength > 0 ? this.#handleSummary(request) : this.#handleVersions(request)
  }

  #handleSummary(request: ExchangeRequest): ExchangeResponseInit {
    const { directory, now } = this.#options
    this.#handled = { ...this.#handled, digests: this.#handled.digests + 1 }
    const at = now()
    const { differing, changes } = directory.mergeSummary(request, at)
    this.#applyMerge(changes, at)
    const versions = differing.length === 0 ? [] : directory.versions(at, differing).map(encodeVersion)
    return { ...encodeSummary(directory.summary(at)), versions, buckets: [...differing] }
  }

  #handleVersions(request: ExchangeRequest): ExchangeResponseInit {
    const { directory, now } = this.#options
    this.#handled = { ...this.#handled, versions: this.#handled.versions + 1 }
    const at = now()
    const buckets = request.buckets.length > 0 ? request.buckets : undefined
    const peerVersions = request.versions.map(decodeVersion)
    this.#applyMerge(directory.merge(peerVersions, decodeDeltas(request.deltas), at), at)
    const deltas = directory.deltasFor(peerVersions, at, buckets).map(encodeDelta)
    return { versions: directory.versions(at, buckets).map(encodeVersion), deltas }
  }

  async *#handleStream(requests: AsyncIterable<ExchangeRequest>): AsyncGenerator<ExchangeResponseInit> {
    for await (const request of requests) yield this.#handleExchange(request)
  }

  #applyMerge(changes: readonly DirectoryChange[], at: number): void {
    this.#lastExchangeAt = at
    if (changes.length > 0) this.#options.onChanges(changes)
  }
}

function encodeSummary({ digests, ages }: DirectorySummary): { digests: Uint8Array; ages: Uint8Array[] } {
  return { digests, ages: [...ages] }
}

function decodeDeltas(messages: readonly OriginDeltaMessage[]): OriginDelta[] {
  return messages.map(decodeDelta).filter((delta) => delta !== undefined)
}
