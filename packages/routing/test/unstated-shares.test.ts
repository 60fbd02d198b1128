/**
 * Guards against tokens of a new leader beside shares of its predecessor that it does not know: an entry that is cut off
 * from both uses its share until 3 s after the change, and the new leader gives tokens from 5.5 s after it.
 */
import { expect, test } from 'vitest'
import { allowed, limitOf, QuotaSimulation } from './quota-simulation'

const CHANGE_AT = 15_000
const CUT_OFF = 0
const ENTRIES = 12

test.each([
  { rate: 4, burst: 4, usual: 8 },
  { rate: 70, burst: 250, usual: 35 },
  { rate: 25, burst: 500, usual: 8 },
])(
  'an entry that is cut off when the leader changes uses its share at $rate requests/s, burst $burst',
  ({ rate, burst, usual }) => {
    const limit = limitOf('a', rate, burst)
    const weights = (isCutOff: boolean) =>
      Array.from({ length: ENTRIES }, (_, index) => ((index === CUT_OFF) === isCutOff ? 1 : 0))
    for (let seed = 1; seed <= 40; seed += 1) {
      const simulation = new QuotaSimulation({
        entries: ENTRIES,
        limits: [limit],
        seed,
        demand: (now) => {
          if (now < CHANGE_AT) return [{ organisation: 'a', ratePerS: usual, weights: weights(true) }]
          if (now < CHANGE_AT + 1_800) return []
          const ratePerS = 5 * (rate + burst)
          return [{ organisation: 'a', ratePerS, weights: weights(now < CHANGE_AT + 3_400) }]
        },
      })
      simulation.runUntil(CHANGE_AT)
      simulation.leader = undefined
      simulation.entries[CUT_OFF]!.isConnected = false
      simulation.runUntil(CHANGE_AT + 10)
      simulation.electLeader()
      simulation.runUntil(CHANGE_AT + 9_000)
      expect(simulation.mostAdmitted('a', CHANGE_AT), `seed ${seed}`).toBeLessThanOrEqual(allowed(limit))
    }
  },
)
