/** Responds to requests that the HTTP parser of Node.js rejected, for which there is no response object. */
import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'
import { failure, toProblem, type CodeName } from '@bilberrystall/base'

export function respondToParseError(cause: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) {
    socket.destroy()
    return
  }
  const body = toProblem(failure(codeOf(cause)))
  const text = JSON.stringify(body)
  const lines = [
    `HTTP/1.1 ${body.status} ${STATUS_CODES[body.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
  ]
  socket.end(`${lines.join('\r\n')}\r\n\r\n${text}`)
}

function codeOf(cause: NodeJS.ErrnoException): CodeName {
  if (cause.code === 'HPE_HEADER_OVERFLOW') return 'headTooLarge'
  return cause.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'slowSender' : 'malformedHead'
}
