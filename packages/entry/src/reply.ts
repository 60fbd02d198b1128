/** The response to the caller: a problem document, a stored response or the forwarded response of a server. */
import type { ServerResponse } from 'node:http'
import { problem, type Failure } from '@bilberrystall/base'
import type { ResponseHead } from './head'

/**
 * Bodies up to this size are written as a string with the head; converting longer ones costs more than a second write.
 */
const JOIN_BYTES = 4_096
/** Responses up to this size are buffered until they are complete. */
const HELD_BYTES = 65_536
/**
 * Maximum time for which a response of unknown length is buffered, so that streaming responses are not delayed longer.
 */
const HELD_MS = 30
const PROBLEM_TYPE = 'application/problem+json'

export class Reply {
  readonly #response: ServerResponse
  readonly #closeAfter: () => boolean
  #head: ResponseHead | undefined
  #heldBytes = 0
  #timer: NodeJS.Timeout | undefined
  readonly #held: Buffer[] = []

  /** `closeAfter` returns whether the connection to the caller closes after the response. */
  constructor(response: ServerResponse, closeAfter: () => boolean) {
    this.#response = response
    this.#closeAfter = closeAfter
  }

  /** Whether any byte of a response may have reached the caller. */
  get begun(): boolean {
    return this.#response.headersSent
  }

  /** Whether no response head has arrived from a server. */
  get isEmpty(): boolean {
    return this.#head === undefined
  }

  get finished(): boolean {
    return this.#response.writableEnded
  }

  problem(cause: Failure, fields: Readonly<Record<string, string>> = {}, members: object = {}): void {
    this.reset()
    const body = { ...problem(cause), ...members }
    const text = Buffer.from(JSON.stringify(body))
    const head = { ...fields, 'content-type': PROBLEM_TYPE, 'content-length': String(text.length) }
    this.#response.writeHead(body.status, this.#closeAfter() ? { ...head, connection: 'close' } : head)
    this.#response.end(text)
  }

  kept(status: number, contentType: string | undefined, body: Uint8Array): void {
    const type = contentType === undefined ? {} : { 'content-type': contentType }
    const close = this.#closeAfter() ? { connection: 'close' } : {}
    this.#response.writeHead(status, { ...type, ...close, 'idempotent-replayed': 'true' })
    this.#response.end(body)
  }

  /**
   * Accepts the head of a response. A short response is buffered until it is complete, so that a truncated one can
   * still be replaced by that of another attempt or by a problem document.
   */
  head(head: ResponseHead): void {
    this.#head = head
    if (head.length !== undefined && head.length <= HELD_BYTES) return
    // A long response, or one of unknown length that is not complete in time, is streamed.
    if (head.length === undefined) this.#timer = setTimeout(this.#flush, HELD_MS)
    else process.nextTick(this.#flush)
  }

  /** Returns false if the caller reads more slowly than the server sends; `drained` is called when it can continue. */
  data(part: Buffer, drained: () => void): boolean {
    if (!this.#response.headersSent) {
      this.#held.push(part)
      this.#heldBytes += part.length
      if (this.#heldBytes <= HELD_BYTES) return true
      this.#flush()
      return true
    }
    return this.#write(part, drained)
  }

  end(): void {
    clearTimeout(this.#timer)
    const held = this.#takeHeld()
    this.#writeHead()
    if (held === undefined) this.#response.end()
    // Node.js writes head and body as one string; a buffer would need a second, slower write.
    else if (held.length <= JOIN_BYTES) this.#response.end(held.toString('latin1'), 'latin1')
    else this.#response.end(held)
  }

  /** Discards a response that was truncated before any of it was forwarded. */
  reset(): void {
    clearTimeout(this.#timer)
    this.#head = undefined
    this.#takeHeld()
  }

  /** Aborts the transfer, which the caller sees as a truncated response. */
  abort(): void {
    this.reset()
    this.#response.destroy()
  }

  readonly #flush = (): void => {
    if (this.#head === undefined || this.#response.writableEnded || this.#response.destroyed) return
    const held = this.#takeHeld()
    this.#writeHead()
    if (held === undefined) this.#response.flushHeaders()
    else this.#write(held, undefined)
  }

  #takeHeld(): Buffer | undefined {
    const held = this.#held.splice(0)
    this.#heldBytes = 0
    return held.length > 1 ? Buffer.concat(held) : held[0]
  }

  #write(part: Buffer, drained: (() => void) | undefined): boolean {
    if (this.#response.write(part)) return true
    if (drained !== undefined) this.#response.once('drain', drained)
    return false
  }

  #writeHead(): void {
    if (this.#head === undefined || this.#response.headersSent) return
    const { status, fields } = this.#head
    this.#response.writeHead(status, this.#closeAfter() ? [...fields, 'connection', 'close'] : (fields as string[]))
  }
}
