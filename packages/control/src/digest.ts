/** SHA-256 digests of text in lower-case hexadecimal. */
import { createHash } from 'node:crypto'
import type { Digest } from '@bilberrystall/base'

export function sha256(text: string): Digest {
  return createHash('sha256').update(text, 'utf8').digest('hex') as Digest
}
