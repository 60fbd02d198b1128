/** The response to the caller: a problem, a kept response, or the response of a server passed on as it arrives. */
import type { ServerResponse } from 'node:http'
import { problem, type Failure } from '@bilberrystall/base'
import type { ResponseHead } from './head'

/** Longer bodies cost more to convert than the second write does. */
const JOIN_BYTES = 4_096
const PROBLEM_TYPE = 'application/problem+json'

export class Reply {
  readonly #response: ServerResponse
  readonly #closeAfter: () => boolean
  #head: ResponseHead | undefined
  #first: Buffer | undefined

  /** `closeAfter`: whether the caller must not use its connection again. */
  constructor(response: ServerResponse, closeAfter: () => boolean) {
    this.#response = response
    this.#closeAfter = closeAfter
  }

  /** Whether a byte of a response may have reached the caller. */
  get begun(): boolean {
    return this.#response.headersSent
  }

  get finished(): boolean {
    return this.#response.writableEnded
  }

  problem(cause: Failure, fields: Readonly<Record<string, string>> = {}, members: object = {}): void {
    this.#head = undefined
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

  /** Head and first part wait for the end of the turn, so that a short response leaves in one write. */
  head(head: ResponseHead): void {
    this.#head = head
    process.nextTick(() => {
      this.#flush()
    })
  }

  /** Returns false when the caller is slower than the server; `drained` tells when to go on. */
  data(part: Buffer, drained: () => void): boolean {
    if (!this.#response.headersSent && this.#first === undefined) {
      this.#first = part
      return true
    }
    this.#flush()
    return this.#write(part, drained)
  }

  end(): void {
    const first = this.#first
    this.#first = undefined
    this.#writeHead()
    if (first === undefined) this.#response.end()
    // Node.js joins head and body in one string; a buffer would be written beside the head with a slower call.
    else if (first.length <= JOIN_BYTES) this.#response.end(first.toString('latin1'), 'latin1')
    else this.#response.end(first)
  }

  /** Aborts the transfer, which the caller sees as a broken response. */
  abort(): void {
    this.#head = undefined
    this.#response.destroy()
  }

  #flush(): void {
    if (this.#response.writableEnded || this.#response.destroyed) return
    const first = this.#first
    this.#first = undefined
    this.#writeHead()
    if (first === undefined) this.#response.flushHeaders()
    else this.#write(first, undefined)
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
