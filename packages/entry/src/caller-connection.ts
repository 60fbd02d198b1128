/**
 * The connection of one caller. Node.js reads requests ahead and sends their responses in order, so all requests on a
 * connection share its end. This module knows which of them are in progress. It decides behind which response the
 * connection closes, accepts no request whose response could not be sent any more, and closes the connection in a way
 * that loses no response: the caller sends a request that was not accepted again, because it was not run.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { respondToParseError } from './parse-error'

/**
 * Time for which a closed connection waits for its caller, which sends nothing, to close it as well. Closing a socket
 * with unread bytes resets the connection, and a reset discards the responses that the caller has not received.
 */
const LINGER_MS = 2_000

export type StopPhase =
  /** The entry accepts connections, and responses keep theirs open. */
  | 'serving'
  /** Responses announce the close of their connections. */
  | 'announcing'
  /** Connections close as soon as the requests that were accepted on them have their responses. */
  | 'closing'

export interface CallerConnectionOptions {
  readonly socket: Socket
  readonly phase: () => StopPhase
  /** Monotonic milliseconds. */
  readonly now: () => number
}

export class CallerConnection {
  readonly #socket: Socket
  readonly #phase: () => StopPhase
  readonly #now: () => number
  /** Responses that were not sent completely yet, in the order of their requests, with who waits for their end. */
  readonly #responses = new Map<ServerResponse, (() => void)[]>()
  #last: ServerResponse | undefined
  #acceptsRequests = true
  #isLingering = false
  #isDiscarding = false
  /** Monotonic time in ms until which callers wait for their responses. */
  #awaitedUntil = Number.NEGATIVE_INFINITY

  constructor({ socket, phase, now }: CallerConnectionOptions) {
    this.#socket = socket
    this.#phase = phase
    this.#now = now
    // Node.js calls it behind a response that closes the connection.
    socket.destroySoon = () => {
      this.#close()
    }
    // Node.js reports the end of a connection only to the first of the responses that wait for it.
    socket.once('close', () => {
      for (const response of [...this.#responses.keys()]) this.#onResponseClosed(response)
    })
  }

  /** Returns false for a request that must not be handled, because the connection closes before its response. */
  accept(response: ServerResponse): boolean {
    if (this.#closesBehindLast) this.stopAccepting()
    if (!this.#acceptsRequests || this.#socket.destroyed) {
      this.#discardInput()
      return false
    }
    this.#responses.set(response, [])
    this.#last = response
    response.once('close', () => {
      this.#onResponseClosed(response)
    })
    return true
  }

  /**
   * Whether the connection closes behind the requests in progress. A caller that always has several in progress would
   * otherwise keep it open. While the close can still be announced later, a response that could not do so any more does
   * not end the connection.
   */
  get #closesBehindLast(): boolean {
    switch (this.#phase()) {
      case 'serving':
        return false
      case 'announcing':
        return this.#last?.headersSent === false && this.#responses.has(this.#last)
      case 'closing':
        return this.#responses.size > 0
    }
  }

  /** Number of requests whose responses were not sent completely yet. */
  get inProgress(): number {
    return this.#responses.size
  }

  /** Whether other requests are in progress, whose responses would be lost if the connection broke. */
  get isShared(): boolean {
    return this.#responses.size > 1
  }

  /** Whether the connection is closed and only waits for its caller to close it as well. */
  get isLingering(): boolean {
    return this.#isLingering
  }

  /** Calls the listener once the response was handed to the operating system or can no longer be sent. */
  onClosed(response: ServerResponse, listener: () => void): void {
    this.#responses.get(response)?.push(listener)
  }

  /** The caller waits for a response until `deadline`, in monotonic ms. */
  awaitUntil(deadline: number): void {
    this.#awaitedUntil = Math.max(this.#awaitedUntil, deadline)
  }

  #onResponseClosed(response: ServerResponse): void {
    const listeners = this.#responses.get(response) ?? []
    this.#responses.delete(response)
    if (!this.#acceptsRequests && this.#responses.size === 0) this.#close()
    for (const listener of listeners) listener()
  }

  /**
   * Decides whether the connection closes behind a response whose head is written next. In a drain it does behind the
   * last one, and always behind a response to a request whose body was not received, as no further request can be read
   * then.
   */
  closesBehind(response: ServerResponse, isBodyReceived: boolean): boolean {
    const isLast = this.#last === response
    const closes = !isBodyReceived || (isLast && (this.#phase() !== 'serving' || !this.#acceptsRequests))
    if (closes) this.stopAccepting()
    return closes
  }

  /** Accepts no further request; the connection closes behind the responses in progress. */
  stopAccepting(): void {
    this.#acceptsRequests = false
  }

  /** Closes the connection if no request is in progress. */
  closeIfIdle(): void {
    if (this.#responses.size === 0) this.#close()
  }

  /** Handles bytes that are no request: the requests before them still get their responses. */
  onParseError(cause: NodeJS.ErrnoException): void {
    this.stopAccepting()
    if (this.#responses.size > 0) return
    respondToParseError(cause, this.#socket)
    this.#close()
  }

  /**
   * Reads what arrives without parsing it, as none of it can become a request that is accepted. Node.js keeps an object
   * for each parsed request until the connection has closed.
   */
  #discardInput(): void {
    if (this.#isDiscarding) return
    this.#isDiscarding = true
    // The parser may be running now.
    process.nextTick(() => {
      this.#socket.removeAllListeners('data').on('data', () => undefined)
      this.#socket.resume()
      // Node.js may have stopped to read because much is to be sent, and then starts only for a parser to read again.
      this.#socket.push('')
    })
  }

  /**
   * Breaks off a response whose head was written. Its caller sees that it ends early, as it has a length or chunks, and
   * still gets the responses before it. Those behind it are not sent any more.
   */
  breakOff(response: ServerResponse): void {
    this.stopAccepting()
    if (!this.#responses.has(response)) return
    const responses = [...this.#responses.keys()]
    const rest = responses.slice(responses.indexOf(response))
    if (response.socket !== null) this.#close()
    // Node.js writes what it has of a response in the same turn, once the responses before it have ended.
    else
      response.once('socket', () => {
        process.nextTick(() => {
          this.#close()
        })
      })
    for (const cut of rest) this.#onResponseClosed(cut)
  }

  /** Closes the connection and waits until its caller has closed it as well. */
  #close(): void {
    if (this.#isLingering || this.#socket.destroyed) return
    this.#isLingering = true
    this.stopAccepting()
    this.#discardInput()
    const destroy = () => this.#socket.destroy()
    const awaitedMs = this.#awaitedUntil - this.#now()
    const limit = setTimeout(destroy, Math.max(LINGER_MS, awaitedMs))
    let silence: NodeJS.Timeout | undefined
    this.#socket.once('close', () => {
      clearTimeout(limit)
      clearTimeout(silence)
    })
    this.#socket.end(() => {
      if (this.#socket.destroyed) return
      silence = setTimeout(destroy, LINGER_MS)
      // A caller that sends on may still read its responses.
      this.#socket.on('data', () => silence?.refresh())
    })
  }
}

/**
 * Lets this process accept the connections and read the requests that have arrived. Closing a connection or a listener
 * before that would reset them.
 */
export function readArrived(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
