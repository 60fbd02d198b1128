/**
 * One request and its response on one connection. Reports exactly one of `ended` and `failed`, and destroys the
 * connection of an exchange that did not complete before it reports the failure.
 */
import type { Dispatcher } from 'undici'
import type { Connection } from './connection'
import type { Dialect } from './dialect'
import { parseResponseHead, type ResponseHead } from './head'
import { BodyScan, BodySearch } from './message-boundary'
import { RefusedBytes, type ResponseRefusal } from './response-refusal'

export interface ExchangeRequest {
  readonly method: string
  readonly target: string
  /** Alternating names and values. */
  readonly fields: string[]
  readonly body: Buffer | AsyncGenerator<Buffer> | undefined
  /** Attempt id that the response must return, if the dialect has one. */
  readonly attemptId?: string | undefined
  /** Maximum size of the body of the response; a longer one is cut off. */
  readonly maxResponseBytes?: number
}

/** Limit for responses to load queries and probes, whose bodies are not used. */
export const MAX_UNUSED_BODY_BYTES = 65_536

export interface ExchangeEvents {
  readonly head: (head: ResponseHead) => void
  /** Returns false to pause the response until `resume`. */
  readonly data: (part: Buffer) => boolean
  readonly ended: () => void
  /** `sent` is true if any byte of the request was written to the connection. */
  readonly failed: (sent: boolean) => void
}

const FIRST_FINAL_STATUS = 200
/** RFC 9110 calls higher statuses invalid, so a response with one is none. */
const LAST_STATUS = 599
const MAX_INTERIM_RESPONSES = 16
/** Smaller pieces of a body are collected until the part in which they arrived is parsed. */
const MIN_PIECE_BYTES = 1_024

/** Prevents undici from deriving the server name from the host header; only TLS uses it. */
const UNUSED_SERVER_NAME = 'none'

/** undici calls the methods that start with `on`. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly connection: Connection
  readonly #events: ExchangeEvents
  readonly #bytesWrittenBefore: number
  readonly #now: () => number
  readonly #dialect: Dialect
  #attemptId: string | undefined
  #controller: Dispatcher.DispatchController | undefined
  #head: ResponseHead | undefined
  #finished = false
  #interimResponses = 0
  #bodyBytes = 0
  #maxBodyBytes = Infinity
  #expectsBody = true
  /** Present for a body that ends with its connection. */
  #bodyScan: BodyScan | undefined
  /** Present for a body that has a length. */
  #bodySearch: BodySearch | undefined
  #pieces: Buffer[] = []
  #pieceBytes = 0
  /** Time in ms at which the server last sent data. */
  progressAt: number
  paused = false

  constructor(connection: Connection, events: ExchangeEvents, now: () => number, dialect: Dialect) {
    this.#dialect = dialect
    this.connection = connection
    this.#events = events
    this.#now = now
    this.progressAt = now()
    this.#bytesWrittenBefore = connection.bytesWritten
  }

  get sent(): boolean {
    return this.connection.bytesWritten > this.#bytesWrittenBefore
  }

  get head(): ResponseHead | undefined {
    return this.#head
  }

  start(request: ExchangeRequest): void {
    const { method, target: path, fields: headers, body = null } = request
    this.#attemptId = request.attemptId
    this.#expectsBody = method !== 'HEAD'
    this.#maxBodyBytes = request.maxResponseBytes ?? Infinity
    const options = { method, path, headers, body, idempotent: false, servername: UNUSED_SERVER_NAME }
    this.connection.dispatch(options as Dispatcher.DispatchOptions, this, () => {
      this.#passOn()
    })
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.#progress()
    if (this.#finished) return
    if (status < FIRST_FINAL_STATUS) {
      this.#onInterimResponse(controller)
      return
    }
    if (status > LAST_STATUS) {
      this.#refuse({ kind: 'invalid-status', status })
      return
    }
    const parsed = parseResponseHead(status, controller.rawHeaders as Buffer[], this.#dialect)
    const head = this.#expectsBody ? parsed : { ...parsed, delimited: true }
    this.connection.onHeadComplete(head.length !== undefined)
    const refusal = this.#refusalOf(head)
    if (refusal !== undefined) {
      this.#refuse(refusal)
      return
    }
    this.#head = head
    if (head.attemptId !== undefined) this.connection.hasReturnedAttempt = true
    if (!head.delimited) this.#bodyScan = new BodyScan()
    else if (head.length !== undefined) this.#bodySearch = new BodySearch()
    this.#events.head(head)
  }

  /** Interim responses are not passed on. A server that sends too many of them gives no answer. */
  #onInterimResponse(controller: Dispatcher.DispatchController): void {
    this.#interimResponses += 1
    if (this.#interimResponses <= MAX_INTERIM_RESPONSES) return
    controller.abort(new Error(`the server sent more than ${MAX_INTERIM_RESPONSES} interim responses`))
  }

  onResponseData(_: Dispatcher.DispatchController, received: Buffer): void {
    if (this.#finished) return
    this.connection.onBody(received.length)
    this.#bodyBytes += received.length
    if (this.#bodyBytes > this.#maxBodyBytes) {
      this.#fail()
      return
    }
    const piece = this.#bodyScan === undefined ? received : this.#bodyScan.add(received)
    if (piece === undefined) {
      this.#refuse({ kind: 'head-in-body' })
      return
    }
    this.#bodySearch?.add(piece)
    this.#pieces.push(piece)
    this.#pieceBytes += piece.length
    if (this.#pieceBytes >= MIN_PIECE_BYTES) this.#passOn()
    // undici pauses behind the piece.
    if (this.paused) this.connection.onPause()
  }

  /** Whether bytes behind the response would show that its body is not whole. */
  get #mayBeJoined(): boolean {
    return this.#bodySearch?.mayBeJoined === true
  }

  /** Passes on what was collected. Each piece on its own would cost a write to the caller. */
  #passOn(): void {
    if (!this.#mayBeJoined) {
      this.#passOnPieces()
      return
    }
    // Without its last piece, the body is not whole for the caller.
    const last = this.#pieces.pop()
    if (last === undefined) return
    this.#pieceBytes -= last.length
    this.#passOnPieces()
    this.#pieces.push(last)
    this.#pieceBytes += last.length
  }

  #passOnPieces(): void {
    if (this.#finished || this.#pieceBytes === 0) return
    this.#progress()
    const [first, ...others] = this.#pieces
    const part = first === undefined || others.length > 0 ? Buffer.concat(this.#pieces, this.#pieceBytes) : first
    this.#pieces = []
    this.#pieceBytes = 0
    if (this.#events.data(part)) return
    this.paused = true
    this.connection.isResponsePaused = true
    this.#controller?.pause()
  }

  onResponseEnd(): void {
    this.#progress()
    if (this.#finished) return
    if (this.#bodyScan?.mayEnd === false) {
      this.#refuse({ kind: 'head-in-body' })
      return
    }
    if (this.#mayBeJoined) {
      this.connection.onResponseEnd()
      // The parser gets what follows in this turn.
      setImmediate(() => {
        if (this.connection.hasStrayBytes) this.#refuse({ kind: 'head-in-body' })
        this.#passOnPieces()
        this.#end()
      })
      return
    }
    this.#passOn()
    if (this.#head?.delimited !== false) {
      this.#end()
      return
    }
    // undici also reports a body as complete if the connection was reset. The reset is visible after this turn.
    setImmediate(() => {
      if (this.connection.broken || !this.connection.ended) this.#fail()
      else this.#end()
    })
  }

  #end(): void {
    if (this.#finished) return
    this.#finished = true
    this.connection.onResponseEnd()
    this.#events.ended()
  }

  onResponseError(_: Dispatcher.DispatchController, cause: Error): void {
    if (cause instanceof RefusedBytes) this.#refuse(cause.refusal)
    else if (this.sent && this.connection.isCausedByBytes(cause))
      this.#refuse({ kind: 'malformed', detail: cause.message })
    else this.#fail()
  }

  #refuse(refusal: ResponseRefusal): void {
    if (!this.#finished) this.connection.refuse(refusal, this.#attemptId)
    this.#fail()
  }

  #fail(): void {
    if (this.#finished) return
    this.#finished = true
    const { sent } = this
    this.connection.destroy()
    this.#events.failed(sent)
  }

  resume(): void {
    if (!this.paused) return
    this.paused = false
    this.progressAt = this.#now()
    // The parsers of undici share their state: one cannot be resumed while another one runs.
    queueMicrotask(() => {
      this.connection.isResponsePaused = false
      this.#controller?.resume()
    })
  }

  /** Ends the exchange without an event and closes the connection, which also cancels the request at the server. */
  cancel(): void {
    this.#finished = true
    this.connection.destroy()
  }

  /** Refuses a late response to an earlier request and a success that the server did not sign. */
  #refusalOf(head: ResponseHead): ResponseRefusal | undefined {
    const { repeatedField, signed, encoded } = head
    if (repeatedField !== undefined) return { kind: 'repeated-field', field: repeatedField }
    const mismatch = head.attemptId === this.#attemptId ? undefined : this.#mismatchOf(head)
    if (mismatch !== undefined || !isSuccess(head)) return mismatch
    if (this.#dialect.signatureHeader === undefined || this.#attemptId === undefined) return undefined
    if (!signed) return { kind: 'unsigned' }
    return encoded ? { kind: 'encoded' } : undefined
  }

  #mismatchOf(head: ResponseHead): ResponseRefusal | undefined {
    const { attemptId, notRun } = head
    if (attemptId !== undefined) return { kind: 'other-attempt', received: attemptId }
    const { attemptIds } = this.#dialect
    switch (attemptIds) {
      case 'caller':
        if (!notRun) return { kind: 'other-attempt', received: undefined }
        // Nothing can be left of an earlier request on a new connection.
        return this.connection.requests > 1 ? { kind: 'unnamed-refusal' } : undefined
      case 'entry':
        // Failures may come from a layer of the server that does not know the header.
        if (!this.connection.hasReturnedAttempt || !(isSuccess(head) || notRun)) return undefined
        return notRun ? { kind: 'unnamed-refusal' } : { kind: 'other-attempt', received: undefined }
    }
  }

  #progress(): void {
    this.progressAt = this.#now()
    this.connection.receivedAt = this.progressAt
  }
}

function isSuccess({ status }: ResponseHead): boolean {
  return status >= 200 && status < 300
}
