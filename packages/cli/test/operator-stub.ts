/** Stub of the operator API that records every request and sends the responses given by the test. */
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Writable } from 'node:stream'
import { runCli } from '@bilberrystall/cli'

export interface Seen {
  readonly method: string
  readonly path: string
  readonly authorization: string | undefined
  readonly body: Record<string, unknown>
}

export type Answer = (seen: Seen, response: ServerResponse) => void

export interface Stub {
  readonly address: string
  readonly seen: Seen[]
  readonly stop: () => void
}

export async function operatorStub(answer: Answer): Promise<Stub> {
  const seen: Seen[] = []
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk: Buffer) => (text += chunk.toString()))
    request.on('end', () => {
      const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>
      const { method = '', url: path = '', headers } = request
      const entry = { method, path, authorization: headers.authorization, body }
      seen.push(entry)
      answer(entry, response)
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const stop = (): void => {
    server.close()
    server.closeAllConnections()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, seen, stop }
}

export function answerJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

export interface CliResult {
  readonly status: number
  readonly stdout: string
  readonly stderr: string
}

export async function cli(...args: string[]): Promise<CliResult> {
  let stdout = ''
  let stderr = ''
  const sink = (take: (text: string) => void): Writable =>
    new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        take(chunk.toString())
        done()
      },
    })
  const status = await runCli(args, {
    stdout: sink((text) => (stdout += text)),
    stderr: sink((text) => (stderr += text)),
    colorDepth: 1,
  })
  return { status, stdout, stderr }
}
