/**
 * Ids that the entry gives to its requests to servers if callers give none. A server that returns them shows to which
 * request each of its responses belongs.
 */
import type { RandomSource } from '@bilberrystall/base'
import type { Dialect } from './dialect'

const RADIX = 36
const PREFIX_RANGE = RADIX ** 6

export class AttemptIds {
  readonly #isEnabled: boolean
  /** Distinguishes this process from others that use the same connections of a proxy. */
  readonly #prefix: string
  #count = 0

  constructor({ attemptIds, attemptHeader }: Dialect, random: RandomSource) {
    this.#isEnabled = attemptIds === 'entry' && attemptHeader !== undefined
    this.#prefix = Math.floor(random() * PREFIX_RANGE).toString(RADIX)
  }

  /** Returns the id of the next request to a server; undefined if callers give the ids. */
  next(): string | undefined {
    if (!this.#isEnabled) return undefined
    this.#count += 1
    return `${this.#prefix}-${this.#count.toString(RADIX)}`
  }
}

/** Returns the field with the id as name and value. */
export function attemptFields(id: string | undefined, { attemptHeader }: Dialect): readonly string[] {
  return id === undefined || attemptHeader === undefined ? [] : [attemptHeader, id]
}
