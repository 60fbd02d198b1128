/**
 * One connection to a server. An undici `Client` gets the connected socket and may not open another one, so undici
 * cannot resend a request on a new connection. The number of bytes written to the socket shows whether a request was
 * sent.
 */
import { errorMessage, failure, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
// The index of the library loads its fetch and WebSocket implementations as well.
import Client from 'undici/lib/dispatcher/client.js'
import type { RefusedResponse, ResponseRefusal } from './response-refusal'
import { ServerSocket } from './server-socket'

/** Keep-alive timeout of undici: far above the idle limit of the pool, which closes idle connections first. */
const CLIENT_IDLE_TIMEOUT_MS = 600_000

/** After so many attempts the connection is not used again, which bounds what it remembers. */
const MAX_ATTEMPTS = 256

/** Maximum size of the names and values of the header fields of a response, and of its trailer fields. */
const MAX_FIELD_BYTES = 16_384

export interface Address {
  readonly host: string
  readonly port: number
}

export class Connection {
  readonly openedAt: number
  /** Time in ms at which the last byte was received, or at which the connection was opened. */
  receivedAt: number
  usedAt: number
  /** Set when the connection is silent: its exchange may finish, but the connection is not reused. */
  retired = false
  /** Set when the socket failed before the server closed its side. */
  broken = false
  /** Set when the server closed its side cleanly (FIN). */
  ended = false
  /** Whether a response on this connection has returned the id of its attempt. */
  hasReturnedAttempt = false
  /** Set while the server sends bytes that belong to no request: the connection is not used again. */
  isSuspect = false
  /** Attempts whose requests were sent, and whose responses may arrive once more. */
  readonly #attempts = new Set<string>()
  #requests = 0
  #hasStrayBytes = false
  /** Bytes written when the request in progress was dispatched; undefined if there is none. */
  #bytesBeforeRequest: number | undefined
  #onRefused: ((refused: RefusedResponse) => void) | undefined
  readonly #localPort: number
  readonly #socket: ServerSocket
  readonly #client: Client

  private constructor(address: Address, socket: ServerSocket, now: number) {
    this.#socket = socket
    this.#localPort = socket.localPort ?? 0
    this.openedAt = now
    this.receivedAt = now
    this.usedAt = now
    // Until undici reads from the socket, a close by the server is detected only if this process reads.
    const detectClose = () => {
      if (socket.readableLength === 0) socket.read()
    }
    socket.on('readable', detectClose)
    // libuv reports the end of a connection also if it was reset together with its last bytes. The operating system knows
    // the peer of a connection only as long as it was not reset.
    socket.prependOnceListener('end', () => {
      this.ended = socket.remoteAddress !== undefined
    })
    let socketUsed = false
    this.#client = new Client(originOf(address), {
      pipelining: 1,
      maxHeaderSize: MAX_FIELD_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: CLIENT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: CLIENT_IDLE_TIMEOUT_MS,
      connect: (_, callback) => {
        if (socketUsed) {
          callback(new Error('the connection is closed'), null)
          return
        }
        socketUsed = true
        socket.off('readable', detectClose)
        // undici does not support a callback before `connect` has returned.
        queueMicrotask(() => {
          callback(null, socket)
        })
      },
    })
  }

  /** Errors: `connect-failed`, also for an address that is not valid. */
  static async open(address: Address, timeoutMs: number, clock: () => number): Promise<Result<Connection, Failure>> {
    const started = startConnecting(address)
    if (started.isErr()) return err(started.error)
    const socket = started.value
    return new Promise((resolve) => {
      let connection: Connection | undefined
      const timer = setTimeout(() => {
        socket.destroy(new Error(`connect timed out after ${timeoutMs} ms`))
      }, timeoutMs)
      socket.once('connect', () => {
        clearTimeout(timer)
        connection = new Connection(address, socket, clock())
        resolve(ok(connection))
      })
      socket.on('error', (cause) => {
        clearTimeout(timer)
        // undici destroys the socket with an error of its own after a response that ends with the connection.
        if (connection?.ended === false) connection.broken = true
        connection?.onError(cause)
        resolve(err(failure('connectFailed', errorMessage(cause))))
      })
    })
  }

  /** Whether the connection can be used. False also if unsolicited bytes have arrived. */
  get open(): boolean {
    const socket = this.#socket
    return !socket.destroyed && socket.writable && !socket.readableEnded && socket.readableLength === 0
  }

  /** Number of requests that were sent, including the one in progress. */
  get requests(): number {
    return this.#requests
  }

  /** Bytes written to the socket so far, including those not yet sent. */
  get bytesWritten(): number {
    return this.#socket.bytesWritten
  }

  onClose(listener: () => void): void {
    this.#socket.once('close', listener)
  }

  /** `passOn` is called after each part of the received bytes that was parsed. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, passOn: () => void): void {
    this.#requests += 1
    this.#bytesBeforeRequest = this.bytesWritten
    this.#socket.expectHead(passOn)
    this.#client.dispatch(options, handler)
  }

  /** `listener` is called for each response, or other bytes of the server, that was not accepted. */
  onRefused(listener: (refused: RefusedResponse) => void): void {
    this.#onRefused = listener
  }

  /** Reports that bytes of the server were not accepted as the response to the request of `attempt`. */
  refuse(refusal: ResponseRefusal, attempt: string | undefined): void {
    this.#onRefused?.({ refusal, connection: this.#localPort, requests: this.#requests, attempt })
  }

  /** Records that a request of the attempt is sent. */
  carry(attempt: string | undefined): void {
    if (attempt !== undefined) this.#attempts.add(attempt)
  }

  /** Whether the connection can be used for a request of the attempt: a copy of an earlier response would answer it. */
  canCarry(attempt: string | undefined): boolean {
    return attempt === undefined || !this.#attempts.has(attempt)
  }

  /** Whether the connection can be used for another request. */
  get isReusable(): boolean {
    return this.open && !this.retired && !this.isSuspect && this.#attempts.size < MAX_ATTEMPTS
  }

  onResponseEnd(): void {
    this.#bytesBeforeRequest = undefined
  }

  onHeadComplete(hasLength: boolean): void {
    this.#socket.onHeadComplete(hasLength)
  }

  onBody(bytes: number): void {
    this.#socket.onBody(bytes)
  }

  onPause(): void {
    this.#socket.onPartParsed()
  }

  set isResponsePaused(isPaused: boolean) {
    this.#socket.isResponsePaused = isPaused
  }

  /** Whether undici destroyed the socket because of what it received, and not because the connection ended. */
  isCausedByBytes(cause: Error): boolean {
    return cause.name === 'HTTPParserError' || (cause.name === 'SocketError' && !this.#socket.readableEnded)
  }

  /** Whether bytes follow the last response. */
  get hasStrayBytes(): boolean {
    const { destroyed, hasDiscardedBytes, readableLength } = this.#socket
    return this.#hasStrayBytes || hasDiscardedBytes || (!destroyed && readableLength > 0)
  }

  onError(cause: Error): void {
    const isRequestSent = this.#bytesBeforeRequest !== undefined && this.bytesWritten > this.#bytesBeforeRequest
    if (isRequestSent || !this.isCausedByBytes(cause)) return
    this.#hasStrayBytes = true
    this.refuse({ kind: 'stray-bytes' }, undefined)
  }

  destroy(): void {
    void this.#client.destroy()
    this.#socket.destroy()
  }
}

/** Node.js throws at once if the port is out of range. Errors: `connect-failed`. */
export function startConnecting(address: Address): Result<ServerSocket, Failure> {
  try {
    return ok(new ServerSocket().connect(address))
  } catch (cause) {
    return err(failure('connectFailed', errorMessage(cause)))
  }
}

function originOf({ host, port }: Address): string {
  return host.includes(':') ? `http://[${host}]:${port}` : `http://${host}:${port}`
}
