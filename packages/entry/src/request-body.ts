/**
 * Body of a caller's request. Up to a limit it is buffered before a server is chosen: a body that fits is known to be
 * complete and can be sent again, and a slow sender does not occupy a server. A longer body is streamed, starting with
 * the buffered part.
 */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { CodeName } from '@bilberrystall/base'

export interface RequestBodyOptions {
  readonly request: IncomingMessage
  /** Undefined for a chunked body. */
  readonly length: number | undefined
  readonly maxBytes: number
  readonly bufferBytes: number
  readonly now: () => number
}

export type BufferResult = { readonly kind: 'ready' } | { readonly kind: 'failed'; readonly code: CodeName }

export class RequestBody {
  readonly #options: RequestBodyOptions
  readonly #parts: Buffer[] = []
  #bytes = 0
  #ended = false
  #streaming = false
  /** SHA-256 of the part that was buffered before streaming. */
  #prefixDigest: Buffer | undefined
  /** Time in ms at which the entry began to wait for data from the caller; undefined while it does not wait. */
  waitingSince: number | undefined
  /** Time in ms at which the server last accepted a chunk of a streamed body. */
  acceptedAt = -Infinity
  /** Result code if the caller caused the stream to fail. */
  failureCode: CodeName | undefined

  constructor(options: RequestBodyOptions) {
    this.#options = options
    this.#ended = options.length === 0
  }

  /** The complete body if it was buffered before sending, otherwise undefined. */
  get buffered(): Buffer | undefined {
    if (!this.#ended || this.#streaming) return undefined
    if (this.#parts.length !== 1) this.#parts.splice(0, Infinity, Buffer.concat(this.#parts))
    return this.#parts[0]
  }

  /** Bytes that identify the body: its content, or a digest of its first part and its length if it is streamed. */
  get identity(): Buffer {
    return this.buffered ?? Buffer.from(`${this.#digestOfParts().toString('hex')} ${this.#options.length ?? ''}`)
  }

  #digestOfParts(): Buffer {
    if (this.#prefixDigest !== undefined) return this.#prefixDigest
    const hash = createHash('sha256')
    for (const part of this.#parts) hash.update(part)
    return hash.digest()
  }

  /** Whether the body can be sent: it is buffered, or no part of it was streamed yet. */
  get canSend(): boolean {
    return !this.#streaming
  }

  /** Whether the whole body has been received. */
  get received(): boolean {
    return this.#ended || this.#options.request.complete
  }

  buffer(done: (result: BufferResult) => void): void {
    const { request, length, maxBytes, bufferBytes, now } = this.#options
    if (length !== undefined && length > maxBytes) {
      done({ kind: 'failed', code: 'bodyTooLarge' })
      return
    }
    if (this.#ended) {
      done({ kind: 'ready' })
      return
    }
    this.waitingSince = now()
    const finish = (result: BufferResult) => {
      request.pause()
      request.off('data', onData).off('end', onEnd).off('error', onError)
      this.waitingSince = undefined
      done(result)
    }
    const onData = (part: Buffer) => {
      this.#parts.push(part)
      this.#bytes += part.length
      if (this.#bytes > maxBytes) finish({ kind: 'failed', code: 'bodyTooLarge' })
      else if (this.#bytes > bufferBytes) finish({ kind: 'ready' })
    }
    const onEnd = () => {
      this.#ended = true
      finish({ kind: 'ready' })
    }
    const onError = () => {
      finish({ kind: 'failed', code: 'bodyIncomplete' })
    }
    request.on('data', onData).on('end', onEnd).on('error', onError)
  }

  /** Streams the body once: the buffered part, then the rest as fast as the server accepts it. */
  async *stream(): AsyncGenerator<Buffer> {
    this.#prefixDigest = this.#digestOfParts()
    this.#streaming = true
    yield* this.#parts.splice(0)
    if (this.#ended) return
    const rest = this.#options.request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>
    for (;;) {
      const next = await this.#readNext(rest)
      if (next === undefined) return
      yield next
    }
  }

  async #readNext(rest: AsyncIterator<Buffer>): Promise<Buffer | undefined> {
    const now = this.#options.now()
    this.acceptedAt = now
    this.waitingSince = now
    let result: IteratorResult<Buffer>
    try {
      result = await rest.next()
    } catch (cause) {
      this.failureCode ??= 'bodyCutShort'
      throw cause
    }
    this.waitingSince = undefined
    if (result.done === true) {
      this.#ended = true
      return undefined
    }
    this.#bytes += result.value.length
    if (this.#bytes > this.#options.maxBytes) {
      this.failureCode = 'bodyOverflow'
      throw new Error('the request body is larger than its limit')
    }
    return result.value
  }
}
