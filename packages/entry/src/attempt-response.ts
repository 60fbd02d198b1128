/**
 * What was received of the response to one attempt. A short response is buffered until it is complete, so that one that
 * breaks off can still be replaced by that of another attempt or by a problem document. The buffer belongs to its attempt
 * and ends with it, so the caller never gets bytes of two attempts.
 */
import type { CallerResponse } from './caller-response'
import type { ResponseHead } from './head'
import type { ResponseRecording } from './response-recording'

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

export interface AttemptResponseOptions {
  readonly head: ResponseHead
  /** Whether a body follows the head; a response to HEAD may name the length of a body that it does not have. */
  readonly hasBody: boolean
  readonly caller: CallerResponse
  /** Copy of the response for replays, if its call has a key. */
  readonly recording?: ResponseRecording | undefined
  /** Called before the first byte is sent to the caller: no other attempt can provide the response any more. */
  readonly committed: () => void
}

type State = 'buffered' | 'streamed' | 'closed'

export class AttemptResponse {
  readonly #options: AttemptResponseOptions
  readonly #buffered: Buffer[] = []
  #state: State = 'buffered'
  #bytes = 0
  #flushTimer: NodeJS.Timeout | undefined

  constructor(options: AttemptResponseOptions) {
    this.#options = options
    const { head, caller } = options
    if (head.length !== undefined && head.length <= MAX_BUFFERED_BYTES) return
    // A long response, or one of unknown length that is not complete in time, is streamed.
    if (head.length !== undefined && !caller.isShared) process.nextTick(this.#flush)
    else this.#flushTimer = setTimeout(this.#tryFlush, MAX_BUFFERED_MS, MAX_BUFFERED_MS)
  }

  get recording(): ResponseRecording | undefined {
    return this.#options.recording
  }

  /** Whether the bytes received so far are the whole body that the head announced. */
  get isWhole(): boolean {
    const { head, hasBody } = this.#options
    return !hasBody || head.length === undefined || head.length === this.#bytes
  }

  /** Returns false if the caller reads more slowly than the server sends; `drained` is called when it can continue. */
  data(part: Buffer, drained: () => void): boolean {
    this.#bytes += part.length
    this.#options.recording?.add(part)
    switch (this.#state) {
      case 'buffered':
        this.#buffered.push(part)
        if (this.#bytes > MAX_BUFFERED_BYTES) this.#flush()
        return true
      case 'streamed':
        return this.#options.caller.write(part, drained)
      case 'closed':
        return true
    }
  }

  /** Sends what was not sent yet. The response is whole. */
  complete(): void {
    if (this.#state === 'closed') return
    const body = this.#close()
    this.#options.caller.complete(this.#options.head, body)
  }

  /** Discards what was not sent yet. */
  discard(): void {
    this.#close()
  }

  #close(): Buffer | undefined {
    this.#state = 'closed'
    clearTimeout(this.#flushTimer)
    return this.#takeBuffered()
  }

  readonly #tryFlush = (bufferedMs: number): void => {
    const { caller, head } = this.#options
    const shouldBeWhole = caller.isShared || !head.delimited
    if (!shouldBeWhole || bufferedMs >= MAX_WHOLE_BUFFERED_MS) this.#flush()
    else this.#flushTimer = setTimeout(this.#tryFlush, MAX_BUFFERED_MS, bufferedMs + MAX_BUFFERED_MS)
  }

  readonly #flush = (): void => {
    if (this.#state !== 'buffered') return
    clearTimeout(this.#flushTimer)
    this.#options.committed()
    this.#state = 'streamed'
    this.#options.caller.begin(this.#options.head, this.#takeBuffered())
  }

  #takeBuffered(): Buffer | undefined {
    const buffered = this.#buffered.splice(0)
    return buffered.length > 1 ? Buffer.concat(buffered) : buffered[0]
  }
}
