/** The response to the caller: a problem, a kept response, or the response of a server passed on as it arrives. */
import type { ServerResponse } from 'node:http'
import { problem, type Failure } from '@bilberrystall/base'
import type { ResponseHead } from './head'

const PROBLEM_TYPE = 'application/problem+json'

export class Reply {
  readonly #response: ServerResponse
  readonly #closeAfter: () => boolean
  #head: ResponseHead | undefined
  #flush: NodeJS.Immediate | undefined

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
    this.#cancelFlush()
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

  /** The head waits for the first part of the body, so that a short response leaves in one write. */
  head(head: ResponseHead): void {
    this.#head = head
    this.#flush = setImmediate(() => {
      this.#writeHead()
      this.#response.flushHeaders()
    })
  }

  /** Returns false when the caller is slower than the server; `drained` tells when to go on. */
  data(part: Buffer, drained: () => void): boolean {
    this.#writeHead()
    if (this.#response.write(part)) return true
    this.#response.once('drain', drained)
    return false
  }

  end(): void {
    this.#writeHead()
    this.#response.end()
  }

  /** Aborts the transfer, which the caller sees as a broken response. */
  abort(): void {
    this.#cancelFlush()
    this.#response.destroy()
  }

  #writeHead(): void {
    this.#cancelFlush()
    if (this.#head === undefined || this.#response.headersSent) return
    const fields = this.#closeAfter() ? [...this.#head.fields, 'connection', 'close'] : [...this.#head.fields]
    this.#response.writeHead(this.#head.status, fields)
  }

  #cancelFlush(): void {
    if (this.#flush !== undefined) clearImmediate(this.#flush)
    this.#flush = undefined
  }
}
