/** Guards against a record that is lost with the name of its file: a segment or snapshot whose name was not synced. */
import { logIndex, seededRandom, term } from '@bilberrystall/base'
import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { openLog, type OpenedLog } from '../src/index'
import { SimulatedDisk } from './simulated-disk'

const FOLDER = '/data'
const SEEDS = 20

async function open(disk: SimulatedDisk) {
  const lock = () => Promise.resolve(ok({ release: () => Promise.resolve() }))
  return openLog({ folder: FOLDER, fileSystem: disk, lock })
}

async function openOrThrow(disk: SimulatedDisk): Promise<OpenedLog> {
  return (await open(disk)).match(
    (opened) => opened,
    ({ code, message }) => {
      throw new Error(`${code}: ${message}`)
    },
  )
}

function append({ log, stored }: OpenedLog, size: number) {
  const index = logIndex(1 + Math.max(stored.entries.at(-1)?.index ?? 0, stored.snapshot?.index ?? 0))
  return log.append([{ kind: 'entry', entry: { index, term: term(1), data: Buffer.alloc(size, index) } }])
}

const ENTRY_BYTES = 100_000

/** What a process does before it is killed. Each of these ends with a renamed file. */
const OPERATIONS = {
  'the first start': () => Promise.resolve(),
  'a new segment': async ({ log, stored }: OpenedLog) => {
    await append({ log, stored }, ENTRY_BYTES)
    await log.compact(logIndex(0))
  },
  'a snapshot': async ({ log, stored }: OpenedLog) => {
    await append({ log, stored }, ENTRY_BYTES)
    await log.saveSnapshot({ index: logIndex(1), term: term(1), data: Buffer.from('state') })
  },
} as const

test.each(Object.entries(OPERATIONS))(
  'after a kill during %s, an acknowledged record survives a power loss',
  async (_name, operation) => {
    for (let seed = 0; seed < SEEDS; seed += 1) {
      for (let operations = 0, wasKilled = true; wasKilled; operations += 1) {
        const disk = new SimulatedDisk(seededRandom(seed))
        disk.inject({ operationsBeforeStop: operations })
        await (await open(disk)).asyncMap(operation)
        wasKilled = disk.isStopped

        const restarted = disk.restart('kill')
        const opened = await openOrThrow(restarted)
        expect((await append(opened, 10)).isOk()).toBe(true)
        const last = opened.stored.entries.length + 1

        const { stored } = await openOrThrow(restarted.restart('power-loss'))
        expect({ seed, operations, last: stored.entries.length }).toEqual({ seed, operations, last })
      }
    }
  },
)
