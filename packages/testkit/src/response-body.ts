/**
 * Response bodies that contain the id of their request. By comparing a body with the expected one, a caller detects
 * parts of another response, repeated parts and truncation.
 */
import { createHash } from 'node:crypto'

/** Generates a body of `bytes` bytes; each chunk repeats the request id and the offset of the chunk. */
export function* photoChunks(request: string, bytes: number, chunkBytes = 64 * 1024): Generator<Buffer> {
  let offset = 0
  while (offset < bytes) {
    const size = Math.min(chunkBytes, bytes - offset)
    const pattern = `${request}@${offset};`
    yield Buffer.alloc(size, pattern)
    offset += size
  }
}

export function photoDigest(request: string, bytes: number): string {
  const hash = createHash('sha256')
  for (const chunk of photoChunks(request, bytes)) hash.update(chunk)
  return hash.digest('hex')
}

/** JSON body of a response to a call that did not ask for a photo. */
export interface EchoResponse {
  readonly request: string
  readonly server: string
  readonly method: string
  readonly path: string
  readonly bodyDigest: string
}

export function sha256(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex')
}
