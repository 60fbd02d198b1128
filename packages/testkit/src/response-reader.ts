/**
 * Reads HTTP/1.1 responses from the bytes of one connection, in order and in parts of any size. A body has a length, or
 * chunks that end with an empty one, or ends with the connection if the response announces the close. Throws for other
 * bytes, which no caller could read either.
 */
const HEAD_END = '\r\n\r\n'
const LINE_END = '\r\n'

export interface ReadResponse {
  readonly status: number
  readonly body: Buffer
  /** Value of the field `x-request-id`; empty if there is none. */
  readonly requestId: string
  /** Whether the response announces that the connection closes behind it. */
  readonly closes: boolean
}

interface Head {
  readonly status: number
  readonly fields: ReadonlyMap<string, string>
}

export class ResponseReader {
  #pending = Buffer.alloc(0)
  #head: Head | undefined
  #chunks: Buffer[] = []

  /** Whether a response has begun that is not whole. */
  get isInResponse(): boolean {
    return this.#head !== undefined || this.#pending.length > 0
  }

  /** Adds received bytes and yields the responses that are whole now. */
  *read(part: Buffer): Generator<ReadResponse> {
    this.#pending = Buffer.concat([this.#pending, part])
    for (let response = this.#readNext(); response !== undefined; response = this.#readNext()) yield response
  }

  /** Returns the response whose body ended with the connection, if there is one. */
  end(): ReadResponse | undefined {
    if (this.#head === undefined || !endsWithConnection(this.#head)) return undefined
    return this.#complete(this.#head, this.#take(this.#pending.length))
  }

  #readNext(): ReadResponse | undefined {
    this.#head ??= this.#readHead()
    if (this.#head === undefined) return undefined
    if (endsWithConnection(this.#head)) return undefined
    const { fields } = this.#head
    const body = fields.get('transfer-encoding') === 'chunked' ? this.#readChunks() : this.#readLength(fields)
    return body === undefined ? undefined : this.#complete(this.#head, body)
  }

  #complete(head: Head, body: Buffer): ReadResponse {
    this.#head = undefined
    const { status, fields } = head
    return { status, body, requestId: fields.get('x-request-id') ?? '', closes: closes(head) }
  }

  #readHead(): Head | undefined {
    const end = this.#pending.indexOf(HEAD_END)
    if (end < 0) return undefined
    const [statusLine = '', ...lines] = this.#take(end).toString('latin1').split(LINE_END)
    this.#take(HEAD_END.length)
    const status = /^HTTP\/1\.1 (\d{3})/.exec(statusLine)?.[1]
    if (status === undefined) throw new Error(`not the head of a response: ${statusLine}`)
    const fields = lines.map((line): [string, string] => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
    })
    return { status: Number(status), fields: new Map(fields) }
  }

  #readLength(fields: Head['fields']): Buffer | undefined {
    const length = Number(fields.get('content-length'))
    if (!Number.isSafeInteger(length)) throw new Error('a response has neither a length nor chunks')
    return this.#pending.length < length ? undefined : this.#take(length)
  }

  #readChunks(): Buffer | undefined {
    for (;;) {
      const lineEnd = this.#pending.indexOf(LINE_END)
      if (lineEnd < 0) return undefined
      const size = parseInt(this.#pending.toString('latin1', 0, lineEnd), 16)
      if (!Number.isSafeInteger(size)) throw new Error('a chunk without a size')
      const start = lineEnd + LINE_END.length
      if (this.#pending.length < start + size + LINE_END.length) return undefined
      this.#take(start)
      this.#chunks.push(this.#take(size))
      this.#take(LINE_END.length)
      if (size === 0) return Buffer.concat(this.#chunks.splice(0))
    }
  }

  #take(length: number): Buffer {
    const taken = this.#pending.subarray(0, length)
    this.#pending = this.#pending.subarray(length)
    return taken
  }
}

function closes({ fields }: Head): boolean {
  return fields.get('connection')?.toLowerCase() === 'close'
}

function endsWithConnection(head: Head): boolean {
  return closes(head) && !head.fields.has('transfer-encoding') && !head.fields.has('content-length')
}
