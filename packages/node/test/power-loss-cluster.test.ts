/**
 * Guards against a change that was acknowledged and is gone, or a replica that cannot start, after power losses and
 * kills of all replicas at once. `POWER_LOSS_RUNS=1000` runs a longer search, `POWER_LOSS_SEED` repeats one.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { PowerLossCluster } from './power-loss-cluster'

const RUNS = Number(process.env.POWER_LOSS_RUNS ?? 30)
const SEED = Number(process.env.POWER_LOSS_SEED ?? 34)
/** Enough for an election after the last start. */
const FINAL_STEPS = 400

const lives = fc.array(
  fc.record({
    steps: fc.integer({ min: 5, max: 250 }),
    faults: fc.record(
      { syncsBeforeFailure: fc.nat({ max: 300 }), syncsBeforeStall: fc.nat({ max: 100 }) },
      { requiredKeys: [] },
    ),
    ending: fc.constantFrom('power-loss' as const, 'power-loss' as const, 'kill' as const),
  }),
  { minLength: 1, maxLength: 5 },
)

test('acknowledged changes are in force at every replica after any series of power losses of all replicas', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat({ max: 1_000_000 }), lives, async (seed, series) => {
      const cluster = await PowerLossCluster.create(seed)
      for (const { steps, faults, ending } of series) {
        await cluster.start(faults)
        await cluster.run(steps)
        await cluster.stop(ending)
      }
      const acknowledged = [...cluster.acknowledged]
      await cluster.start()
      await cluster.run(FINAL_STEPS)
      const applied = cluster.applied()
      await cluster.stop('kill')
      for (const commands of applied) expect(commands.slice(0, acknowledged.length)).toEqual(acknowledged)
      expect(cluster.acknowledged.length).toBeGreaterThan(acknowledged.length)
    }),
    { numRuns: RUNS, seed: SEED },
  )
}, 3_600_000)
