/**
 * Finds the start of a second message in the head of a response. A server that sends the beginning of a message and then
 * another one gets them joined by the HTTP parser, which takes a status line for the rest of a reason phrase or of a field
 * value.
 */

/** A status line as any response starts with, up to the end of its status. */
const STATUS_LINE = /HTTP\/\d\.\d \d{3}(?=[ \r\n])/
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
      if (STATUS_LINE.test(head.slice(1, next))) return true
      this.#head = head.slice(next)
      // An interim response is followed by another head.
      if (!FINAL_STATUS.test(head)) continue
      this.#isEnded = true
      this.#head = ''
      return false
    }
  }
}
