/** Guards against using connections again while stray bytes may be on their way, and against giving that up for good. */
import { expect, test } from 'vitest'
import { ConnectionReuse } from '../src/index'

/** Returns the seconds after which connections may be used again, for stray bytes at the given seconds. */
function suspensionsOf(strayBytesAt: readonly number[]): string[] {
  const reuse = new ConnectionReuse()
  const changes: string[] = []
  let wasAllowed = true
  for (let second = 0; second <= 2_000; second += 1) {
    if (strayBytesAt.includes(second)) reuse.onStrayBytes(second * 1000)
    const isAllowed = reuse.isAllowed(second * 1000)
    if (isAllowed !== wasAllowed) changes.push(`${isAllowed ? 'allowed' : 'suspended'} at ${second} s`)
    wasAllowed = isAllowed
  }
  return changes
}

test('connections are used once for some time after stray bytes', () => {
  expect(suspensionsOf([5])).toMatchInlineSnapshot(`
    [
      "suspended at 5 s",
      "allowed at 15 s",
    ]
  `)
})

test('a suspension ends some time after the last stray bytes', () => {
  expect(suspensionsOf([5, 9])).toMatchInlineSnapshot(`
    [
      "suspended at 5 s",
      "allowed at 19 s",
    ]
  `)
})

test('suspensions grow while stray bytes go on, up to a limit', () => {
  expect(suspensionsOf([0, 20, 60, 130, 240, 450, 800, 1150])).toMatchInlineSnapshot(`
    [
      "suspended at 0 s",
      "allowed at 10 s",
      "suspended at 20 s",
      "allowed at 40 s",
      "suspended at 60 s",
      "allowed at 100 s",
      "suspended at 130 s",
      "allowed at 210 s",
      "suspended at 240 s",
      "allowed at 400 s",
      "suspended at 450 s",
      "allowed at 770 s",
      "suspended at 800 s",
      "allowed at 1120 s",
      "suspended at 1150 s",
      "allowed at 1470 s",
    ]
  `)
})

test('a server that sent no stray bytes for a minute starts anew', () => {
  expect(suspensionsOf([0, 20, 110])).toMatchInlineSnapshot(`
    [
      "suspended at 0 s",
      "allowed at 10 s",
      "suspended at 20 s",
      "allowed at 40 s",
      "suspended at 110 s",
      "allowed at 120 s",
    ]
  `)
})
