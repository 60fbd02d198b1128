/** Time of a restart of a control replica from disk, by the number of changes that it replays. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { logIndex, term } from '@bilberrystall/base'
import { applyCommand, decodeCommand, emptyState, encodeCommand } from '@bilberrystall/control'
import { openLog, type LogRecord } from '@bilberrystall/storage'
import { createSubmitCommand } from './control-cost'
import type { Measurement } from './slope'

function createRecord(index: number): LogRecord {
  return {
    kind: 'entry',
    entry: { index: logIndex(index), term: term(1), data: encodeCommand(createSubmitCommand(index)) },
  }
}

async function writeLog(folder: string, changes: number): Promise<void> {
  const { log } = (await openLog({ folder }))._unsafeUnwrap()
  const records = Array.from({ length: changes }, (_, index) => createRecord(index + 1))
  ;(await log.append(records))._unsafeUnwrap()
  await log.close()
}

/** Returns the ms from opening the data folder until every change is applied. */
async function measureRestart(changes: number): Promise<number> {
  const folder = await mkdtemp(join(tmpdir(), 'bilberrystall-capacity-'))
  try {
    await writeLog(folder, changes)
    const start = performance.now()
    const { log, stored } = (await openLog({ folder }))._unsafeUnwrap()
    const state = emptyState()
    for (const { data } of stored.entries) applyCommand(state, decodeCommand(data)._unsafeUnwrap())
    const time = performance.now() - start
    await log.close()
    if (state.results.size !== changes) throw new Error(`${state.results.size} of ${changes} changes applied`)
    return time
  } finally {
    await rm(folder, { recursive: true })
  }
}

export const storageMeasurements: readonly Measurement[] = [
  {
    name: 'restart of a replica, documents of 2,000 bytes',
    per: 'changes behind',
    unit: 'ms',
    sizes: [250, 500, 1_000, 2_000],
    measure: measureRestart,
  },
]
