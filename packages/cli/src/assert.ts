/**
 * Stands in for `node:assert` in the bundles. Without a message, Node.js creates one for a failed assertion: it reads and
 * parses the source file of the program, or compares its operands in detail. In a bundle that blocks the event loop for
 * seconds. These functions pass a short message instead, so that a failed assertion costs no more than another error.
 */
import nodeAssert from 'node:assert'

const MESSAGE = 'assertion failed'
/** Comparisons with two operands, which take the message as their third argument. */
const COMPARISONS = [
  'equal',
  'notEqual',
  'strictEqual',
  'notStrictEqual',
  'deepEqual',
  'notDeepEqual',
  'deepStrictEqual',
  'notDeepStrictEqual',
] as const

type Comparison = (actual: unknown, expected: unknown, message?: string | Error) => void

function ok(value: unknown, message: string | Error = MESSAGE): asserts value {
  nodeAssert(value, message)
}

function withMessage(compare: Comparison): Comparison {
  return (actual, expected, message = MESSAGE) => {
    compare(actual, expected, message)
  }
}

const comparisons = Object.fromEntries(COMPARISONS.map((name) => [name, withMessage(nodeAssert[name])]))

export const assert = Object.assign(ok, nodeAssert, { ok, ...comparisons })
