/** The response to the caller: a problem document, a stored response or the forwarded response of a server. */
import type { ServerResponse } from 'node:http'
import { toProblem, type CodeName, type Failure } from '@bilberrystall/base'
import type { CallerConnection } from './caller-connection'
import type { ResponseHead } from './head'

/**
 * Bodies up to this size are written as a string with the head; converting longer ones costs more than a second write.
 */
const MAX_STRING_BODY_BYTES = 4_096
/** Responses up to this size are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 65_536
/**
 * Maximum time for which a response of unknown length is buffered, so that streaming responses are not delayed longer.
 */
const MAX_BUFFERED_MS = 30
/**
 * Maximum time for which a response is buffered that breaks off if it is begun before it is complete: while other requests
 * are in progress on the connection, because theirs break off with it, and if it ends with its connection, because its
 * caller cannot tell its end from a break.
 */
const MAX_WHOLE_BUFFERED_MS = 1_000
const PROBLEM_TYPE = 'application/problem+json'

export interface CallerResponseOptions {
  readonly response: ServerResponse
  readonly connection: CallerConnection
  /** Returns whether the whole body of the request was received. */
  readonly isBodyReceived: () => boolean
  /** Returns header fields to add, as alternating names and values, for the result of the call. */
  readonly added?: (result: CodeName | 'complete') => readonly string[]
}

export class CallerResponse {
  readonly #response: ServerResponse
  readonly #connection: CallerConnection
  readonly #isBodyReceived: () => boolean
  readonly #added: (result: CodeName | 'complete') => readonly string[]
  #head: ResponseHead | undefined
  #bufferedBytes = 0
  #flushTimer: NodeJS.Timeout | undefined
  readonly #buffered: Buffer[] = []

  constructor({ response, connection, isBodyReceived, added = () => [] }: CallerResponseOptions) {
    this.#response = response
    this.#connection = connection
    this.#isBodyReceived = isBodyReceived
    this.#added = added
  }

  /** Whether any byte of a response may have reached the caller. */
  get hasStarted(): boolean {
    return this.#response.headersSent
  }

  /** Whether no response head has arrived from a server. */
  get isEmpty(): boolean {
    return this.#head === undefined
  }

  /** Whether another server could still provide the response. */
  get isUntouched(): boolean {
    return !this.hasStarted && this.isEmpty
  }

  get finished(): boolean {
    return this.#response.writableEnded
  }

  /** Whether nothing was sent, and no other request would lose its response with the connection. */
  get canEndWithConnection(): boolean {
    return !this.#response.headersSent && !this.#connection.isShared
  }

  problem(cause: Failure, fields: Readonly<Record<string, string>> = {}, members: object = {}): void {
    this.reset()
    const body = { ...toProblem(cause), ...members }
    const text = Buffer.from(JSON.stringify(body))
    const length = String(text.length)
    const head = [...Object.entries(fields).flat(), 'content-type', PROBLEM_TYPE, 'content-length', length]
    const close = this.#closesConnection() ? ['connection', 'close'] : []
    this.#response.writeHead(body.status, [...head, ...this.#added(cause.code), ...close])
    this.#response.end(text)
  }

  replay(status: number, contentType: string | undefined, body: Uint8Array): void {
    const type = contentType === undefined ? {} : { 'content-type': contentType }
    const close = this.#closesConnection() ? { connection: 'close' } : {}
    this.#response.writeHead(status, { ...type, ...close, 'idempotent-replayed': 'true' })
    this.#response.end(body)
  }

  /**
   * Accepts the head of a response. A short response is buffered until it is complete, so that a truncated one can
   * still be replaced by that of another attempt or by a problem document.
   */
  head(head: ResponseHead): void {
    this.#head = head
    if (head.length !== undefined && head.length <= MAX_BUFFERED_BYTES) return
    // A long response, or one of unknown length that is not complete in time, is streamed.
    if (head.length !== undefined && !this.#connection.isShared) process.nextTick(this.#flush)
    else this.#flushTimer = setTimeout(this.#tryFlush, MAX_BUFFERED_MS, MAX_BUFFERED_MS)
  }

  /** Returns false if the caller reads more slowly than the server sends; `drained` is called when it can continue. */
  data(part: Buffer, drained: () => void): boolean {
    if (!this.#response.headersSent) {
      this.#buffered.push(part)
      this.#bufferedBytes += part.length
      if (this.#bufferedBytes <= MAX_BUFFERED_BYTES) return true
      this.#flush()
      return true
    }
    return this.#write(part, drained)
  }

  end(): void {
    clearTimeout(this.#flushTimer)
    const buffered = this.#takeBuffered()
    if (this.#head?.delimited === false) this.#endWithConnection()
    this.#writeHead()
    if (buffered === undefined) this.#response.end()
    // Node.js joins the head and a string body in one write; a buffer would be written separately by a slower call.
    else if (buffered.length <= MAX_STRING_BODY_BYTES) this.#response.end(buffered.toString('latin1'), 'latin1')
    else this.#response.end(buffered)
  }

  /** Discards a response that was truncated before any of it was forwarded. */
  reset(): void {
    clearTimeout(this.#flushTimer)
    this.#head = undefined
    this.#takeBuffered()
  }

  /** Aborts the transfer, which the caller sees as a truncated response. */
  abort(): void {
    const hasEnd = this.#head?.length !== undefined || this.#response.chunkedEncoding
    this.reset()
    if (this.hasStarted && hasEnd) {
      this.#connection.breakOff(this.#response)
      return
    }
    this.#connection.stopAccepting()
    this.#response.destroy()
  }

  readonly #tryFlush = (bufferedMs: number): void => {
    const shouldBeWhole = this.#connection.isShared || this.#head?.delimited === false
    if (!shouldBeWhole || bufferedMs >= MAX_WHOLE_BUFFERED_MS) this.#flush()
    else this.#flushTimer = setTimeout(this.#tryFlush, MAX_BUFFERED_MS, bufferedMs + MAX_BUFFERED_MS)
  }

  readonly #flush = (): void => {
    if (this.#head === undefined || this.#response.writableEnded || this.#response.destroyed) return
    const buffered = this.#takeBuffered()
    this.#writeHead()
    if (buffered === undefined) this.#response.flushHeaders()
    else this.#write(buffered, undefined)
  }

  #takeBuffered(): Buffer | undefined {
    const buffered = this.#buffered.splice(0)
    this.#bufferedBytes = 0
    return buffered.length > 1 ? Buffer.concat(buffered) : buffered[0]
  }

  #write(part: Buffer, drained: (() => void) | undefined): boolean {
    if (this.#response.write(part)) return true
    if (drained !== undefined) this.#response.once('drain', drained)
    return false
  }

  /** The response gets neither a length nor chunks, which would say that it is complete. */
  #endWithConnection(): void {
    this.#connection.stopAccepting()
    this.#response.useChunkedEncodingByDefault = false
    this.#response.shouldKeepAlive = false
  }

  #closesConnection(): boolean {
    return this.#connection.closesBehind(this.#response, this.#isBodyReceived())
  }

  #writeHead(): void {
    if (this.#head === undefined || this.#response.headersSent) return
    const { status, fields } = this.#head
    const added = this.#added('complete')
    const close = this.#closesConnection() ? ['connection', 'close'] : []
    const isUnchanged = added.length === 0 && close.length === 0
    this.#response.writeHead(status, isUnchanged ? (fields as string[]) : [...fields, ...added, ...close])
  }
}
