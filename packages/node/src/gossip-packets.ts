/**
 * Gossip exchanges over UDP, for messages that fit in one packet each. At rest all do: two nodes whose directories match
 * exchange digests and ages only. Several exchanges may be in progress with the same peer; a late answer is discarded.
 */
import { randomInt } from 'node:crypto'
import { GossipPacketSchema, type ExchangeRequest, type ExchangeResponse, type PacketSocket } from '@bilberrystall/rpc'
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import type { ExchangeRequestInit, ExchangeResponseInit } from './gossip-stream'

/** Many times the round trip within a region, also for a peer that is busy. */
const ANSWER_TIMEOUT_MS = 250
const EXCHANGE_NUMBERS = 2 ** 32

export type PacketOutcome =
  | { readonly kind: 'response'; readonly response: ExchangeResponse }
  /** The request or its response does not fit in a packet. */
  | { readonly kind: 'too-large' }
  | { readonly kind: 'no-answer' }

/** Exchanges since the process started, by how they ended. */
export type PacketCounts = Readonly<Record<PacketOutcome['kind'], number>>

export interface GossipPacketsOptions {
  readonly socket: PacketSocket
  /** Returns the response to a request of a peer; throws if the request has to stay without an answer. */
  readonly handle: (request: ExchangeRequest) => ExchangeResponseInit
}

interface PendingExchange {
  readonly address: string
  readonly settle: (outcome: PacketOutcome) => void
}

type PacketInit = MessageInitShape<typeof GossipPacketSchema>

export class GossipPackets {
  readonly #options: GossipPacketsOptions
  /** By number of the exchange. */
  readonly #pending = new Map<number, PendingExchange>()
  /** Begins at random, so that answers to an earlier process on this address match no exchange of this one. */
  #nextNumber = randomInt(EXCHANGE_NUMBERS)
  #counts: PacketCounts = { response: 0, 'too-large': 0, 'no-answer': 0 }

  constructor(options: GossipPacketsOptions) {
    this.#options = options
    options.socket.listen((content, sender) => {
      this.#received(content, sender)
    })
  }

  get counts(): PacketCounts {
    return this.#counts
  }

  async exchange(address: string, request: ExchangeRequestInit): Promise<PacketOutcome> {
    const exchange = this.#nextNumber
    this.#nextNumber = (exchange + 1) % EXCHANGE_NUMBERS
    const packet = this.#encode({ exchange, body: { case: 'request', value: request } })
    const outcome = packet === undefined ? { kind: 'too-large' as const } : await this.#send(exchange, address, packet)
    this.#counts = { ...this.#counts, [outcome.kind]: this.#counts[outcome.kind] + 1 }
    return outcome
  }

  close(): void {
    for (const { settle } of [...this.#pending.values()]) settle({ kind: 'no-answer' })
    this.#options.socket.close()
  }

  #send(exchange: number, address: string, packet: Uint8Array): Promise<PacketOutcome> {
    return new Promise((resolve) => {
      const settle = (outcome: PacketOutcome) => {
        clearTimeout(timer)
        this.#pending.delete(exchange)
        resolve(outcome)
      }
      const timer = setTimeout(() => {
        settle({ kind: 'no-answer' })
      }, ANSWER_TIMEOUT_MS)
      this.#pending.set(exchange, { address, settle })
      this.#options.socket.send(packet, address)
    })
  }

  #received(content: Uint8Array, sender: string): void {
    const packet = decode(content)
    switch (packet?.body.case) {
      case 'request':
        this.#answer(packet.exchange, packet.body.value, sender)
        return
      case 'response':
        this.#settle(packet.exchange, sender, { kind: 'response', response: packet.body.value })
        return
      case 'tooSmall':
        this.#settle(packet.exchange, sender, { kind: 'too-large' })
        return
      case undefined:
        // Not a packet of these exchanges, or of a kind that a later version adds.
        return
    }
  }

  #settle(exchange: number, sender: string, outcome: PacketOutcome): void {
    const pending = this.#pending.get(exchange)
    if (pending?.address === sender) pending.settle(outcome)
  }

  #answer(exchange: number, request: ExchangeRequest, sender: string): void {
    const { socket, handle } = this.#options
    let response: ExchangeResponseInit
    try {
      response = handle(request)
    } catch {
      return
    }
    const packet =
      this.#encode({ exchange, body: { case: 'response', value: response } }) ??
      this.#encode({ exchange, body: { case: 'tooSmall', value: {} } })
    if (packet !== undefined) socket.send(packet, sender)
  }

  /** Returns undefined if the packet would be too large. */
  #encode(packet: PacketInit): Uint8Array | undefined {
    const content = toBinary(GossipPacketSchema, create(GossipPacketSchema, packet))
    return content.byteLength > this.#options.socket.maxContentBytes ? undefined : content
  }
}

function decode(content: Uint8Array) {
  try {
    return fromBinary(GossipPacketSchema, content)
  } catch {
    return undefined
  }
}
