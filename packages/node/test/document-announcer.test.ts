/** Verifies how often a node announces the documents that are in force on it. */
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { DocumentAnnouncer } from '../src/document-announcer'

const CHANGES = 28
const GAP_MS = 300

beforeEach(() => {
  vi.useFakeTimers()
})
afterEach(() => {
  vi.useRealTimers()
})

/** Returns the times of the announcements, and the newest change that they contain. */
function announcedOf(fleetSize: number) {
  const announced: { at: number; change: number }[] = []
  const startedAt = Date.now()
  const now = () => Date.now() - startedAt
  let change = 0
  const announcer = new DocumentAnnouncer({
    announce: () => announced.push({ at: now(), change }),
    fleetSize: () => fleetSize,
    now,
  })
  for (; change < CHANGES; change += 1) {
    announcer.changed()
    vi.advanceTimersByTime(GAP_MS)
  }
  vi.advanceTimersByTime(10_000)
  return announced
}

// Guards against a series of changes each of which changes the records of all nodes at all nodes.
test('nodes of a large fleet announce a series of changes together, and the newest one in the end', () => {
  const announced = announcedOf(130)
  expect(announced[0]?.at).toBe(0)
  expect(announced.at(-1)?.change).toBe(CHANGES)
  expect(announced.length).toBeLessThanOrEqual(1 + Math.ceil((CHANGES * GAP_MS) / 2_000))
})

test('nodes of a small fleet announce each change at once', () => {
  expect(announcedOf(11).map(({ at }) => at)).toEqual(Array.from({ length: CHANGES }, (_, index) => index * GAP_MS))
})
