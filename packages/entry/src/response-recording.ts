/** Copy of one response to a call with an idempotency key, kept for replays. Longer bodies than the limit are left out. */
import { MAX_STORED_BODY_BYTES, type Ending } from '@bilberrystall/claims'
import type { ResponseHead } from './head'

export class ResponseRecording {
  readonly #head: ResponseHead
  #bodyParts: Buffer[] = []
  #bodyBytes = 0

  constructor(head: ResponseHead) {
    this.#head = head
  }

  add(part: Buffer): void {
    this.#bodyBytes += part.length
    if (this.#bodyBytes <= MAX_STORED_BODY_BYTES) this.#bodyParts.push(Buffer.from(part))
    else this.#bodyParts = []
  }

  ending(): Ending {
    const { status, contentType } = this.#head
    const type = contentType === undefined ? {} : { contentType }
    const isStored = this.#bodyBytes <= MAX_STORED_BODY_BYTES
    const body = isStored ? { body: new Uint8Array(Buffer.concat(this.#bodyParts)) } : {}
    return { kind: 'response', status, ...type, ...body }
  }
}
