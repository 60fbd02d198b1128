/** A TCP proxy in front of a server, whose open connections can go silent for good while new ones work. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'

interface Pair {
  readonly caller: Socket
  readonly server: Socket
  usedAt: number
}

export class Proxy {
  readonly #target: { readonly host: string; readonly port: number }
  readonly #pairs = new Set<Pair>()
  readonly #listener: Server

  constructor(target: { readonly host: string; readonly port: number }) {
    this.#target = target
    this.#listener = createServer((caller) => {
      this.#forward(caller)
    })
  }

  /** Listens on the address and returns the port. */
  async listen(ip: string): Promise<number> {
    await new Promise<void>((resolve) => this.#listener.listen(0, ip, resolve))
    return (this.#listener.address() as AddressInfo).port
  }

  /**
   * Half of the open connections, those that forwarded something last, forward nothing more in either direction and stay
   * open. Returns their number.
   */
  silenceHalf(): number {
    const byUse = [...this.#pairs].toSorted((left, right) => right.usedAt - left.usedAt)
    const silenced = byUse.slice(0, Math.ceil(byUse.length / 2))
    for (const pair of silenced) {
      const { caller, server } = pair
      caller.unpipe(server)
      server.unpipe(caller)
      caller.pause()
      server.pause()
      this.#pairs.delete(pair)
    }
    return silenced.length
  }

  close(): void {
    this.#listener.close()
    for (const { caller, server } of this.#pairs) for (const socket of [caller, server]) socket.destroy()
  }

  #forward(caller: Socket): void {
    const server = connect({ ...this.#target, noDelay: true })
    caller.setNoDelay(true)
    const pair: Pair = { caller, server, usedAt: performance.now() }
    this.#pairs.add(pair)
    for (const [socket, other] of [[caller, server] as const, [server, caller] as const]) {
      socket.pipe(other)
      socket.on('data', () => {
        pair.usedAt = performance.now()
      })
      socket.on('error', () => other.destroy())
      socket.on('close', () => {
        this.#pairs.delete(pair)
        other.destroy()
      })
    }
  }
}
