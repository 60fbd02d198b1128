/** Plain HTTP/1.1 requests of clients, servers and the operator. */
import { request, type Agent } from 'node:http'

export interface Target {
  readonly host: string
  readonly port: number
}

export interface PlainRequest {
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  readonly agent?: Agent
}

/** Status 0 means that no complete answer came. */
export interface Answer {
  readonly status: number
  readonly text: string
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
}

const NO_ANSWER: Answer = { status: 0, text: '', headers: {} }

export function send(target: Target, plain: PlainRequest, timeoutMs = 5_000): Promise<Answer> {
  return new Promise((resolve) => {
    const { method, path, headers = {}, body, agent } = plain
    const options = { ...target, method, path, headers, ...(agent === undefined ? {} : { agent }) }
    const outgoing = request(options, (response) => {
      const parts: Buffer[] = []
      response.on('data', (part: Buffer) => parts.push(part))
      response.on('end', () => {
        clearTimeout(timer)
        const { statusCode: status = 0, headers: received } = response
        resolve(response.complete ? { status, text: Buffer.concat(parts).toString(), headers: received } : NO_ANSWER)
      })
      response.on('error', fail)
    })
    const fail = (): void => {
      clearTimeout(timer)
      resolve(NO_ANSWER)
    }
    const timer = setTimeout(() => {
      outgoing.destroy()
      fail()
    }, timeoutMs)
    outgoing.on('error', fail)
    outgoing.end(body)
  })
}
