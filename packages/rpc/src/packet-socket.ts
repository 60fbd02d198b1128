/**
 * UDP socket for small messages between nodes, on the address of the RPC listener. A packet costs a small part of the CPU
 * time and memory of a call over HTTP/2, but may be lost, repeated or reordered. Like calls, packets are authenticated
 * by the node key: each ends with a code of its content, and packets with another code are discarded.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { isIPv6 } from 'node:net'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { TrafficCounter } from './traffic-counter'

/** Fits in an Ethernet frame with the headers of IPv6 and UDP and those of a tunnel, so that no packet is fragmented. */
export const MAX_PACKET_BYTES = 1200
const CODE_BYTES = 16

export interface PacketSocketOptions {
  readonly host: string
  readonly port: number
  /** Empty if the nodes do not use a key; packets then have no code. */
  readonly nodeKey: string
  readonly traffic: Pick<TrafficCounter, 'packet'>
}

/** Receives the content of a packet and the address of its sender. */
export type PacketListener = (content: Uint8Array, sender: string) => void

export class PacketSocket {
  readonly #socket: Socket
  readonly #nodeKey: string
  readonly #traffic: Pick<TrafficCounter, 'packet'>
  #listener: PacketListener = () => undefined

  private constructor(socket: Socket, { nodeKey, traffic }: PacketSocketOptions) {
    this.#socket = socket
    this.#nodeKey = nodeKey
    this.#traffic = traffic
    socket.on('message', (packet, sender) => {
      this.#received(packet, sender)
    })
    // A failed send is a lost packet.
    socket.on('error', () => undefined)
  }

  /** Errors: `address-in-use`. */
  static async bind(options: PacketSocketOptions): Promise<Result<PacketSocket, Failure>> {
    const { host, port } = options
    const socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4')
    return new Promise((resolve) => {
      const failed = (cause: Error) => {
        resolve(err(failure('addressInUse', `${host}:${port} (UDP): ${errorMessage(cause)}`)))
      }
      socket.once('error', failed)
      socket.bind({ address: host, port }, () => {
        socket.off('error', failed)
        resolve(ok(new PacketSocket(socket, options)))
      })
    })
  }

  /** Largest content that `send` accepts. */
  get maxContentBytes(): number {
    return MAX_PACKET_BYTES - this.#codeBytes
  }

  /** Address with the port of this socket. */
  get address(): string {
    return addressOf(this.#socket.address())
  }

  listen(listener: PacketListener): void {
    this.#listener = listener
  }

  /** Sends the content as one packet to an IP address with a port. */
  send(content: Uint8Array, address: string): void {
    const colon = address.lastIndexOf(':')
    const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
    const parts = this.#codeBytes === 0 ? [content] : [content, this.#codeOf(content)]
    this.#traffic.packet(content.byteLength + this.#codeBytes)
    this.#socket.send(parts, Number(address.slice(colon + 1)), host, () => {
      // A failed send is a lost packet.
    })
  }

  close(): void {
    this.#listener = () => undefined
    this.#socket.close()
  }

  #received(packet: Buffer, sender: RemoteInfo): void {
    this.#traffic.packet(packet.byteLength)
    const contentBytes = packet.byteLength - this.#codeBytes
    if (contentBytes < 0) return
    const content = packet.subarray(0, contentBytes)
    if (this.#codeBytes > 0 && !timingSafeEqual(packet.subarray(contentBytes), this.#codeOf(content))) return
    this.#listener(content, addressOf(sender))
  }

  get #codeBytes(): number {
    return this.#nodeKey === '' ? 0 : CODE_BYTES
  }

  #codeOf(content: Uint8Array): Buffer {
    return createHmac('sha256', this.#nodeKey).update(content).digest().subarray(0, CODE_BYTES)
  }
}

function addressOf({ address, family, port }: { address: string; family: string; port: number }): string {
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
}
