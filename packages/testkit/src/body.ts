/**
 * Bodies that name the request that they belong to. A caller that receives part of another response, a repeated part
 * or a cut body sees it when it compares the body with the expected one.
 */
import { createHash } from 'node:crypto'

/** Body of `bytes` bytes that repeats the request id with the position of each repetition. */
export function* photoChunks(request: string, bytes: number, chunkBytes = 64 * 1024): Generator<Buffer> {
  let sent = 0
  while (sent < bytes) {
    const size = Math.min(chunkBytes, bytes - sent)
    const line = `${request}@${sent};`
    yield Buffer.alloc(size, line)
    sent += size
  }
}

export function photoDigest(request: string, bytes: number): string {
  const hash = createHash('sha256')
  for (const chunk of photoChunks(request, bytes)) hash.update(chunk)
  return hash.digest('hex')
}

/** Body of an ordinary response. */
export interface Answer {
  readonly request: string
  readonly server: string
  readonly method: string
  readonly path: string
  readonly bodyDigest: string
}

export function sha256(data: string | Buffer): string {
  return createHash('sha256').update(data).digest('hex')
}
