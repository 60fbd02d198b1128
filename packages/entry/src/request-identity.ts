/**
 * Identity of a request across attempts, entries and callers' retries. Fields that differ between attempts, such as the
 * attempt id and the deadline, are left out.
 */
import { createHash } from 'node:crypto'
import { requestId, type RequestId } from '@bilberrystall/base'
import type { RequestHead } from './head'

/** 96 bits: collisions cannot be constructed, and the id still fits into a log line. */
const ID_BYTES = 12

export function identifyRequest(head: RequestHead, authorization: string | undefined, body: Buffer): RequestId {
  const hash = createHash('sha256')
  for (const part of [head.method, head.host, head.target, authorization ?? '']) hash.update(part).update('\0')
  return requestId(hash.update(body).digest().subarray(0, ID_BYTES).toString('base64url'))
}
