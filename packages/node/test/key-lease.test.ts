/**
 * Guards against an entry that accepts a removed key because it measures the age of its last read with a clock that was
 * set or stood still, or because its document is older than that read.
 */
import { expect, test } from 'vitest'
import { KeyLease } from '../src/key-lease'

const REVOKE_MS = 5_000

/** A lease with clocks that a test moves. They start at different values, as those of a VM do. */
class Setup {
  readonly lease = new KeyLease({ revokeMs: REVOKE_MS })
  readonly #clocks = { monotonic: 1_000, sinceBoot: 86_400_000, timeOfDay: 1_790_000_000_000 }

  get now(): number {
    return this.#clocks.monotonic
  }

  /** All clocks go on. */
  pass(ms: number): this {
    return this.move({ monotonic: ms, sinceBoot: ms, timeOfDay: ms })
  }

  move(by: Partial<{ monotonic: number; sinceBoot: number; timeOfDay: number }>): this {
    for (const name of ['monotonic', 'sinceBoot', 'timeOfDay'] as const) this.#clocks[name] += by[name] ?? 0
    return this
  }

  renew(revision = 1, sentAt = this.now): this {
    this.lease.renewed({ sentAt, revision }, { ...this.#clocks })
    return this
  }

  check(inUse = 1): string {
    const state = this.lease.check(inUse, { ...this.#clocks })
    return state.kind === 'valid' ? `valid for ${state.leftMs} ms` : state.reason
  }
}

test('a process that has not read the revision since its start accepts no key', () => {
  const setup = new Setup()
  expect(setup.check(7)).toBe('no-read')
  expect(setup.pass(1).renew(7).check(7)).toBe('valid for 3000 ms')
})

test('an entry that is cut off accepts keys for 0.6 of the bound, counted from the sending of the last read', () => {
  const setup = new Setup().renew(1)
  expect(setup.pass(2_999).check()).toBe('valid for 1 ms')
  expect(setup.pass(2).check()).toBe('expired')
  expect(setup.pass(60_000).check()).toBe('expired')
  expect(setup.renew().check()).toBe('valid for 3000 ms')
})

test('a response that arrives late counts from its request', () => {
  const setup = new Setup()
  const sentAt = setup.now
  expect(setup.pass(1_000).renew(1, sentAt).check()).toBe('valid for 2000 ms')
  expect(setup.pass(4_000).renew(1, sentAt).check()).toBe('expired')
})

test('a read that was sent earlier than the known one does not shorten the lease', () => {
  const setup = new Setup().pass(1_000).renew(2)
  expect(setup.renew(1, setup.now - 900).check(2)).toBe('valid for 3000 ms')
})

test('a process that was frozen accepts no key when it resumes, as the monotonic clock has gone on', () => {
  const setup = new Setup().renew()
  expect(setup.pass(10_000).check()).toBe('expired')
})

test('a suspension that the monotonic clock does not count ends the lease until the next read is sent', () => {
  const setup = new Setup().renew().pass(100)
  const sentAt = setup.now
  expect(setup.check()).toBe('valid for 2900 ms')
  setup.move({ sinceBoot: 8_000, timeOfDay: 8_000 })
  expect(setup.check()).toBe('clocks')
  // This request was sent before the suspension, so its answer may be as old.
  expect(setup.renew(1, sentAt).check()).toBe('clocks')
  expect(setup.pass(1).renew().check()).toBe('valid for 3000 ms')
})

test('a suspension is detected although the time of day was set back by its length', () => {
  const setup = new Setup().renew()
  expect(setup.pass(100).move({ sinceBoot: 8_000 }).check()).toBe('clocks')
})

test('a suspension is detected by the time of day if the clock since boot does not count it either', () => {
  const setup = new Setup().renew()
  expect(setup.pass(100).move({ timeOfDay: 8_000 }).check()).toBe('clocks')
})

test('a time of day that is set back ends the lease, since it may hide a suspension', () => {
  const setup = new Setup().renew()
  expect(setup.pass(100).move({ timeOfDay: -4_000 }).check()).toBe('clocks')
})

test('a suspension is detected by the renewal itself if no key was checked after it', () => {
  const setup = new Setup().renew().pass(100)
  const sentAt = setup.now
  setup.move({ sinceBoot: 8_000, timeOfDay: 8_000 }).pass(5)
  expect(setup.renew(1, sentAt).check()).toBe('clocks')
})

test('several short suspensions add up, although keys are checked between them', () => {
  const setup = new Setup().renew()
  const states = [1, 2, 3].map(() => setup.pass(10).move({ sinceBoot: 200, timeOfDay: 200 }).check())
  expect(states).toEqual(['valid for 2990 ms', 'valid for 2980 ms', 'clocks'])
})

test('small differences between the clocks do not end the lease', () => {
  const setup = new Setup().renew()
  for (let second = 0; second < 600; second += 1) {
    // A correction of 500 ppm of the time of day, and a clock since boot with a resolution of 10 ms.
    setup.pass(1_000).move({ timeOfDay: 0.5, sinceBoot: second % 2 === 0 ? 9 : -9 })
    expect(setup.check()).toBe('valid for 2000 ms')
    setup.renew()
  }
})

test('a document that is older than the read accepts no key until the newer one is in use', () => {
  const setup = new Setup().renew(4)
  expect(setup.check(4)).toBe('valid for 3000 ms')
  setup.pass(1_000).renew(5)
  expect(setup.check(4)).toBe('behind')
  expect(setup.check(5)).toBe('valid for 3000 ms')
  expect(setup.check(6)).toBe('valid for 3000 ms')
})

// Guards against a lease that ends all the time where the clock since boot is that of a host with another rate.
test('a clock since boot that departs again and again is ignored', () => {
  const setup = new Setup()
  const states = Array.from({ length: 8 }, () => setup.pass(1).renew().pass(100).move({ sinceBoot: 600 }).check())
  expect(states.slice(0, 3)).toEqual(['clocks', 'clocks', 'clocks'])
  expect(new Set(states.slice(3))).toEqual(new Set(['valid for 2900 ms']))
  setup.pass(1).renew().move({ timeOfDay: 800 })
  expect(setup.check()).toBe('clocks')
})
