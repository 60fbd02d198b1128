/** Reads and writes JSON bodies of the control endpoints of test processes. */
import type { IncomingMessage, ServerResponse } from 'node:http'

export async function readJson(request: IncomingMessage): Promise<unknown> {
  let text = ''
  for await (const chunk of request) text += String(chunk)
  return text === '' ? {} : JSON.parse(text)
}

export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}
