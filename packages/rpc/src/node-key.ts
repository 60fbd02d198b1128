/** Authentication between the nodes of a system by a shared secret. */
import { createHash, timingSafeEqual } from 'node:crypto'

export function bearerHeader(secret: string): string {
  return `Bearer ${secret}`
}

/**
 * Compares two secrets in constant time. They are hashed first, because the comparison needs inputs of equal length.
 */
export function secretsEqual(left: string, right: string): boolean {
  return timingSafeEqual(sha256(left), sha256(right))
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
