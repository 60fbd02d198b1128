/** Counts the bytes that a process sends and receives on its RPC sockets. */
import type { Socket } from 'node:net'

type CountedSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>

export class Traffic {
  readonly #open = new Set<CountedSocket>()
  #closedBytes = 0

  track(socket: CountedSocket): void {
    this.#open.add(socket)
    socket.once('close', () => {
      if (this.#open.delete(socket)) this.#closedBytes += bytesOf(socket)
    })
  }

  /** Bytes read and written since the process started. */
  bytes(): number {
    let total = this.#closedBytes
    for (const socket of this.#open) total += bytesOf(socket)
    return total
  }
}

function bytesOf(socket: CountedSocket): number {
  return socket.bytesRead + socket.bytesWritten
}
