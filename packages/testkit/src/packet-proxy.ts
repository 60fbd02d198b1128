/**
 * UDP side of a fault proxy. Each sender gets a socket of its own towards the target, so that answers find their way
 * back. Packets that a fault holds back are lost, as they are on a network that is cut.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { once } from 'node:events'

export interface PacketFaults {
  readonly delayMs: number
  readonly dropsForward: boolean
  readonly dropsBackward: boolean
}

export interface PacketProxyOptions {
  /** Address to which packets are forwarded. */
  readonly target: () => string
  /** Faults between the process that sends from an address and the target. */
  readonly faults: (source: string) => PacketFaults
}

export class PacketProxy {
  readonly #options: PacketProxyOptions
  readonly #socket = createSocket('udp4')
  /** Sockets towards the target by the address of the sender. */
  readonly #upstreams = new Map<string, Socket>()

  constructor(options: PacketProxyOptions) {
    this.#options = options
    this.#socket.on('message', (packet, sender) => {
      this.#forward(packet, sender)
    })
  }

  async start(host: string, port: number): Promise<void> {
    await once(this.#socket.bind(port, host), 'listening')
  }

  stop(): void {
    this.#socket.close()
    for (const upstream of this.#upstreams.values()) upstream.close()
    this.#upstreams.clear()
  }

  #forward(packet: Buffer, sender: RemoteInfo): void {
    const source = `${sender.address}:${sender.port}`
    const { delayMs, dropsForward } = this.#options.faults(source)
    if (dropsForward) return
    const upstream = this.#upstreams.get(source) ?? this.#open(source, sender)
    const { hostname, port } = new URL(`udp://${this.#options.target()}`)
    later(delayMs, () => {
      if (this.#upstreams.get(source) === upstream) upstream.send(packet, Number(port), hostname, ignoreFailure)
    })
  }

  #open(source: string, sender: RemoteInfo): Socket {
    const upstream = createSocket('udp4')
    upstream.on('message', (answer) => {
      const { delayMs, dropsBackward } = this.#options.faults(source)
      if (dropsBackward) return
      later(delayMs, () => {
        if (this.#upstreams.get(source) === upstream) {
          this.#socket.send(answer, sender.port, sender.address, ignoreFailure)
        }
      })
    })
    this.#upstreams.set(source, upstream)
    return upstream
  }
}

function later(delayMs: number, act: () => void): void {
  if (delayMs === 0) act()
  else setTimeout(act, delayMs)
}

function ignoreFailure(): void {
  // A packet that cannot be sent is lost.
}
