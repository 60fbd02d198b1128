/** Stand-in for a client on a kept connection: sends requests, also further ones before the first answer, in order. */
import { connect, type Socket } from 'node:net'
import { HOST } from './configuration'

export interface Sent {
  readonly attempt: string
  readonly at: number
  answeredAt: number | undefined
  status: number | undefined
}

const HEAD_END = '\r\n\r\n'

export class Client {
  readonly #socket: Socket
  readonly #waiting: Sent[] = []
  #received = ''
  isClosed = false
  closedAt: number | undefined
  /** Whether an answer said that the node closes the connection. */
  isClosing = false
  /** Whether this client closed the connection itself. */
  #hasLeft = false
  readonly sent: Sent[] = []

  constructor(ip: string, port: number) {
    this.#socket = connect(port, ip)
    this.#socket.setNoDelay(true)
    this.#socket.on('error', () => undefined)
    this.#socket.on('close', () => {
      this.isClosed = true
      this.closedAt = Date.now()
    })
    this.#socket.on('data', (part) => {
      this.#received += part.toString('latin1')
      while (this.#takeAnswer());
    })
  }

  /** Whether the node closed the connection. */
  get wasCut(): boolean {
    return this.isClosed && !this.#hasLeft
  }

  get waiting(): number {
    return this.#waiting.length
  }

  send(method: 'GET' | 'POST', path: string, attempts: readonly string[], timeoutMs: number): void {
    const heads = attempts.map((attempt) => {
      const length = method === 'POST' ? 'Content-Length: 0\r\n' : ''
      return `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${attempt}\r\nTimeout-Ms: ${timeoutMs}\r\n${length}\r\n`
    })
    for (const attempt of attempts) {
      const sent: Sent = { attempt, at: Date.now(), answeredAt: undefined, status: undefined }
      this.sent.push(sent)
      this.#waiting.push(sent)
    }
    this.#socket.write(heads.join(''))
  }

  leave(): void {
    this.#hasLeft ||= !this.isClosed
    this.#socket.destroy()
  }

  /** Takes one complete answer with a length or in chunks from what was received. */
  #takeAnswer(): boolean {
    const end = this.#received.indexOf(HEAD_END)
    if (end < 0) return false
    const head = this.#received.slice(0, end)
    const bodyStart = end + HEAD_END.length
    const length = /^content-length: *(\d+)/im.exec(head)?.[1]
    const bodyEnd = length === undefined ? this.#chunksEnd(bodyStart) : bodyStart + Number(length)
    if (bodyEnd === undefined || this.#received.length < bodyEnd) return false
    this.#received = this.#received.slice(bodyEnd)
    if (/^connection: *close/im.test(head)) this.isClosing = true
    const answered = this.#waiting.shift()
    if (answered !== undefined) {
      answered.answeredAt = Date.now()
      answered.status = Number(head.split(' ')[1])
    }
    return true
  }

  #chunksEnd(start: number): number | undefined {
    for (let at = start; ;) {
      const line = this.#received.indexOf('\r\n', at)
      if (line < 0) return undefined
      const size = Number.parseInt(this.#received.slice(at, line), 16)
      at = line + 2 + size + 2
      if (size === 0) return at
      if (this.#received.length < at) return undefined
    }
  }
}
