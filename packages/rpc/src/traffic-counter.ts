/** Counts the bytes that a process sends and receives on its RPC sockets, and its calls by method. */
import type { Socket } from 'node:net'

type CountedSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>

export type CallSide = 'client' | 'server'

/** Calls since the process started. A stream counts once. */
export interface CallCount {
  readonly side: CallSide
  readonly method: string
  readonly calls: number
}

export class TrafficCounter {
  readonly #openSockets = new Set<CountedSocket>()
  readonly #calls: Readonly<Record<CallSide, Map<string, number>>> = { client: new Map(), server: new Map() }
  #closedBytes = 0

  track(socket: CountedSocket): void {
    this.#openSockets.add(socket)
    socket.once('close', () => {
      if (this.#openSockets.delete(socket)) this.#closedBytes += socketBytes(socket)
    })
  }

  called(side: CallSide, method: string): void {
    this.#calls[side].set(method, (this.#calls[side].get(method) ?? 0) + 1)
  }

  calls(): readonly CallCount[] {
    return (['client', 'server'] as const).flatMap((side) =>
      [...this.#calls[side]].map(([method, calls]) => ({ side, method, calls })),
    )
  }

  /** Bytes read and written since the process started. */
  totalBytes(): number {
    let total = this.#closedBytes
    for (const socket of this.#openSockets) total += socketBytes(socket)
    return total
  }
}

function socketBytes(socket: CountedSocket): number {
  return socket.bytesRead + socket.bytesWritten
}
