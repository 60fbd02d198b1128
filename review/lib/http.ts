/** HTTP requests of the stand-ins, each on a connection of its own. */
import { request } from 'node:http'

export interface Reply {
  /** 0 if there was no complete answer. */
  readonly status: number
  readonly text: string
}

export interface Outgoing {
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly timeoutMs: number
}

export function send({ host, port, method, path, headers, body, timeoutMs }: Outgoing): Promise<Reply> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent: false }, (response) => {
      const parts: Buffer[] = []
      response.on('data', (part: Buffer) => parts.push(part))
      response.on('error', fail)
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode ?? 0, text: Buffer.concat(parts).toString() })
      })
    })
    const fail = (cause: Error) => {
      clearTimeout(timer)
      resolve({ status: 0, text: cause.message })
    }
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer after ${timeoutMs} ms`))
    }, timeoutMs)
    outgoing.on('error', fail)
    outgoing.end(body)
  })
}
