/** Stub of the operator API that records every request and sends the responses given by the test. */
import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Writable } from 'node:stream'
import { runCli } from '@bilberrystall/cli'

export interface ReceivedRequest {
  readonly method: string
  readonly path: string
  readonly authorization: string | undefined
  readonly body: Record<string, unknown>
}

export type RequestHandler = (request: ReceivedRequest, response: ServerResponse) => void

export interface OperatorStub {
  readonly address: string
  readonly requests: ReceivedRequest[]
  readonly stop: () => void
}

export async function startOperatorStub(handle: RequestHandler): Promise<OperatorStub> {
  const requests: ReceivedRequest[] = []
  const server = createServer((request, response) => {
    let text = ''
    request.on('data', (chunk: Buffer) => (text += chunk.toString()))
    request.on('end', () => {
      const body = (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>
      const { method = '', url: path = '', headers } = request
      const entry = { method, path, authorization: headers.authorization, body }
      requests.push(entry)
      handle(entry, response)
    })
  })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const stop = (): void => {
    server.close()
    server.closeAllConnections()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, requests, stop }
}

export function respondJson(response: ServerResponse, status: number, value: unknown): void {
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
  const sink = (append: (text: string) => void): Writable =>
    new Writable({
      write: (chunk: Buffer, _encoding, done) => {
        append(chunk.toString())
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
