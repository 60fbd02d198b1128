/**
 * Finds the start of a second message where only one may be: in the head of a response, or in a body that ends with its
 * connection. A server that sends the beginning of a message and then another one gets them joined by the HTTP parser,
 * which takes a status line for the rest of a reason phrase, of a field value or of a body.
 */

/** A status line in all forms that the parser accepts, and some that it does not. */
const ANY_STATUS_LINE = /(?:HTTP|RTSP|ICE)\/\d[\d.]*[ \t]+\d{3}(?=[ \t\r\n])/i
/** A status line as any response starts with, up to the end of its status. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}(?=[ \r\n])/
const STATUS_LINE_EXAMPLE = 'HTTP/1.1 200 '
const STATUS_LINE_START = 'HTTP/'
/** End of the head of a message, in the forms that the parser accepts. */
const HEAD_END = /\n\r?\n/
const FINAL_STATUS = /^HTTP\/\d\.\d [2-9]/

/** Scans the bytes of a response up to the end of its final head. */
export class HeadScan {
  #head = ''
  #isEnded = false

  /** Adds received bytes. Returns whether a head contains the start of another message. */
  add(part: Buffer): boolean {
    if (this.#isEnded) return false
    this.#head += part.toString('latin1')
    for (;;) {
      // The parser ignores line ends before a message.
      const head = this.#head.replace(/^[\r\n]+/, '')
      const end = HEAD_END.exec(head)
      if (end === null) {
        this.#head = head
        return false
      }
      const next = end.index + end[0].length
      if (ANY_STATUS_LINE.test(head.slice(1, next))) return true
      this.#head = head.slice(next)
      // An interim response is followed by another head.
      if (!FINAL_STATUS.test(head)) continue
      this.#isEnded = true
      this.#head = ''
      return false
    }
  }
}

/**
 * Scans a body that ends with its connection. Bytes at its end that may be the start of a message are withheld until more
 * bytes follow, so that none of them is passed on.
 */
export class BodyScan {
  #withheld: Buffer = Buffer.alloc(0)

  /** Adds received bytes. Returns the bytes that may be passed on, or undefined after the start of another message. */
  add(part: Buffer): Buffer | undefined {
    const bytes = this.#withheld.length === 0 ? part : Buffer.concat([this.#withheld, part])
    const text = bytes.toString('latin1')
    if (STATUS_LINE.test(text)) return undefined
    const length = bytes.length - lengthOfStart(text)
    this.#withheld = bytes.subarray(length)
    return bytes.subarray(0, length)
  }

  /**
   * Whether the body may end here. A body that ends with bytes with which a status line starts, even with the `H` alone, is
   * refused: such an end is rare, and only a server that states the length of its bodies can show that it is one.
   */
  get mayEnd(): boolean {
    return this.#withheld.length === 0
  }
}

/**
 * Tells whether a body that has a length contains the start of a message, or ends with bytes with which one starts. Its
 * server may have sent a copy of another response within the body, which then ends too soon: what is left of the copy and
 * of the body follows. Nothing follows a body that only mentions a status line.
 */
export class BodySearch {
  #last = ''
  #isFound = false

  get mayBeJoined(): boolean {
    return this.#isFound || lengthOfStart(this.#last) > 0
  }

  add(part: Buffer): void {
    if (this.#isFound) return
    const kept = STATUS_LINE_EXAMPLE.length - 1
    const seam = this.#last + part.toString('latin1', 0, kept)
    this.#isFound =
      STATUS_LINE.test(seam) || (part.includes(STATUS_LINE_START) && STATUS_LINE.test(part.toString('latin1')))
    this.#last = (this.#last + part.toString('latin1', Math.max(0, part.length - kept))).slice(-kept)
  }
}

/** Length of the longest end of `text` with which a status line could start. */
function lengthOfStart(text: string): number {
  const first = Math.max(0, text.length - STATUS_LINE_EXAMPLE.length + 1)
  for (let index = text.indexOf('H', first); index >= 0; index = text.indexOf('H', index + 1)) {
    const length = text.length - index
    if (STATUS_LINE.test(text.slice(index) + STATUS_LINE_EXAMPLE.slice(length))) return length
  }
  return 0
}
