/**
 * Guards against a log that cannot be opened, or has lost a synced record, after any series of power losses, kills,
 * failed syncs and full disks. `POWER_LOSS_RUNS=2000` runs a longer search, `POWER_LOSS_SEED` repeats one.
 */
import { logIndex, replicaId, seededRandom, term, type LogIndex, type Term } from '@bilberrystall/base'
import fc from 'fast-check'
import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { openLog, type OpenedLog, type StoredEntry, type StoredLog } from '../src/index'
import { SimulatedDisk, type DiskFaults, type Ending } from './simulated-disk'

const FOLDER = '/data'
const RUNS = Number(process.env.POWER_LOSS_RUNS ?? 150)
const SEED = Number(process.env.POWER_LOSS_SEED ?? 34)
/** Larger than the size at which a compaction starts a new segment. */
const LARGE_ENTRY_BYTES = 40_000

type Step =
  | { readonly kind: 'append'; readonly count: number; readonly replaced: number; readonly isLarge: boolean }
  | { readonly kind: 'vote' }
  | { readonly kind: 'snapshot'; readonly behind: number }
  | { readonly kind: 'compact' }
  | { readonly kind: 'install'; readonly ahead: number }
  | { readonly kind: 'wait' }

interface Life {
  readonly steps: readonly Step[]
  readonly faults: DiskFaults
  readonly ending: Ending
}

/** What the log holds after the operations up to one of them. */
interface LogState {
  readonly ballotTerm: number
  readonly last: number
  readonly terms: ReadonlyMap<number, number>
}

const small = fc.nat({ max: 3 })
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('append'),
      count: fc.integer({ min: 1, max: 3 }),
      replaced: small,
      isLarge: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.constant({ kind: 'vote' }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('snapshot'), behind: small }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'compact' }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('install'), ahead: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 4, arbitrary: fc.constant({ kind: 'wait' }) },
)
const life: fc.Arbitrary<Life> = fc.record({
  steps: fc.array(step, { maxLength: 20 }),
  faults: fc.record(
    {
      operationsBeforeStop: fc.nat({ max: 80 }),
      syncsBeforeFailure: fc.nat({ max: 40 }),
      writesBeforeFull: fc.nat({ max: 400 }),
      syncsBeforeStall: fc.nat({ max: 20 }),
    },
    { requiredKeys: ['operationsBeforeStop'] },
  ),
  ending: fc.constantFrom('kill' as const, 'power-loss' as const, 'power-loss' as const),
})

test('a log opens with every synced record after any series of power losses, kills and failed writes', async () => {
  const lives = fc.array(life, { minLength: 1, maxLength: 6 })
  await fc.assert(
    fc.asyncProperty(fc.nat(), lives, async (seed, series) => {
      await runLives(new SimulatedDisk(seededRandom(seed)), series)
    }),
    { numRuns: RUNS, seed: SEED },
  )
}, 3_600_000)

async function runLives(start: SimulatedDisk, series: readonly Life[]): Promise<void> {
  const history = new History()
  let disk = start
  for (const { steps, faults, ending } of series) {
    disk.inject(faults)
    const opened = await open(disk)
    if (opened.isOk()) {
      history.checkRecovered(opened.value.stored)
      await new Writer(opened.value, history).run(steps, disk)
    } else if (!disk.isStopped) {
      // Only an injected failure may keep the log from opening, and only for this time.
      expect(['syncFailed', 'folderUnusable', 'diskFull']).toContain(opened.error.code)
    }
    disk = disk.restart(ending)
  }
  const recovered = await open(disk)
  expect(recovered.isErr() && recovered.error).toBe(false)
  recovered.map(({ stored }) => {
    history.checkRecovered(stored)
  })
}

function open(disk: SimulatedDisk): ReturnType<typeof openLog> {
  return openLog({
    folder: FOLDER,
    fileSystem: disk,
    lock: () => Promise.resolve(ok({ release: () => Promise.resolve() })),
  })
}

/** States of the log after each operation. The log recovers one of them, at or after the last synced one. */
class History {
  #states: LogState[] = [{ ballotTerm: 0, last: 0, terms: new Map() }]
  #syncedStates = 1
  /** Index of the newest snapshot that is synced. */
  #syncedSnapshot = 0
  #snapshots = new Map<number, number>([[0, 0]])

  get current(): LogState {
    return this.#states.at(-1)!
  }

  get synced(): LogState {
    return this.#states[this.#syncedStates - 1]!
  }

  get syncedSnapshot(): number {
    return this.#syncedSnapshot
  }

  get newestSnapshot(): number {
    return Math.max(...this.#snapshots.keys())
  }

  /** Adds the state after the next operation, and returns the number to report once it is synced. */
  add(state: LogState): number {
    return this.#states.push(state)
  }

  addSnapshot(index: number, entryTerm: number): void {
    this.#snapshots.set(index, entryTerm)
  }

  statesSynced(states: number): void {
    this.#syncedStates = Math.max(this.#syncedStates, states)
  }

  snapshotSynced(index: number): void {
    this.#syncedSnapshot = Math.max(this.#syncedSnapshot, index)
  }

  checkRecovered(stored: StoredLog): void {
    const snapshot = stored.snapshot?.index ?? 0
    expect(snapshot).toBeGreaterThanOrEqual(this.#syncedSnapshot)
    expect(this.#snapshots.get(snapshot)).toBe(stored.snapshot?.term ?? 0)
    const possible = this.#states.slice(this.#syncedStates - 1)
    const recovered = possible.findLast((state) => describe(state, snapshot) === describeStored(stored))
    if (recovered === undefined) {
      expect(describeStored(stored)).toBe(possible.map((state) => describe(state, snapshot)).join(' or '))
      return
    }
    this.#states = [{ ...recovered, last: Math.max(recovered.last, snapshot) }]
    this.#syncedStates = 1
    this.#syncedSnapshot = snapshot
    this.#snapshots = new Map([[snapshot, stored.snapshot?.term ?? 0]])
  }
}

/** Ballot and entries after the snapshot. An installed snapshot beyond the log replaces all entries. */
function describe({ ballotTerm, last, terms }: LogState, snapshot: number): string {
  const entries = [...terms].filter(([index]) => index > snapshot && index <= last)
  return JSON.stringify({ ballotTerm, entries })
}

function describeStored({ ballot, entries, snapshot }: StoredLog): string {
  const after = entries.filter(({ index }) => index > (snapshot?.index ?? 0))
  return JSON.stringify({
    ballotTerm: ballot.term,
    entries: after.map(({ index, term: entryTerm }) => [index, entryTerm]),
  })
}

/** Writes to an open log as a replica does: a snapshot covers synced entries, which are not replaced afterwards. */
class Writer {
  readonly #log: OpenedLog['log']
  readonly #history: History
  #pending: Promise<unknown>[] = []

  constructor({ log }: OpenedLog, history: History) {
    this.#log = log
    this.#history = history
  }

  async run(steps: readonly Step[], disk: SimulatedDisk): Promise<void> {
    for (const next of steps) {
      if (disk.isStopped) break
      await this.#execute(next)
    }
    await this.#wait()
  }

  async #execute(next: Step): Promise<void> {
    switch (next.kind) {
      case 'append':
        this.#append(next.count, next.replaced, next.isLarge)
        break
      case 'vote':
        this.#vote()
        break
      case 'snapshot':
        this.#saveSnapshot(next.behind)
        break
      case 'compact':
        this.#track(this.#log.compact(this.#history.syncedSnapshot as LogIndex), () => undefined)
        break
      case 'install':
        this.#install(next.ahead)
        break
      case 'wait':
        await this.#wait()
        break
    }
  }

  #append(count: number, replaced: number, isLarge: boolean): void {
    const { last, terms, ballotTerm } = this.#history.current
    const first = Math.max(last - replaced, this.#history.newestSnapshot) + 1
    const entryTerm = Math.max(ballotTerm, ...terms.values()) + 1
    const data = Buffer.alloc(isLarge ? LARGE_ENTRY_BYTES : 3, entryTerm)
    const entries = Array.from({ length: count }, (_, offset): StoredEntry => {
      return { index: logIndex(first + offset), term: term(entryTerm), data }
    })
    const kept = [...terms].filter(([index]) => index < first)
    const added = entries.map(({ index }): [number, number] => [index, entryTerm])
    const state = { ballotTerm, last: first + count - 1, terms: new Map([...kept, ...added]) }
    const position = this.#history.add(state)
    this.#track(this.#log.append(entries.map((entry) => ({ kind: 'entry', entry }))), () => {
      this.#history.statesSynced(position)
    })
  }

  #vote(): void {
    const { current } = this.#history
    const ballotTerm = current.ballotTerm + 1
    const position = this.#history.add({ ...current, ballotTerm })
    const ballot = { term: term(ballotTerm), votedFor: replicaId('a') }
    this.#track(this.#log.append([{ kind: 'ballot', ballot }]), () => {
      this.#history.statesSynced(position)
    })
  }

  #saveSnapshot(behind: number): void {
    const { synced, current, newestSnapshot } = this.#history
    const index = synced.last - behind
    const entryTerm = synced.terms.get(index)
    const isReplaced = current.terms.get(index) !== entryTerm
    if (index <= newestSnapshot || entryTerm === undefined || isReplaced) return
    this.#history.addSnapshot(index, entryTerm)
    this.#track(this.#log.saveSnapshot(createSnapshot(index, entryTerm)), () => {
      this.#history.snapshotSynced(index)
    })
  }

  #install(ahead: number): void {
    const { last, ballotTerm, terms } = this.#history.current
    const index = last + ahead
    const entryTerm = Math.max(ballotTerm, ...terms.values()) + 1
    const position = this.#history.add({ ballotTerm, last: index, terms: new Map([[index, entryTerm]]) })
    this.#history.addSnapshot(index, entryTerm)
    this.#track(this.#log.installSnapshot(createSnapshot(index, entryTerm)), () => {
      this.#history.statesSynced(position)
      this.#history.snapshotSynced(index)
    })
  }

  #track(result: ReturnType<OpenedLog['log']['append']>, onSynced: () => void): void {
    this.#pending.push(
      result.then((stored) => {
        if (stored.isOk()) onSynced()
      }),
    )
  }

  async #wait(): Promise<void> {
    await Promise.all(this.#pending.splice(0))
  }
}

function createSnapshot(index: number, entryTerm: number) {
  return { index: index as LogIndex, term: entryTerm as Term, data: Buffer.from(`state at ${index}`) }
}
