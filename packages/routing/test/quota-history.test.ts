/** Compares the requests that a history allows in a window with a count of every window by itself. */
import { seededRandom } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { QuotaHistory } from '../src/quota-history'

const WINDOW_MS = 1_000
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1)
const SAMPLE_MS = 10
const ROUNDING = 1e-9

/** The shares from a time on. Tokens are issued at this time. */
interface Change {
  readonly at: number
  readonly issued: number
  readonly lying: number
  readonly rate: number
}

/** Requests in the window that begins at `begin`, right after the changes at that time, if the last rate goes on. */
function allowedFrom(begin: number, changes: readonly Change[]): number {
  const end = begin + WINDOW_MS
  let lying = 0
  let gained = 0
  changes.forEach(({ at, rate, ...change }, index) => {
    if (at <= begin) lying = change.lying
    else gained += change.issued
    const until = Math.min(changes[index + 1]?.at ?? end, end)
    gained += (rate * Math.max(0, until - Math.max(at, begin))) / 1_000
  })
  return lying + gained
}

// Guards against a window that begins within a slot and ends later than one from its start, by what the rates accrue.
test.each(SEEDS)('no window that began within the window length allows more than is counted, seed %i', (seed) => {
  const random = seededRandom(seed)
  const history = new QuotaHistory(WINDOW_MS, 0)
  const changes: Change[] = [{ at: 0, issued: 0, lying: 0, rate: 0 }]
  let now = 0
  for (let step = 0; step < 100; step += 1) {
    const { lying, rate } = changes.at(-1)!
    now += random() < 0.3 ? 0 : Math.floor(random() * 150)
    history.advance(now, rate, lying)
    const change = {
      at: now,
      issued: random() < 0.5 ? 0 : random() * 5,
      lying: random() * 20,
      rate: random() < 0.6 ? rate : random() * 100,
    }
    history.record(change)
    changes.push(change)
    const sampled = Array.from({ length: WINDOW_MS / SAMPLE_MS }, (_, index) => now - index * SAMPLE_MS)
    const begins = [...sampled, ...changes.map(({ at }) => at)].filter((begin) => begin > now - WINDOW_MS && begin >= 0)
    const windows = begins.map((begin) => allowedFrom(begin, changes))
    expect(Math.max(...windows)).toBeLessThanOrEqual(history.most(change.rate) + ROUNDING)
  }
})
