/**
 * Chooses how an exchange reaches a peer: by packets if the messages fit and the peer answers packets, otherwise by a
 * stream. A peer that never answered a packet may run a version without them, or the network may drop them.
 */
import type { ExchangeResponse, RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError } from '@connectrpc/connect'
import type { GossipPackets, PacketCounts } from './gossip-packets'
import { GossipStreams, type ExchangeRequestInit } from './gossip-stream'

/** Packets without an answer in a row after which only streams are used for a while. */
const MAX_UNANSWERED = 2
const STREAM_ONLY_MS = 30_000
/** Bounds what is kept of peers; what is forgotten is learned again. */
const MAX_PEERS = 4096
const NO_COUNTS: PacketCounts = { response: 0, 'too-large': 0, 'no-answer': 0 }

export interface GossipTransportOptions {
  readonly clients: RpcClients
  /** Monotonic milliseconds. */
  readonly now: () => number
}

interface PeerSupport {
  readonly answersPackets: boolean
  readonly unanswered: number
  readonly streamOnlyUntil: number
}

const UNKNOWN: PeerSupport = { answersPackets: false, unanswered: 0, streamOnlyUntil: 0 }

export class GossipTransport {
  readonly #now: () => number
  readonly #streams: GossipStreams
  #packets: GossipPackets | undefined
  readonly #peers = new Map<string, PeerSupport>()

  constructor({ clients, now }: GossipTransportOptions) {
    this.#now = now
    this.#streams = new GossipStreams(clients)
  }

  get packetCounts(): PacketCounts {
    return this.#packets?.counts ?? NO_COUNTS
  }

  usePackets(packets: GossipPackets): void {
    this.#packets = packets
  }

  /** Rejects if the peer does not respond in time. */
  async exchange(address: string, request: ExchangeRequestInit): Promise<ExchangeResponse> {
    const support = this.#peers.get(address) ?? UNKNOWN
    if (this.#packets === undefined || this.#now() < support.streamOnlyUntil) {
      return this.#streams.exchange(address, request)
    }
    const outcome = await this.#packets.exchange(address, request)
    switch (outcome.kind) {
      case 'response':
        this.#record(address, { ...UNKNOWN, answersPackets: true })
        return outcome.response
      case 'too-large':
        return this.#streams.exchange(address, request)
      case 'no-answer':
        this.#unanswered(address)
        // The next exchange goes to another peer, so a lost packet is not sent again.
        if (support.answersPackets) throw new ConnectError('no answer to a packet', Code.DeadlineExceeded)
        return this.#streams.exchange(address, request)
    }
  }

  close(): void {
    this.#packets?.close()
    this.#packets = undefined
    this.#streams.close()
  }

  #unanswered(address: string): void {
    const support = this.#peers.get(address) ?? UNKNOWN
    const unanswered = support.unanswered + 1
    const isLost = unanswered >= MAX_UNANSWERED
    this.#record(
      address,
      isLost ? { ...UNKNOWN, streamOnlyUntil: this.#now() + STREAM_ONLY_MS } : { ...support, unanswered },
    )
  }

  #record(address: string, support: PeerSupport): void {
    if (this.#peers.size >= MAX_PEERS) this.#peers.clear()
    this.#peers.set(address, support)
  }
}
