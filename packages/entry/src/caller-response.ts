/** The response to the caller: a problem document, a stored response or the forwarded response of a server. */
import type { ServerResponse } from 'node:http'
import { toProblem, type CodeName, type Failure } from '@bilberrystall/base'
import type { CallerConnection } from './caller-connection'
import type { ResponseHead } from './head'

/**
 * Bodies up to this size are written as a string with the head; converting longer ones costs more than a second write.
 */
const MAX_STRING_BODY_BYTES = 4_096
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
  /** Head of the response that was begun. */
  #head: ResponseHead | undefined

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

  get finished(): boolean {
    return this.#response.writableEnded
  }

  /** Whether other requests are in progress on the connection, whose responses would be lost if it broke. */
  get isShared(): boolean {
    return this.#connection.isShared
  }

  /** Whether nothing was sent, and no other request would lose its response with the connection. */
  get canEndWithConnection(): boolean {
    return !this.hasStarted && !this.isShared
  }

  problem(cause: Failure, fields: Readonly<Record<string, string>> = {}, members: object = {}): void {
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

  /** Begins a response that is not complete yet with its head and what was received of its body. */
  begin(head: ResponseHead, body: Buffer | undefined): void {
    if (this.hasStarted || this.#response.destroyed) return
    this.#writeHead(head)
    if (body === undefined) this.#response.flushHeaders()
    else this.write(body, undefined)
  }

  /** Returns false if the caller reads more slowly than the server sends; `drained` is called when it can continue. */
  write(part: Buffer, drained: (() => void) | undefined): boolean {
    if (this.#response.write(part)) return true
    if (drained !== undefined) this.#response.once('drain', drained)
    return false
  }

  /** Ends a response, which begins with its head if it was not begun before, with the rest of its body. */
  complete(head: ResponseHead, body: Buffer | undefined): void {
    if (!this.hasStarted) {
      if (!head.delimited) this.#endWithConnection()
      this.#writeHead(head)
    }
    if (body === undefined) this.#response.end()
    // Node.js joins the head and a string body in one write; a buffer would be written separately by a slower call.
    else if (body.length <= MAX_STRING_BODY_BYTES) this.#response.end(body.toString('latin1'), 'latin1')
    else this.#response.end(body)
  }

  /** Aborts the transfer, which the caller sees as a truncated response. */
  abort(): void {
    const hasEnd = this.#head?.length !== undefined || this.#response.chunkedEncoding
    if (this.hasStarted && hasEnd) {
      this.#connection.breakOff(this.#response)
      return
    }
    this.#connection.stopAccepting()
    this.#response.destroy()
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

  #writeHead(head: ResponseHead): void {
    this.#head = head
    const { status, fields } = head
    const added = this.#added('complete')
    const close = this.#closesConnection() ? ['connection', 'close'] : []
    const isUnchanged = added.length === 0 && close.length === 0
    this.#response.writeHead(status, isUnchanged ? (fields as string[]) : [...fields, ...added, ...close])
  }
}
