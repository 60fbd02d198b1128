/** Guards against log lines that are dropped as repetitions of lines with the same code and other fields. */
import { afterEach, expect, test, vi } from 'vitest'
import { createLog } from '../src/log'

const LINES = 20

afterEach(() => {
  vi.restoreAllMocks()
})

test('every line is written, however many have the same code', () => {
  const texts: string[] = []
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => texts.push(String(text)) > 0)
  const log = createLog({ node: 'entry-1', terminal: false })
  for (let number = 0; number < LINES; number += 1) log.info('callFailed', { request: `r${number}` })
  const requests = texts.map((text) => (JSON.parse(text) as { request: string }).request)
  expect(requests).toEqual(Array.from({ length: LINES }, (_, number) => `r${number}`))
})
