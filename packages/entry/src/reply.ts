/** The response to the caller: a problem, a kept response, or the response of a server passed on as it arrives. */
import type { ServerResponse } from 'node:http'
import { problem, type Failure } from '@bilberrystall/base'
import type { ResponseHead } from './head'

/** Longer bodies cost more to convert than the second write does. */
const JOIN_BYTES = 4_096
/** Responses up to this size are held until they are complete. */
const HELD_BYTES = 65_536
/** Longest time for which a response of unknown length is held, so that streams flow. */
const HELD_MS = 30
const PROBLEM_TYPE = 'application/problem+json'

export class Reply {
  readonly #response: ServerResponse
  readonly #closeAfter: () => boolean
  #head: ResponseHead | undefined
  #heldBytes = 0
  #timer: NodeJS.Timeout | undefined
  readonly #held: Buffer[] = []

  /** `closeAfter`: whether the caller must not use its connection again. */
  constructor(response: ServerResponse, closeAfter: () => boolean) {
    this.#response = response
    this.#closeAfter = closeAfter
  }

  /** Whether a byte of a response may have reached the caller. */
  get begun(): boolean {
    return this.#response.headersSent
  }

  /** Whether nothing of a response has arrived. */
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
   * Takes the head of a response. A short response is held until it is complete, so that one that breaks off can still
   * be replaced by another attempt or by a failure that says so.
   */
  head(head: ResponseHead): void {
    this.#head = head
    if (head.length !== undefined && head.length <= HELD_BYTES) return
    // A longer one, or one of unknown length that takes its time, passes through as it arrives.
    if (head.length === undefined) this.#timer = setTimeout(this.#flush, HELD_MS)
    else process.nextTick(this.#flush)
  }

  /** Returns false when the caller is slower than the server; `drained` tells when to go on. */
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
    // Node.js joins head and body in one string; a buffer would be written beside the head with a slower call.
    else if (held.length <= JOIN_BYTES) this.#response.end(held.toString('latin1'), 'latin1')
    else this.#response.end(held)
  }

  /** Forgets a response that broke off before anything of it was passed on. */
  reset(): void {
    clearTimeout(this.#timer)
    this.#head = undefined
    this.#takeHeld()
  }

  /** Aborts the transfer, which the caller sees as a broken response. */
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
