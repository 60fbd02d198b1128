/**
 * One request and its response on one connection. Exactly one of `ended` and `failed` is reported, and a connection
 * whose exchange did not complete is destroyed before that.
 */
import type { Dispatcher } from 'undici'
import type { Connection } from './connection'
import { readResponseHead, type ResponseHead } from './head'

export interface ExchangeRequest {
  readonly method: string
  readonly target: string
  /** Alternating names and values. */
  readonly fields: string[]
  readonly body: Buffer | AsyncGenerator<Buffer> | undefined
}

export interface ExchangeEvents {
  readonly head: (head: ResponseHead) => void
  /** Returns false to pause until `resume`. */
  readonly data: (part: Buffer) => boolean
  readonly ended: () => void
  /** `sent`: whether a byte of the request was written to the connection. */
  readonly failed: (sent: boolean) => void
}

export class Exchange {
  readonly connection: Connection
  readonly startedAt: number
  readonly #events: ExchangeEvents
  readonly #writtenBefore: number
  readonly #now: () => number
  #controller: Dispatcher.DispatchController | undefined
  #head: ResponseHead | undefined
  #finished = false
  /** Time in ms at which the server last sent something. */
  progressAt: number
  paused = false

  constructor(connection: Connection, events: ExchangeEvents, now: () => number) {
    this.connection = connection
    this.#events = events
    this.#now = now
    this.startedAt = now()
    this.progressAt = this.startedAt
    this.#writtenBefore = connection.bytesWritten
  }

  get sent(): boolean {
    return this.connection.bytesWritten > this.#writtenBefore
  }

  get head(): ResponseHead | undefined {
    return this.#head
  }

  start(request: ExchangeRequest): void {
    const { method, target: path, fields: headers, body } = request
    this.connection.dispatch(
      {
        method,
        path,
        headers,
        body: (body ?? null) as Dispatcher.DispatchOptions['body'],
        idempotent: false,
      } as Dispatcher.DispatchOptions,
      {
        onRequestStart: (controller) => {
          this.#controller = controller
        },
        onResponseStart: (controller, status) => {
          this.#onHead(status, controller.rawHeaders as Buffer[])
        },
        onResponseData: (controller, part) => {
          this.#onData(controller, part)
        },
        onResponseEnd: () => {
          this.#onEnd()
        },
        onResponseError: () => {
          this.#fail()
        },
      },
    )
  }

  resume(): void {
    if (!this.paused) return
    this.paused = false
    this.progressAt = this.#now()
    this.#controller?.resume()
  }

  /** Ends the exchange without a report and closes the connection, which also tells the server. */
  cancel(): void {
    this.#finished = true
    this.connection.destroy()
  }

  #progress(): void {
    this.progressAt = this.#now()
    this.connection.receivedAt = this.progressAt
  }

  #onHead(status: number, raw: readonly Buffer[]): void {
    this.#progress()
    if (this.#finished || status < 200) return
    this.#head = readResponseHead(status, raw)
    this.#events.head(this.#head)
  }

  #onData(controller: Dispatcher.DispatchController, part: Buffer): void {
    this.#progress()
    if (this.#finished) return
    if (this.#events.data(part)) return
    this.paused = true
    controller.pause()
  }

  #onEnd(): void {
    this.#progress()
    if (this.#finished) return
    const undelimited = this.#head?.delimited === false
    if (undelimited && this.connection.broken) {
      this.#fail()
      return
    }
    this.#finished = true
    this.#events.ended()
  }

  #fail(): void {
    if (this.#finished) return
    this.#finished = true
    const { sent } = this
    this.connection.destroy()
    this.#events.failed(sent)
  }
}
