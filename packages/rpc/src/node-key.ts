/** The shared secret by which nodes of one system recognise each other. */
import { createHash, timingSafeEqual } from 'node:crypto'

export function bearer(secret: string): string {
  return `Bearer ${secret}`
}

/** Compares in constant time; hashing first makes the lengths equal. */
export function sameSecret(left: string, right: string): boolean {
  return timingSafeEqual(sha256(left), sha256(right))
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
