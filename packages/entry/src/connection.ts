/**
 * One connection to a server. An undici `Client` is given the connected socket and refused any other, so the library
 * cannot send a request a second time over a connection of its own. The bytes written to the socket tell whether a
 * request left the process.
 */
import { connect, type Socket } from 'node:net'
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { Client, type Dispatcher } from 'undici'

/** Far beyond the pool's own idle limit, which decides. */
const LIBRARY_IDLE_MS = 600_000

export interface Address {
  readonly host: string
  readonly port: number
}

export class Connection {
  readonly openedAt: number
  /** Time in ms of the last byte received, or of the opening. */
  receivedAt: number
  usedAt: number
  /** Set when the connection is silent: it may finish its exchange and is not used again. */
  retired = false
  /** Set when the socket ended with an error, so that a body without a marked end is not taken for complete. */
  broken = false
  /** Set when the server closed its side in order. */
  ended = false
  readonly #socket: Socket
  readonly #client: Client

  private constructor(address: Address, socket: Socket, now: number) {
    this.#socket = socket
    this.openedAt = now
    this.receivedAt = now
    this.usedAt = now
    // Until the library reads from the socket, a close by the server is noticed only if something else reads.
    const watch = () => {
      if (socket.readableLength === 0) socket.read()
    }
    socket.on('readable', watch)
    socket.once('end', () => {
      this.ended = true
    })
    let given = false
    this.#client = new Client(originOf(address), {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: LIBRARY_IDLE_MS,
      keepAliveMaxTimeout: LIBRARY_IDLE_MS,
      connect: (_, callback) => {
        if (given) {
          callback(new Error('the connection is closed'), null)
          return
        }
        given = true
        socket.off('readable', watch)
        // The library does not expect the answer before its own call returns.
        queueMicrotask(() => {
          callback(null, socket)
        })
      },
    })
  }

  static open(address: Address, timeoutMs: number, clock: () => number): Promise<Result<Connection, Failure>> {
    return new Promise((resolve) => {
      const socket = connect({ ...address, noDelay: true, keepAlive: true })
      let connection: Connection | undefined
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection within ${timeoutMs} ms`))
      }, timeoutMs)
      socket.once('connect', () => {
        clearTimeout(timer)
        connection = new Connection(address, socket, clock())
        resolve(ok(connection))
      })
      socket.on('error', (cause) => {
        clearTimeout(timer)
        if (connection !== undefined) connection.broken = true
        resolve(err(failure('connectFailed', errorMessage(cause))))
      })
    })
  }

  /** False also when bytes arrived that no request asked for. */
  get open(): boolean {
    const socket = this.#socket
    return !socket.destroyed && socket.writable && !socket.readableEnded && socket.readableLength === 0
  }

  /** Bytes handed to the socket so far, also those not yet sent. */
  get bytesWritten(): number {
    return this.#socket.bytesWritten
  }

  onClose(listener: () => void): void {
    this.#socket.once('close', listener)
  }

  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#client.dispatch(options, handler)
  }

  destroy(): void {
    void this.#client.destroy()
    this.#socket.destroy()
  }
}

function originOf({ host, port }: Address): string {
  return host.includes(':') ? `http://[${host}]:${port}` : `http://${host}:${port}`
}
