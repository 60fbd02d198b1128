/** A client that reads an answer by its head: the status, the fields, and as many bytes of body as the head states. */
import { connect } from 'node:net'
import type { PlainRequest, Target } from './http-client'

export interface RawAnswer {
  /** 0 if no complete answer came. */
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  /** Bytes that came behind the answer, though no other request was sent. */
  readonly surplusBytes: number
}

const HEAD_END = '\r\n\r\n'
/** Time for which the client watches the connection behind an answer. */
const WATCH_MS = 100
const NO_ANSWER: RawAnswer = { status: 0, headers: {}, body: '', surplusBytes: 0 }

export function sendRaw(
  target: Target,
  { method, path, headers = {} }: PlainRequest,
  timeoutMs: number,
): Promise<RawAnswer> {
  return new Promise((resolve) => {
    let received = ''
    let watch: NodeJS.Timeout | undefined
    const socket = connect({ ...target, noDelay: true })
    const finish = (): void => {
      clearTimeout(timer)
      clearTimeout(watch)
      socket.destroy()
      resolve(parseAnswer(received) ?? NO_ANSWER)
    }
    const timer = setTimeout(finish, timeoutMs)
    socket.on('connect', () => {
      const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
      socket.write(`${method} ${path} HTTP/1.1\r\n${fields.join('')}\r\n`)
    })
    socket.on('data', (part: Buffer) => {
      received += part.toString('latin1')
      if (parseAnswer(received) !== undefined) watch ??= setTimeout(finish, WATCH_MS)
    })
    socket.on('error', finish)
    socket.on('close', finish)
  })
}

/** Undefined until the answer is complete. */
function parseAnswer(received: string): RawAnswer | undefined {
  const end = received.indexOf(HEAD_END)
  if (end < 0) return undefined
  const [statusLine = '', ...lines] = received.slice(0, end).split('\r\n')
  const fields = lines.map((line): [string, string] => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
  })
  const headers = Object.fromEntries(fields)
  const rest = received.slice(end + HEAD_END.length)
  const length = Number(headers['content-length'] ?? 0)
  if (rest.length < length) return undefined
  const status = Number(statusLine.split(' ')[1])
  return { status, headers, body: rest.slice(0, length), surplusBytes: rest.length - length }
}
