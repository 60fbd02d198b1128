import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { RESULT_CODES, renderResultCodes } from '../src/index'

test('result code numbers are unique and fit into a process exit status', () => {
  const numbers = Object.values(RESULT_CODES).map((definition) => definition.number)
  expect(new Set(numbers).size).toBe(numbers.length)
  expect(numbers.every((number) => number >= 0 && number <= 255)).toBe(true)
})

test('the result code table in the documentation matches the code', () => {
  const page = readFileSync(new URL('../../../docs/result-codes.md', import.meta.url), 'utf8')
  expect(page).toContain(renderResultCodes())
})
