import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ClaimTable, type HolderReply, type KeyUse } from '../src/index'
import { plans, Schedule, correctParts, type Parts } from './schedule'

const SEED = 20_261_204
const RUNS = 3_000

/** A holder that votes on old keys after a restart, although it lost its table. */
const votesAfterRestart: Parts = {
  ...correctParts,
  table: () => new ClaimTable({ startedAt: 0 }),
}

const holdersOfCurrentRoster: Parts = { ...correctParts, rosterTime: (_, now) => now }

const acceptsOldRosters: Parts = { ...correctParts, rosterValidMs: 120_000 }

class ReleaseForgettingTable extends ClaimTable {
  readonly #current = new Map<string, KeyUse>()

  override claim(use: KeyUse, runMs: number, now: number): HolderReply {
    const held = this.#current.get(use.key)
    const reply = super.claim(use, runMs, now)
    if (reply.kind === 'released') {
      this.#current.set(use.key, use)
      return { kind: 'granted' }
    }
    return held === undefined || held.attempt === use.attempt ? reply : { kind: 'held', sameRequest: true }
  }

  override release(use: KeyUse, now: number): HolderReply {
    if (this.#current.get(use.key)?.attempt === use.attempt) {
      this.#current.delete(use.key)
    }
    return super.release(use, now)
  }
}

const forgetsReleases: Parts = { ...correctParts, table: (startedAt) => new ReleaseForgettingTable({ startedAt }) }

function neverPermitsTwo(parts: Parts): fc.IProperty<unknown> {
  return fc.property(plans, (plan) => !new Schedule(plan, parts).run().violated)
}

function usableAfterNotRun(parts: Parts): fc.IProperty<unknown> {
  return fc.property(plans, (plan) => new Schedule({ ...plan, retentionMs: 3_600_000 }, parts).run().isUsableAgain())
}

test('two attempts with one key are never both permitted to send', () => {
  fc.assert(neverPermitsTwo(correctParts), { seed: SEED, numRuns: RUNS })
})

test('a key is usable again when it is certain that no attempt with it ran', () => {
  fc.assert(usableAfterNotRun(correctParts), { seed: SEED, numRuns: RUNS })
})

test.each([
  ['a restarted holder that votes on old keys', votesAfterRestart],
  ['holders taken from the current roster', holdersOfCurrentRoster],
  ['an entry that accepts keyed calls with an old roster', acceptsOldRosters],
])('the schedules detect %s', (_, parts) => {
  expect(fc.check(neverPermitsTwo(parts), { seed: SEED, numRuns: RUNS, endOnFailure: true }).failed).toBe(true)
})

test('the schedules detect a holder that forgets a release before a late claim', () => {
  const details = fc.check(usableAfterNotRun(forgetsReleases), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  expect(details.failed).toBe(true)
})
