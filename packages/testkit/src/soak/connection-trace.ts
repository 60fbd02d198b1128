/**
 * Records on which connections the calls of a soak run were sent, as undici reports them: a call that a planned stop
 * aborted may have been sent while the entry closed a connection that was kept idle.
 */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import type { DiagnosticsChannel } from 'undici'

const SENT = 'undici:client:sendHeaders'
const COMPLETED = 'undici:request:trailers'
const REQUEST_ID = /^x-request-id: (.*)\r$/m

/** Connection of a call at the time at which the call was written to it. */
export interface CallConnection {
  /** Monotonic time in ms. */
  readonly writtenAt: number
  /** Number of calls that were written to the connection before. */
  readonly earlierCalls: number
  /** Time since the response to the previous call, or since the connection opened. */
  readonly idleMs: number
  readonly localPort: number | undefined
}

interface ConnectionUse {
  calls: number
  idleSince: number
}

export class ConnectionTrace {
  readonly #uses = new WeakMap<Socket, ConnectionUse>()
  readonly #sockets = new WeakMap<DiagnosticsChannel.Request, Socket>()
  readonly #connections = new Map<string, CallConnection>()

  start(): void {
    subscribe('undici:client:connected', this.#onConnected)
    subscribe(SENT, this.#onSent)
    subscribe(COMPLETED, this.#onCompleted)
  }

  stop(): void {
    unsubscribe('undici:client:connected', this.#onConnected)
    unsubscribe(SENT, this.#onSent)
    unsubscribe(COMPLETED, this.#onCompleted)
  }

  /** Returns the connection of an ended call; undefined if the call was not written to any. */
  take(requestId: string): CallConnection | undefined {
    const connection = this.#connections.get(requestId)
    this.#connections.delete(requestId)
    return connection
  }

  readonly #onConnected = (message: unknown): void => {
    const { socket } = message as DiagnosticsChannel.ClientConnectedMessage
    this.#uses.set(socket, { calls: 0, idleSince: performance.now() })
  }

  readonly #onSent = (message: unknown): void => {
    const { request, headers, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage
    const requestId = REQUEST_ID.exec(headers)?.[1]
    if (requestId === undefined) return
    const writtenAt = performance.now()
    const use = this.#uses.get(socket) ?? { calls: 0, idleSince: writtenAt }
    this.#uses.set(socket, use)
    this.#sockets.set(request, socket)
    const { calls: earlierCalls, idleSince } = use
    this.#connections.set(requestId, {
      writtenAt,
      earlierCalls,
      idleMs: writtenAt - idleSince,
      localPort: socket.localPort,
    })
    use.calls += 1
  }

  readonly #onCompleted = (message: unknown): void => {
    const { request } = message as DiagnosticsChannel.RequestTrailersMessage
    const socket = this.#sockets.get(request)
    const use = socket === undefined ? undefined : this.#uses.get(socket)
    if (use !== undefined) use.idleSince = performance.now()
  }
}
