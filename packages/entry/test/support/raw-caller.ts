/** A caller on a raw socket that sends requests behind each other. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { onTestFinished } from 'vitest'

const READ_INTERVAL_MS = 60

export interface RawCaller {
  readonly socket: Socket
  /** Everything received so far. */
  readonly text: () => string
  readonly send: (...requests: readonly string[]) => void
  readonly closed: Promise<void>
}

export function connectCaller(port: number): RawCaller {
  const parts: Buffer[] = []
  const socket = connect(port, '127.0.0.1')
  socket.on('data', (part: Buffer) => parts.push(part))
  socket.on('error', () => undefined)
  onTestFinished(() => {
    socket.destroy()
  })
  return {
    socket,
    text: () => Buffer.concat(parts).toString('latin1'),
    send: (...requests) => socket.write(requests.join('')),
    closed: new Promise((resolve) => socket.once('close', resolve)),
  }
}

export const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`
export const post = (path: string, body: string): string =>
  `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`

/** Statuses of the responses in the order in which they were received. */
export const statusesOf = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '')

/** Reads at a given pace and sends `crossing` now and then until the connection ends; returns the number of bytes. */
export async function readWhileSending(
  port: number,
  request: string,
  crossing: string,
  readBytes: number,
): Promise<number> {
  const socket = connect(port, '127.0.0.1')
  onTestFinished(() => {
    socket.destroy()
  })
  let bytes = 0
  socket.on('error', () => undefined).write(request)
  while (!socket.readableEnded && !socket.destroyed) {
    const part = (socket.read(readBytes) ?? socket.read()) as Buffer | null
    bytes += part?.length ?? 0
    if (bytes > 0 && crossing !== '' && socket.writable) socket.write(crossing)
    await sleep(READ_INTERVAL_MS)
  }
  return bytes
}
