/** Counts the bytes that a process sends and receives on its RPC sockets. */
import type { Socket } from 'node:net'

type CountedSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>

export class TrafficCounter {
  readonly #openSockets = new Set<CountedSocket>()
  #closedBytes = 0

  track(socket: CountedSocket): void {
    this.#openSockets.add(socket)
    socket.once('close', () => {
      if (this.#openSockets.delete(socket)) this.#closedBytes += socketBytes(socket)
    })
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
