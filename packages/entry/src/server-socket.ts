/**
 * A socket to a server that bounds the work which received bytes cause. The HTTP parser gets them in parts, as long as the
 * read budget of the turn lasts; the rest waits. A response is cut off when too many of its bytes carry no body: a head,
 * chunk extensions or trailer fields without an end. A head that is joined from two messages does not reach the parser.
 */
import { Socket } from 'node:net'
import { HeadScan } from './message-boundary'
import { ReadBudget } from './read-budget'
import { RefusedBytes } from './response-refusal'

/** The parser cannot be stopped within a part, and each field or chunk in it costs time, so a part must be small. */
const PART_BYTES = 2_048
/** Parts of a body that has a length cost little. */
const BODY_PART_BYTES = 65_536
/** Maximum size of all that precedes the body of a response, with interim responses. */
const MAX_HEAD_BYTES = 32_768
/** Maximum size of what frames the body of a response, beside the framing that each of its bytes may have. */
const MAX_FRAMING_BYTES = 16_384
/** Framing of a body that is sent in chunks of one byte, with room for short extensions. */
const FRAMING_BYTES_PER_BODY_BYTE = 16

/** All connections of the process share the time of its event loop. */
const readBudget = new ReadBudget()

export class ServerSocket extends Socket {
  /** Whether bytes were received behind a response that ended the connection. */
  hasDiscardedBytes = false
  /** Whether the response in progress is paused. */
  isResponsePaused = false
  /** Time at which the parser got the last part, until it asks for the next one. */
  #parsedSince: number | undefined
  #isWaiting = false
  #partBytes = PART_BYTES
  /** Bytes of the current head, or of the framing of the current body. */
  #overheadBytes = 0
  #maxOverheadBytes = MAX_HEAD_BYTES
  #passOn: (() => void) | undefined
  /** Undefined after the head of the response. */
  #headScan: HeadScan | undefined

  constructor() {
    super({ noDelay: true, keepAlive: true } as ConstructorParameters<typeof Socket>[0])
  }

  /**
   * A request was sent: the next bytes are the head of its response. `passOn` is called after each part that was parsed;
   * its work counts as that of the part.
   */
  expectHead(passOn: () => void): void {
    this.#passOn = passOn
    this.#headScan = new HeadScan()
    this.#partBytes = PART_BYTES
    this.#overheadBytes = 0
    this.#maxOverheadBytes = MAX_HEAD_BYTES
  }

  onHeadComplete(hasLength: boolean): void {
    this.#headScan = undefined
    if (hasLength) this.#partBytes = BODY_PART_BYTES
    this.#overheadBytes = 0
    this.#maxOverheadBytes = MAX_FRAMING_BYTES
  }

  onBody(bytes: number): void {
    this.#overheadBytes -= bytes * (1 + FRAMING_BYTES_PER_BODY_BYTE)
  }

  /** Called by the next read, and when the parser pauses within a part. */
  onPartParsed(): void {
    const parsedSince = this.#parsedSince
    if (parsedSince === undefined) return
    this.#parsedSince = undefined
    this.#passOn?.()
    readBudget.end(parsedSince)
  }

  /** The parser calls it without a size until it returns null. */
  override read(size?: number): unknown {
    if (size !== undefined) return super.read(size)
    this.onPartParsed()
    if (this.readableLength === 0) return super.read()
    if (this.#isWaiting || this.destroyed || this.#isOverheadTooLarge()) return null
    if (readBudget.isSpent) {
      this.#wait()
      return null
    }
    const bytes = Math.min(this.readableLength, this.#partBytes)
    this.#overheadBytes += bytes
    this.#parsedSince = readBudget.begin()
    const part = super.read(bytes) as Buffer | null
    return part === null || !this.#isHeadJoined(part) ? part : null
  }

  /** The parser returns what it has not parsed; of a socket that it destroyed, this is what followed the response. */
  override unshift(bytes: Buffer): void {
    if (!this.destroyed) super.unshift(bytes)
    else if (bytes.length > 0) this.hasDiscardedBytes = true
  }

  /**
   * The parser takes a reset for the end of a response that ends with its connection, and throws if it is paused then. A
   * paused response is not complete, so its connection fails with another error.
   */
  override _destroy(cause: Error | null, callback: (cause?: Error | null) => void): void {
    const isReset = this.isResponsePaused && cause !== null && 'code' in cause && cause.code === 'ECONNRESET'
    super._destroy(isReset ? new Error('the server reset a paused response', { cause }) : cause, callback)
  }

  #isHeadJoined(part: Buffer): boolean {
    if (this.#headScan?.add(part) !== true) return false
    this.destroy(new RefusedBytes({ kind: 'joined-heads' }))
    return true
  }

  #isOverheadTooLarge(): boolean {
    if (this.#overheadBytes < this.#maxOverheadBytes) return false
    this.destroy(new Error(`${this.#maxOverheadBytes} bytes of the response carried no body`))
    return true
  }

  #wait(): void {
    this.#isWaiting = true
    readBudget.wait(() => {
      this.#isWaiting = false
      if (!this.destroyed) this.emit('readable')
    })
  }
}
